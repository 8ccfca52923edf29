package agent

import (
	"errors"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/agent/concurrency"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/settings"
)

// newLimiter returns the scheduler with the learned concurrency limit.
func (a *Agent) newLimiter() worker.Limiter {
	return concurrency.NewScheduler(concurrency.SchedulerOptions{Limiter: concurrency.Options{
		Initial: a.opts.Concurrency.Initial,
		Min:     a.opts.Concurrency.Min,
		Max:     a.opts.Concurrency.Max,
		Seed:    xxhash.Sum64String(a.incarnation),
	}})
}

// Status implements admin.StatusSource.
func (a *Agent) Status() admin.Status {
	return admin.Status{
		Role:             settings.RoleAgent,
		Name:             a.opts.Name,
		Region:           a.opts.Region,
		AvailabilityZone: a.opts.AvailabilityZone,
		Version:          a.opts.Version,
		Incarnation:      a.incarnation,
		CatalogVersion:   a.catalog.Version(),
		State:            a.adminState(),
	}
}

func (a *Agent) adminState() admin.State {
	if a.draining.Load() {
		return admin.StateDraining
	}
	if a.Ready() == nil {
		return admin.StateServing
	}
	return admin.StateStarting
}

var (
	errDraining     = errors.New("the agent is draining")
	errEndpointDown = errors.New("the endpoint does not answer")
)

// Ready returns nil if the agent accepts requests, otherwise an error that says why
// not.
func (a *Agent) Ready() error {
	if a.draining.Load() {
		return errDraining
	}
	if a.worker.State() != rpc.AgentState_AGENT_STATE_SERVING {
		return errEndpointDown
	}
	return nil
}

// registerAdmin adds the routes of the operators' API to the admin listener.
func (a *Agent) registerAdmin(mux *http.ServeMux, metrics http.Handler) error {
	server, err := admin.New(admin.Options{
		Status:    a,
		Catalog:   a.catalog.holder,
		Drain:     a.drainAsked,
		Metrics:   metrics,
		Operators: a.opts.Operators,
	})
	if err != nil {
		return err
	}
	mux.Handle("/", server.Handler())
	return nil
}
