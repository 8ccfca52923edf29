// Package daemon builds routers and agents from their settings and runs them until a
// signal. It connects a settings file to the packages router and agent, which any
// program may also use directly.
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
	// Serve runs until ctx ends and then drains; the end of force ends the drain
	// early.
	Serve(ctx, force context.Context) error
}

// Run serves until SIGTERM or SIGINT arrives and then drains. A second signal ends
// the drain early.
func Run(p Process) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	force, endDrain := context.WithCancel(context.Background())
	defer endDrain()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for _, cancel := range []context.CancelFunc{stop, endDrain} {
			select {
			case <-signals:
				cancel()
			case <-ended:
				return
			}
		}
	}()
	return p.Serve(ctx, force)
}

// NewRouter builds a router from its settings. Log lines are written to w.
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
	security, err := newPeerTLS(s.TLS, log)
	if err != nil {
		return nil, err
	}
	opts.PeerTLS, opts.PeerTransport = security.serverConfig, security.transport
	r, err := router.New(opts)
	if err != nil {
		return nil, err
	}
	security.countReloads(r.CertificateReloaded)
	return r, nil
}

// NewAgent builds an agent from its settings. Log lines are written to w.
func NewAgent(s settings.Agent, w io.Writer) (*agent.Agent, error) {
	log, err := newLogger(w, s.Process, "agent")
	if err != nil {
		return nil, err
	}
	security, err := newPeerTLS(s.TLS, log)
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
		PeerTLS:          security.serverConfig,
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

// peerTLS holds the TLS configuration and the transport for traffic between
// processes.
type peerTLS struct {
	serverConfig *tls.Config
	transport    *http.Transport
	// onReload counts reloads of the TLS files. It is nil until the process exists,
	// which needs the configuration first.
	onReload atomic.Pointer[func(error)]
}

func (s *peerTLS) countReloads(count func(error)) { s.onReload.Store(&count) }

func (s *peerTLS) logReload(log zerolog.Logger, err error) {
	if count := s.onReload.Load(); count != nil {
		(*count)(err)
	}
	if err != nil {
		log.Error().Err(err).Msg("new TLS files are not usable; the previous certificate stays in use")
		return
	}
	log.Info().Msg("TLS files reloaded")
}

// newPeerTLS loads the certificates. Without a tls section it logs a warning and
// returns plain HTTP.
func newPeerTLS(s *settings.TLS, log zerolog.Logger) (*peerTLS, error) {
	security := &peerTLS{transport: dispatch.NewTransport()}
	if s == nil {
		log.Warn().Msg("traffic between processes is not encrypted: settings have no tls section")
		return security, nil
	}
	files := peertls.Files{Certificate: s.CertificateFile, Key: s.KeyFile, CA: s.CAFile}
	identity, err := peertls.Load(files, func(err error) { security.logReload(log, err) })
	if err != nil {
		return nil, resultcode.Wrap(resultcode.InvalidSettings, err, "field tls")
	}
	security.transport.TLSClientConfig = identity.ClientConfig()
	security.serverConfig = identity.ServerConfig()
	return security, nil
}
