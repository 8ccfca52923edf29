package burn

import (
	"slices"
	"sync"
	"time"
)

const (
	// Step is the resolution of the long windows.
	Step = 5 * time.Minute
	// fineStep is the resolution of the shortest window.
	fineStep = time.Minute

	finePerStep = int64(Step / fineStep)
	// fineSteps counts the current fine step and those of the 5 minutes before it.
	fineSteps = finePerStep + 1
	// longSteps counts the current step and those of the 6 hours before it.
	longSteps = int64(6*time.Hour/Step) + 1
	// ringSteps is the size of the ring buffer. It has one slot more than longSteps,
	// since the oldest step is read while the newest is written.
	ringSteps = longSteps + 1
)

// Windows are the reported periods, shortest first. Each covers at least its
// length and at most one step more.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Recorder counts the requests of one router over the last 6 h in ring buffers. It
// is safe for concurrent use. The fine steps of the last minutes are merged into
// steps of 5 minutes when they leave the shortest window.
type Recorder struct {
	router string
	start  time.Time

	mu   sync.Mutex
	now  int64 // index of the current fine step, counted from start
	fine [fineSteps]*aggregate
	long [ringSteps]*step
}

// step is one slot of the long ring buffer.
type step struct {
	index int64 // steps since the start of the Recorder
	*aggregate
}

// NewRecorder returns an empty Recorder for the named router. Steps are counted
// from now by the monotonic clock, so that a change of the wall clock moves no
// request to another step.
func NewRecorder(router string, now time.Time) *Recorder {
	r := &Recorder{router: router, start: now}
	for i := range r.fine {
		r.fine[i] = newAggregate()
	}
	return r
}

// Record counts one request that ended at now. If now lies before the current
// step, the request is counted in the current step.
func (r *Recorder) Record(now time.Time, s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.fine[r.now%fineSteps].record(&s)
}

// advance moves the current step to now and merges the fine steps that leave the
// shortest window into the long steps.
func (r *Recorder) advance(now time.Time) {
	target := int64(now.Sub(r.start) / fineStep)
	for i := int64(0); i < fineSteps && r.now < target; i++ {
		r.now++
		leaving := r.now - fineSteps
		if leaving >= 0 {
			r.longStep(leaving / finePerStep).merge(r.fine[r.now%fineSteps])
		}
		r.fine[r.now%fineSteps] = newAggregate()
	}
	r.now = max(r.now, target)
}

// longStep returns the step of the index and clears a slot that holds an older one.
func (r *Recorder) longStep(index int64) *step {
	slot := &r.long[index%ringSteps]
	if *slot == nil || (*slot).index != index {
		*slot = &step{index: index, aggregate: newAggregate()}
	}
	return *slot
}

// view is the state of a Recorder at one time. It can be read without the lock.
type view struct {
	// steps are the 5-minute steps, oldest first.
	steps []agedStep
	// recent sums the requests of the shortest window.
	recent *aggregate
	// fine are the fine steps of the shortest window, with their age in 5-minute
	// steps.
	fine []agedStep
}

// agedStep is a step with its age, counted in 5-minute steps from the current one.
type agedStep struct {
	age int64
	*aggregate
}

// view copies the aggregates that can still change. Completed steps are shared, so
// that the lock is held only for a small part of a snapshot.
func (r *Recorder) view(now time.Time) view {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	v := view{recent: newAggregate()}
	current := r.now / finePerStep
	firstFine := max(0, r.now-fineSteps+1)
	for index := max(0, current-longSteps+1); index <= current; index++ {
		s := r.long[index%ringSteps]
		if s == nil || s.index != index {
			continue
		}
		g := s.aggregate
		if complete := (index+1)*finePerStep <= firstFine; !complete {
			g = newAggregate()
			g.merge(s.aggregate)
		}
		v.steps = append(v.steps, agedStep{current - index, g})
	}
	for i := firstFine; i <= r.now; i++ {
		g := newAggregate()
		g.merge(r.fine[i%fineSteps])
		v.recent.merge(g)
		v.fine = append(v.fine, agedStep{current - i/finePerStep, g})
	}
	return v
}

// Snapshot returns the counts of all windows at now.
func (r *Recorder) Snapshot(now time.Time) *Snapshot {
	v := r.view(now)
	s := &Snapshot{
		Format:         SnapshotFormat,
		Router:         r.router,
		TakenAt:        now.UTC().Truncate(time.Millisecond),
		CoveredSeconds: int64(min(now.Sub(r.start), Windows[len(Windows)-1]) / time.Second),
		StepSeconds:    int64(Step / time.Second),
	}
	for i, length := range Windows {
		oldest := int64(length / Step)
		if i == 0 {
			oldest = -1
		}
		s.Windows = append(s.Windows, v.window(length, oldest))
	}
	s.Series = v.series()
	return s
}

// window sums the shortest window and the long steps with an age of at most oldest
// steps; -1 means none.
func (v view) window(length time.Duration, oldest int64) Window {
	sum := newAggregate()
	for _, s := range v.steps {
		if s.age <= oldest {
			sum.merge(s.aggregate)
		}
	}
	sum.merge(v.recent)
	return Window{
		Seconds:   int64(length / time.Second),
		Rows:      sum.sortedRows(),
		Endpoints: sum.sortedEndpoints(),
	}
}

// series returns the attainment of each class by step.
func (v view) series() []ClassSeries {
	var all seriesByClass
	for _, s := range slices.Concat(v.steps, v.fine) {
		for _, row := range s.rows {
			all.findOrAdd(row.Class, row.Tier).add(s.age, row.Met, row.Missed)
		}
	}
	return all.sorted()
}
