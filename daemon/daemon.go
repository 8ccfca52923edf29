// Package daemon starts routers and agents from their settings. It is the thin
// layer between a settings file and the packages router and agent, which any
// program may use directly.
package daemon

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/agent"
	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/router"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/settings"
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
		Table:            platform.NewTable(platform.Options{URL: s.Platform.TableURL}),
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
		opts.VMs = platform.NewVMList(platform.Options{URL: s.Platform.VMListURL})
	}
	opts.PeerTransport = peerTransport(s.TLS, log)
	return router.New(opts)
}

// NewAgent builds an agent from settings; log lines go to w.
func NewAgent(s settings.Agent, w io.Writer) (*agent.Agent, error) {
	log, err := newLogger(w, s.Process, "agent")
	if err != nil {
		return nil, err
	}
	return agent.New(agent.Options{
		Name:             s.Name,
		Region:           s.Region,
		AvailabilityZone: s.AvailabilityZone,
		PeersAddress:     s.Listen.Peers,
		AdminAddress:     s.Listen.Admin,
		EndpointURL:      s.Endpoint.URL,
		Service:          s.Endpoint.Service,
		Models:           s.Endpoint.Models,
		Table:            platform.NewTable(platform.Options{URL: s.Platform.TableURL}),
		Objects:          platform.NewObjects(platform.Options{URL: s.Platform.ObjectsURL}),
		Queue:            queue.Options{Capacity: s.Queue.MaxItems, PerAccount: s.Queue.MaxItemsPerAccount},
		Concurrency:      agent.Concurrency(s.Concurrency),
		PeerTransport:    peerTransport(s.TLS, log),
		DrainTimeout:     s.DrainTimeout(),
		Operators:        s.Operators,
		Log:              log,
		Version:          telemetry.Version(),
	})
}

func newLogger(w io.Writer, p settings.Process, role string) (zerolog.Logger, error) {
	return telemetry.NewLogger(w, telemetry.LogOptions{
		Level:  p.Log.Level,
		Format: p.Log.Format,
		Role:   role,
		Name:   p.Name,
	})
}

// peerTransport returns the transport for traffic between processes.
func peerTransport(tls *settings.TLS, log zerolog.Logger) *http.Transport {
	if tls == nil {
		log.Warn().Msg("traffic between processes is not encrypted: settings have no tls section")
	}
	return dispatch.NewTransport()
}
