package worker

import (
	"time"

	"github.com/pistachiowind/pistachiowind/agent/concurrency"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Observer receives the events of attempts, for metrics.
type Observer interface {
	// Ended is called at the end of each accepted attempt; result is nil on
	// success. Refused is called for each attempt that was not accepted.
	Ended(req *rpc.RunRequest, result *resultcode.Error)
	Refused(req *rpc.RunRequest, err *resultcode.Error)
	// Waited is called at each start with the time in the queue.
	Waited(req *rpc.RunRequest, wait time.Duration)
	// FirstToken is called with the time from the start to the first token or,
	// for a plain service, to the head of its response.
	FirstToken(req *rpc.RunRequest, d time.Duration)
	// NewInterTokenRecorder returns a recorder for the times between the tokens of a
	// new run. Ran is called with the recorder at the end of the run.
	NewInterTokenRecorder() InterTokenRecorder
	Ran(req *rpc.RunRequest, took time.Duration, interToken InterTokenRecorder)
	Displaced(tier int)
	Preempted(tier int)
	Expired(tier int)
	Renounced(execution resultcode.Execution)
	// Orphaned is called for an attempt that no router has read for
	// OrphanTimeout; cancelled is false if it was not cancelled but ran to its
	// end.
	Orphaned(cancelled bool)
	// Crashed is called when the endpoint goes from serving to down.
	Crashed()
	// SuspectDecided is called when a suspected request has completed, or has
	// crashed the endpoint and is condemned, that is, refused from now on.
	SuspectDecided(condemned bool)
}

// InterTokenRecorder records the times between the tokens of a run. Add is called
// for each token after the first.
type InterTokenRecorder interface {
	Add(time.Duration)
}

// Occupancy returns the numbers of running and queued attempts by tier.
func (w *Worker) Occupancy() concurrency.Occupancy {
	w.mu.Lock()
	defer w.mu.Unlock()
	var o concurrency.Occupancy
	for _, j := range w.running {
		o.Running[j.item.Tier]++
	}
	for tier := range o.Waiting {
		o.Waiting[tier] = w.queue.TierLen(tier)
	}
	return o
}

// Condemned returns the number of requests that are refused because they crashed
// endpoints.
func (w *Worker) Condemned(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.quarantine.CondemnedCount(now)
}

// BufferStalls returns how often a full replay buffer paused reading from the
// endpoint.
func (w *Worker) BufferStalls() uint64 { return w.table.Stalls() }
