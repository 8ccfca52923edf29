// Package lifecycle runs a process from its start to the end of its drain. The
// roles share the order: serve under the supervisor, drain when asked, stop.
package lifecycle

import (
	"context"

	"github.com/thejerf/suture/v4"

	"github.com/pistachiowind/pistachiowind/telemetry"
)

// Process is what a role supplies. All fields are required.
type Process struct {
	// Role names the process in the state log.
	Role       string
	Supervisor *suture.Supervisor
	States     *telemetry.StateLog
	// DrainAsked is closed when an operator asks for a drain.
	DrainAsked <-chan struct{}
	// Drain refuses new work and returns when the work in progress has ended, or
	// soon after force ends.
	Drain func(force context.Context)
}

// Serve runs the supervised services until ctx ends or a drain is asked for,
// drains, and stops the services. It returns an error when the supervisor gives
// up by itself.
func (p Process) Serve(ctx, force context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := p.Supervisor.ServeBackground(running)
	p.report("started")
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	case <-p.DrainAsked:
	}
	p.report("draining")
	p.Drain(force)
	stop()
	<-ended
	p.report("stopped")
	return nil
}

func (p Process) report(state string) {
	p.States.Report(telemetry.StateChange{Subject: p.Role, State: state})
}
