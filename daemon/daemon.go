// Package daemon starts routers and agents from their settings. It is the thin
// layer between a settings file and the packages router and agent, which any
// program may use directly.
package daemon

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/agent"
	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/peertls"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/settings"
	"github.com/pistachiowind/pistachiowind/storage"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

// Process is a router or an agent.
type Process interface {
	// Serve runs until ctx ends and drains; force ends the drain early.
	Serve(ctx, force context.Context) error
}

// Run serves until SIGTERM or SIGINT arrives, then drains. A second signal ends
// the drain.
func Run(p Process) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	force, now := context.WithCancel(context.Background())
	defer now()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for _, act := range []context.CancelFunc{stop, now} {
			select {
			case <-signals:
				act()
			case <-ended:
				return
			}
		}
	}()
	return p.Serve(ctx, force)
}

// NewRouter builds a router from settings; log lines go to w.
func NewRouter(s settings.Router, w io.Writer) (*router.Router, error) {
	log, err := newLogger(w, s.Process, "router")
	if err != nil {
		return nil, err
	}
	opts := router.Options{
		Name:             s.Name,
		Region:           s.Region,
		AvailabilityZone: s.AvailabilityZone,
		CallersAddress:   s.Listen.Callers,
		PeersAddress:     s.Listen.Peers,
		AdminAddress:     s.Listen.Admin,
		Table:            platform.NewTable(storage.Options{URL: s.Platform.TableURL}),
		Agents:           s.Agents,
		MaxOpen:          s.Limits.MaxOpenRequests,
		MaxBodyBytes:     int64(s.Limits.MaxBodyBytes),
		BodyTimeout:      s.Limits.BodyTimeout(),
		DrainTimeout:     s.Limits.DrainTimeout(),
		Operators:        s.Operators,
		Log:              log,
		Version:          telemetry.Version(),
	}
	if s.Platform.VMListURL != "" {
		opts.VMs = storage.NewVMList(storage.Options{URL: s.Platform.VMListURL})
	}
	security, err := newPeerSecurity(s.TLS, log)
	if err != nil {
		return nil, err
	}
	opts.PeerTLS, opts.PeerTransport = security.server, security.transport
	r, err := router.New(opts)
	if err != nil {
		return nil, err
	}
	security.countReloads(r.CertificateReloaded)
	return r, nil
}

// NewAgent builds an agent from settings; log lines go to w.
func NewAgent(s settings.Agent, w io.Writer) (*agent.Agent, error) {
	log, err := newLogger(w, s.Process, "agent")
	if err != nil {
		return nil, err
	}
	security, err := newPeerSecurity(s.TLS, log)
	if err != nil {
		return nil, err
	}
	a, err := agent.New(agent.Options{
		Name:             s.Name,
		Region:           s.Region,
		AvailabilityZone: s.AvailabilityZone,
		PeersAddress:     s.Listen.Peers,
		AdminAddress:     s.Listen.Admin,
		EndpointURL:      s.Endpoint.URL,
		Service:          s.Endpoint.Service,
		Models:           s.Endpoint.Models,
		Table:            platform.NewTable(storage.Options{URL: s.Platform.TableURL}),
		Objects:          platform.NewObjectStore(storage.Options{URL: s.Platform.ObjectsURL}),
		Queue:            queue.Options{Capacity: s.Queue.MaxItems, MaxPerAccount: s.Queue.MaxItemsPerAccount},
		Concurrency:      agent.Concurrency(s.Concurrency),
		PeerTLS:          security.server,
		PeerTransport:    security.transport,
		DrainTimeout:     s.DrainTimeout(),
		Operators:        s.Operators,
		Log:              log,
		Version:          telemetry.Version(),
	})
	if err != nil {
		return nil, err
	}
	security.countReloads(a.CertificateReloaded)
	return a, nil
}

func newLogger(w io.Writer, p settings.Process, role string) (zerolog.Logger, error) {
	return telemetry.NewLogger(w, telemetry.LogOptions{
		Level:  p.Log.Level,
		Format: p.Log.Format,
		Role:   role,
		Name:   p.Name,
	})
}

// peerSecurity is how a process talks to its peers.
type peerSecurity struct {
	server    *tls.Config
	transport *http.Transport
	// reloaded counts reloads once the process exists.
	reloaded atomic.Pointer[func(error)]
}

func (s *peerSecurity) countReloads(count func(error)) { s.reloaded.Store(&count) }

func (s *peerSecurity) report(log zerolog.Logger, err error) {
	if count := s.reloaded.Load(); count != nil {
		(*count)(err)
	}
	if err != nil {
		log.Error().Err(err).Msg("new TLS files are not usable; the previous certificate stays in use")
		return
	}
	log.Info().Msg("TLS files reloaded")
}

// newPeerSecurity loads the certificates, or reports that there are none.
func newPeerSecurity(s *settings.TLS, log zerolog.Logger) (*peerSecurity, error) {
	security := &peerSecurity{transport: dispatch.NewTransport()}
	if s == nil {
		log.Warn().Msg("traffic between processes is not encrypted: settings have no tls section")
		return security, nil
	}
	files := peertls.Files{Certificate: s.CertificateFile, Key: s.KeyFile, CA: s.CAFile}
	identity, err := peertls.Load(files, func(err error) { security.report(log, err) })
	if err != nil {
		return nil, resultcode.Wrap(resultcode.InvalidSettings, err, "field tls")
	}
	security.transport.TLSClientConfig = identity.ClientConfig()
	security.server = identity.ServerConfig()
	return security, nil
}
