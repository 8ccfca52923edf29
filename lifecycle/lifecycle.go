// Package lifecycle runs a process from its start to the end of its drain. All roles
// follow the same order: run the services under a supervisor, drain on request, stop
// the services.
package lifecycle

import (
	"context"

	"github.com/thejerf/suture/v4"

	"github.com/pistachiowind/pistachiowind/telemetry"
)

// Process holds the role-specific parts of a process. All fields are required.
type Process struct {
	// Role is the subject of the process's entries in the state log.
	Role       string
	Supervisor *suture.Supervisor
	States     *telemetry.StateLog
	// DrainRequested is closed when an operator requests a drain.
	DrainRequested <-chan struct{}
	// Drain refuses new work and returns when the work in progress has completed, or
	// soon after force ends.
	Drain func(force context.Context)
}

// Serve runs the supervised services until ctx ends or a drain is requested, then
// drains and stops the services. The services keep running during the drain. It
// returns an error when the supervisor terminates by itself.
func (p Process) Serve(ctx, force context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := p.Supervisor.ServeBackground(running)
	p.report("started")
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	case <-p.DrainRequested:
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
