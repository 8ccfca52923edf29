package burn

import (
	"slices"
	"sync"
	"time"
)

const (
	// Step is the length of one step of the long windows.
	Step = 5 * time.Minute
	// fineStep is the length of one step of the shortest window.
	fineStep = time.Minute

	finePerStep = int64(Step / fineStep)
	// fineSteps is the current fine step and those of the 5 minutes before it.
	fineSteps = finePerStep + 1
	// longSteps is the current step and those of the 6 hours before it.
	longSteps = int64(6*time.Hour/Step) + 1
	// ringSteps has one more place than longSteps, since the oldest step is read
	// while the newest is written.
	ringSteps = longSteps + 1
)

// Windows are the periods of a snapshot, shortest first. Each covers at least
// its length and at most one step more.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Recorder counts the requests of one router over the last 6 h. It is safe for
// concurrent use. Fine steps of the last minutes are folded into steps of
// 5 minutes when they leave the shortest window.
type Recorder struct {
	router string
	start  time.Time

	mu   sync.Mutex
	now  int64 // current fine step since start
	fine [fineSteps]*group
	long [ringSteps]*step
}

type step struct {
	index int64
	*group
}

// NewRecorder returns an empty Recorder of the named router. Steps are counted
// from now on its monotonic clock, so that a change of the wall clock moves no
// request to another step.
func NewRecorder(router string, now time.Time) *Recorder {
	r := &Recorder{router: router, start: now}
	for i := range r.fine {
		r.fine[i] = newGroup()
	}
	return r
}

// Record counts one request that ended at now. A time before the current step
// counts as the current step.
func (r *Recorder) Record(now time.Time, s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.fine[r.now%fineSteps].record(&s)
}

// advance folds the fine steps that left the shortest window.
func (r *Recorder) advance(now time.Time) {
	target := int64(now.Sub(r.start) / fineStep)
	for i := int64(0); i < fineSteps && r.now < target; i++ {
		r.now++
		leaving := r.now - fineSteps
		if leaving >= 0 {
			r.longStep(leaving / finePerStep).merge(r.fine[r.now%fineSteps])
		}
		r.fine[r.now%fineSteps] = newGroup()
	}
	r.now = max(r.now, target)
}

func (r *Recorder) longStep(index int64) *step {
	place := &r.long[index%ringSteps]
	if *place == nil || (*place).index != index {
		*place = &step{index: index, group: newGroup()}
	}
	return *place
}

// view is the content of a Recorder at one time. It is read without the lock.
type view struct {
	// steps are the steps of 5 minutes, oldest first.
	steps []viewStep
	// recent are the requests of the shortest window.
	recent *group
	// fine are the requests of the shortest window by age in steps.
	fine []viewStep
}

type viewStep struct {
	age int64
	*group
}

// view copies the groups that can still change. The steps before them are
// shared, so that the lock is held only for a small part of a snapshot.
func (r *Recorder) view(now time.Time) view {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	v := view{recent: newGroup()}
	current := r.now / finePerStep
	firstFine := max(0, r.now-fineSteps+1)
	for index := max(0, current-longSteps+1); index <= current; index++ {
		s := r.long[index%ringSteps]
		if s == nil || s.index != index {
			continue
		}
		g := s.group
		if complete := (index+1)*finePerStep <= firstFine; !complete {
			g = newGroup()
			g.merge(s.group)
		}
		v.steps = append(v.steps, viewStep{current - index, g})
	}
	for i := firstFine; i <= r.now; i++ {
		g := newGroup()
		g.merge(r.fine[i%fineSteps])
		v.recent.merge(g)
		v.fine = append(v.fine, viewStep{current - i/finePerStep, g})
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

// window sums the shortest window and the steps up to the age oldest.
func (v view) window(length time.Duration, oldest int64) Window {
	sum := newGroup()
	for _, s := range v.steps {
		if s.age <= oldest {
			sum.merge(s.group)
		}
	}
	sum.merge(v.recent)
	return Window{
		Seconds:   int64(length / time.Second),
		Rows:      sum.sortedRows(),
		Endpoints: sum.sortedEndpoints(),
	}
}

func (v view) series() []ClassSeries {
	var all seriesSet
	for _, s := range slices.Concat(v.steps, v.fine) {
		for _, row := range s.rows {
			all.class(row.Class, row.Tier).add(s.age, row.Met, row.Missed)
		}
	}
	return all.sorted()
}
