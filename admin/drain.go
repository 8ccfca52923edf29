package admin

import "sync"

// DrainOnce is a Drainer that closes a channel at the first call.
type DrainOnce struct {
	once  sync.Once
	asked chan struct{}
	// report is told which operator asked.
	report func(operator string)
}

// NewDrainOnce returns a DrainOnce; report is called once.
func NewDrainOnce(report func(operator string)) *DrainOnce {
	return &DrainOnce{asked: make(chan struct{}), report: report}
}

// Drain implements Drainer.
func (d *DrainOnce) Drain(operator string) {
	d.once.Do(func() {
		d.report(operator)
		close(d.asked)
	})
}

// Asked is closed at the first call of Drain.
func (d *DrainOnce) Asked() <-chan struct{} { return d.asked }
