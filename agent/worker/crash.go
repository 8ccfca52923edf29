package worker

import (
	"context"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/quarantine"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// crashCheckTimeout bounds the health check of the endpoint after a failed run. A
// crashed endpoint refuses the connection at once.
const crashCheckTimeout = 300 * time.Millisecond

// Publisher shares evidence of crashes with other processes.
type Publisher interface {
	// Publish must not block.
	Publish(records []quarantine.Record)
}

// checkEvidence merges the evidence that a router sent with a request, and refuses
// the request if it is condemned, that is, known to crash endpoints.
func (w *Worker) checkEvidence(now time.Time, req *rpc.RunRequest) *resultcode.Error {
	if r, ok := quarantine.FromMessage(now, req.GetEvidence()); ok {
		w.quarantine.Merge(now, []quarantine.Record{r})
	}
	f, ok := quarantine.FingerprintOf(req.GetBodyDigest())
	if !ok || w.quarantine.Status(now, f) != quarantine.Condemned {
		return nil
	}
	return resultcode.New(resultcode.RequestCondemned, "the request crashed endpoints").
		WithRetryAfter(quarantine.RecordTTL)
}

// probationHoldsStarts reports whether nothing may start because a running suspect
// of a crash is still on probation; see package quarantine. A suspect of a lower
// tier does not delay urgent work.
func (w *Worker) probationHoldsStarts(now time.Time) bool {
	tier := catalog.TierBatch
	if w.queue.TierLen(catalog.TierUrgent) > 0 {
		tier = catalog.TierUrgent
	}
	return !w.quarantine.MayStart(now, quarantine.Fingerprint{}, w.runsAtLeastAsUrgent(tier))
}

// runsAtLeastAsUrgent returns the running requests of a tier and of more urgent
// ones.
func (w *Worker) runsAtLeastAsUrgent(tier int) []quarantine.Run {
	list := make([]quarantine.Run, 0, len(w.running))
	for _, j := range w.running {
		if j.item.Tier > tier {
			continue
		}
		if f, ok := quarantine.FingerprintOf(j.req.GetBodyDigest()); ok {
			list = append(list, quarantine.Run{Fingerprint: f, Started: j.running.Started, FirstToken: j.progress.firstOutputAt})
		}
	}
	return list
}

// endpointCrashed checks after a failed run whether the endpoint is down.
func (w *Worker) endpointCrashed(err *resultcode.Error) bool {
	if err == nil || err.Code != resultcode.EndpointFailed {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return w.opts.Backend.Check(ctx) != nil
}

// recordCrash makes all running requests suspects, once per crash. The first run
// that fails in a crash calls it while the others are still in w.running.
func (w *Worker) recordCrash(now time.Time) {
	if w.state != rpc.AgentState_AGENT_STATE_SERVING && w.state != rpc.AgentState_AGENT_STATE_LEAVING {
		return
	}
	if w.crashRecorded {
		return
	}
	w.crashRecorded = true
	w.endpointDown(now)
	w.opts.Observer.Crashed()
	if w.state == rpc.AgentState_AGENT_STATE_SERVING {
		w.state = rpc.AgentState_AGENT_STATE_DOWN
	}
	runs := w.runsAtLeastAsUrgent(catalog.TierBatch)
	for range w.quarantine.Crashed(now, w.opts.Endpoint, runs) {
		w.opts.Observer.SuspectDecided(true)
	}
	var records []quarantine.Record
	for _, run := range runs {
		if r, ok := w.quarantine.Lookup(now, run.Fingerprint); ok {
			records = append(records, r)
		}
	}
	if w.opts.Publisher != nil && len(records) > 0 {
		w.opts.Publisher.Publish(records)
	}
}

// clearSuspect removes the suspicion against a request that ran to its end.
func (w *Worker) clearSuspect(now time.Time, req *rpc.RunRequest) {
	f, ok := quarantine.FingerprintOf(req.GetBodyDigest())
	if !ok {
		return
	}
	if w.quarantine.Status(now, f) == quarantine.Suspect {
		w.opts.Observer.SuspectDecided(false)
	}
	w.quarantine.Completed(f)
}

// evidence returns the evidence against a failed request, nil if there is none.
func (w *Worker) evidence(now time.Time, req *rpc.RunRequest) *rpc.Evidence {
	f, ok := quarantine.FingerprintOf(req.GetBodyDigest())
	if !ok {
		return nil
	}
	r, ok := w.quarantine.Lookup(now, f)
	if !ok {
		return nil
	}
	return r.Message(now)
}
