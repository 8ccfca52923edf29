package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/proof"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

const (
	// proofInterval is how often the held connections are checked.
	proofInterval = 50 * time.Millisecond
	// proofQuestionTimeout bounds a question for which no caller waits: a busy engine may take
	// seconds.
	proofQuestionTimeout = 2 * time.Second
)

// proveProcesses proves the processes of endpoints that do not state them in time, until ctx ends.
func (g *Gateway) proveProcesses(ctx context.Context) error {
	ticker := time.NewTicker(proofInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for _, a := range g.dispatcher.tickProofs(time.Now()) {
			switch a.Kind {
			case proof.Open:
				go g.openHeld(ctx, a)
			case proof.Ask:
				go g.askHeld(ctx, a)
			case proof.Close:
			}
		}
	}
}

// tickProofs checks the held connections and returns what is to be done. Those that are not needed
// any more are closed.
func (d *dispatcher) tickProofs(now time.Time) []proof.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.held {
		d.observeHeld(now, id)
		if !d.proofs.Knows(id) {
			d.closeHeld(id)
		}
	}
	actions := d.proofs.Tick(now)
	for _, a := range actions {
		if a.Kind == proof.Close {
			d.closeHeld(a.Endpoint)
			d.fleet.SetUnproven(a.Endpoint, d.proofs.Unproven(a.Endpoint))
		}
	}
	d.applyProofs()
	return actions
}

// openHeld opens the connection that is held to an endpoint, or replaces it.
func (g *Gateway) openHeld(ctx context.Context, a proof.Action) {
	held, err := g.pool.Hold(ctx, a.Address)
	d := g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	expected := d.proofs.Expected(a.Endpoint)
	switch {
	case err != nil:
		d.proofs.OpenFailed(now, a.Endpoint)
	case !d.proofs.Knows(a.Endpoint) || !d.isAt(a.Endpoint, a.Address):
		held.Close()
		d.proofs.OpenFailed(now, a.Endpoint)
	default:
		proven := held.Proves(expected)
		if proven {
			held.Prove(expected)
		}
		d.closeHeld(a.Endpoint)
		d.held[a.Endpoint] = held
		d.proofs.Opened(now, a.Endpoint, proven)
	}
	d.applyProofs()
}

// isAt reports whether the directory shows an endpoint at an address. The mutex is held.
func (d *dispatcher) isAt(id, address string) bool {
	e, known := d.registry.Entry(id)
	return known && e.Address == address
}

// askHeld asks an endpoint for its process, on a connection that is opened after the held one.
func (g *Gateway) askHeld(ctx context.Context, a proof.Action) {
	ctx, cancel := context.WithTimeout(ctx, proofQuestionTimeout)
	defer cancel()
	target, header := g.options.Protocol.ProcessQuery(a.Endpoint)
	p, took := g.pool.Ask(ctx, a.Address, &upstream.Identification{
		Target: target, Header: header, Timeout: proofQuestionTimeout,
		Decode: func(status int, h http.Header, body []byte) upstream.Process {
			return g.options.Protocol.DecodeProcess(status, h, body)
		},
	})
	g.logEndpointChanges(g.dispatcher.answered(a, p, took))
}

// answered handles the answer to a question without a caller.
func (d *dispatcher) answered(a proof.Action, p upstream.Process, took time.Duration) []registry.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.onProcess(p.State)
	d.observeHeld(now, a.Endpoint)
	quick := d.proofs.Answered(now, a.Endpoint, a.Connection, p, took)
	d.applyProofs()
	if quick {
		d.dropProof(a.Endpoint)
	}
	listed, _ := d.registry.Entry(a.Endpoint)
	if p.State != upstream.ProcessStated || d.held[a.Endpoint] == nil && !quick || listed.Address != a.Address || listed.Born == 0 {
		return nil
	}
	c, changed := d.registry.Observe(now, a.Endpoint, p.Born)
	if !changed {
		return nil
	}
	d.applyChanges(now, []registry.Change{c})
	return []registry.Change{c}
}

// proofChanged counts and logs that the process of an endpoint became proven or unproven.
func (g *Gateway) proofChanged(c proof.Change) {
	if !c.Proven {
		g.log.Info().Str("endpoint", c.Endpoint).Msg("process behind the endpoint's address is not proven")
		return
	}
	g.options.Metrics.Proofs.Add(1, telemetry.ResultLabels{Outcome: string(c.Source)})
	g.log.Info().Str("endpoint", c.Endpoint).Str("by", string(c.Source)).Int64("took_ms", ms(c.Took)).
		Msg("process behind the endpoint's address is proven")
}
