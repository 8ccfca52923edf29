package worker

import (
	"time"

	"github.com/pistachiowind/pistachiowind/agent/concurrency"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Observer is told what happens to attempts, for metrics.
type Observer interface {
	// Ended is called for each attempt that was accepted, Refused for the others.
	Ended(req *rpc.RunRequest, result *resultcode.Error)
	Refused(req *rpc.RunRequest, err *resultcode.Error)
	Waited(req *rpc.RunRequest, wait time.Duration)
	FirstToken(req *rpc.RunRequest, d time.Duration)
	// Gaps returns the recorder of a new run. Ran gets it back at the run's end.
	Gaps() GapRecorder
	Ran(req *rpc.RunRequest, took time.Duration, gaps GapRecorder)
	Displaced(tier int)
	Preempted(tier int)
	Expired(tier int)
	Renounced(verdict resultcode.Execution)
	// Orphaned is called for an attempt that no router read for OrphanTimeout.
	Orphaned(cancelled bool)
	// Crashed is called when a serving endpoint goes down.
	Crashed()
	// SuspectDecided is called when a suspected request completed, or crashed the
	// endpoint and is refused from now on.
	SuspectDecided(condemned bool)
}

// GapRecorder collects times between tokens. Add runs for each token.
type GapRecorder interface {
	Add(time.Duration)
}

// Occupancy counts what runs and waits, by tier.
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

// Condemned returns the number of requests that are refused as crashing endpoints.
func (w *Worker) Condemned(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.quarantine.Condemned(now)
}

// BufferStalls returns how often a full replay buffer stopped reading from the
// endpoint.
func (w *Worker) BufferStalls() uint64 { return w.table.Stalls() }
