package worker

import (
	"context"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/quarantine"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// crashCheckTimeout bounds the question whether the endpoint is still up after a
// run failed. A crashed one refuses the connection at once.
const crashCheckTimeout = 300 * time.Millisecond

// Publisher shares evidence with the other processes. It must not block.
type Publisher interface {
	Publish(records []quarantine.Record)
}

// learn takes the evidence that a router sends with a request, and refuses the
// request if it is condemned.
func (w *Worker) learn(now time.Time, req *rpc.RunRequest) *resultcode.Error {
	if r, ok := quarantine.FromMessage(now, req.GetEvidence()); ok {
		w.quarantine.Merge(now, []quarantine.Record{r})
	}
	f, ok := quarantine.FingerprintOf(req.GetBodyDigest())
	if !ok || w.quarantine.Verdict(now, f) != quarantine.Condemned {
		return nil
	}
	return resultcode.New(resultcode.RequestCondemned, "the request crashed endpoints").
		WithRetryAfter(quarantine.Lifetime)
}

// probation reports whether a suspect has to prove itself before anything else
// starts. A suspect of a lower tier does not delay urgent work.
func (w *Worker) probation(now time.Time) bool {
	tier := catalog.TierBatch
	if w.queue.TierLen(catalog.TierUrgent) > 0 {
		tier = catalog.TierUrgent
	}
	return !w.quarantine.MayStart(now, quarantine.Fingerprint{}, w.runsUpTo(tier))
}

// runsUpTo returns what is running of a tier and of more urgent ones.
func (w *Worker) runsUpTo(tier int) []quarantine.Run {
	list := make([]quarantine.Run, 0, len(w.running))
	for _, j := range w.running {
		if j.item.Tier > tier {
			continue
		}
		if f, ok := quarantine.FingerprintOf(j.req.GetBodyDigest()); ok {
			list = append(list, quarantine.Run{Fingerprint: f, Started: j.running.Started, FirstToken: j.progress.firstAt})
		}
	}
	return list
}

// endpointCrashed asks whether the endpoint is down after a run failed.
func (w *Worker) endpointCrashed(err *resultcode.Error) bool {
	if err == nil || err.Code != resultcode.EndpointFailed {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return w.opts.Backend.Check(ctx) != nil
}

// recordCrash makes everything that was running suspect, once for each crash. The
// runs that fail with it are still in running when the first of them gets here.
func (w *Worker) recordCrash(now time.Time) {
	if w.state != rpc.AgentState_AGENT_STATE_SERVING && w.state != rpc.AgentState_AGENT_STATE_LEAVING {
		return
	}
	if w.crashSeen {
		return
	}
	w.crashSeen = true
	w.opts.Observer.Crashed()
	if w.state == rpc.AgentState_AGENT_STATE_SERVING {
		w.state = rpc.AgentState_AGENT_STATE_DOWN
	}
	runs := w.runsUpTo(catalog.TierBatch)
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

// proved clears a suspect whose request ran to its end.
func (w *Worker) proved(now time.Time, req *rpc.RunRequest) {
	f, ok := quarantine.FingerprintOf(req.GetBodyDigest())
	if !ok {
		return
	}
	if w.quarantine.Verdict(now, f) == quarantine.Suspect {
		w.opts.Observer.SuspectDecided(false)
	}
	w.quarantine.Completed(f)
}

// evidence returns what is known against a request that failed.
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
