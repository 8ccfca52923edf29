package router

import (
	"errors"
	"net/http"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/settings"
)

// Status implements admin.StatusSource.
func (r *Router) Status() admin.Status {
	return admin.Status{
		Role:             settings.RoleRouter,
		Name:             r.opts.Name,
		Region:           r.opts.Region,
		AvailabilityZone: r.opts.AvailabilityZone,
		Version:          r.opts.Version,
		Incarnation:      r.incarnation,
		CatalogVersion:   r.catalog.Version(),
		State:            r.state(),
	}
}

func (r *Router) state() admin.State {
	if r.draining.Load() {
		return admin.StateDraining
	}
	if r.Ready() == nil {
		return admin.StateServing
	}
	return admin.StateStarting
}

var (
	errDraining         = errors.New("the router is draining")
	errNoCatalog        = errors.New("no catalog is confirmed yet")
	errEndpointsUnknown = errors.New("the endpoints are not known yet")
	errNoEndpoint       = errors.New("no endpoint accepts work")
)

// Ready returns nil when the router should receive requests, and otherwise an
// error with the reason why it should not.
func (r *Router) Ready() error {
	switch {
	case r.draining.Load():
		return errDraining
	case !r.catalog.updater.Ready():
		return errNoCatalog
	case !r.fleet.Known():
		return errEndpointsUnknown
	case r.fleet.Serving() == 0:
		return errNoEndpoint
	}
	return nil
}

// registerAdmin adds the handler of the operators' API to mux.
func (r *Router) registerAdmin(mux *http.ServeMux, metrics http.Handler) error {
	server, err := admin.New(admin.Options{
		Status:      r,
		Catalog:     r.catalog.holder,
		Store:       adoptingStore{r.store, r.catalog.holder},
		Burn:        r.recorder,
		Drain:       r.drainOnce,
		Propagation: r,
		Metrics:     metrics,
		Operators:   r.opts.Operators,
	})
	if err != nil {
		return err
	}
	mux.Handle("/", server.Handler())
	return nil
}

// ServingEndpoints returns the number of endpoints that report that they accept work,
// including those that this router has ejected.
func (r *Router) ServingEndpoints() int { return r.fleet.Serving() }
