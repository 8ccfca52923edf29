package admin

import "sync"

// DrainOnce is a Drainer that closes a channel on the first call.
type DrainOnce struct {
	once      sync.Once
	requested chan struct{}
	// onDrain is called with the operator who requested the drain.
	onDrain func(operator string)
}

// NewDrainOnce returns a DrainOnce. onDrain is called once, with the operator who
// requested the drain.
func NewDrainOnce(onDrain func(operator string)) *DrainOnce {
	return &DrainOnce{requested: make(chan struct{}), onDrain: onDrain}
}

// Drain implements Drainer.
func (d *DrainOnce) Drain(operator string) {
	d.once.Do(func() {
		d.onDrain(operator)
		close(d.requested)
	})
}

// Requested returns the channel that the first call of Drain closes.
func (d *DrainOnce) Requested() <-chan struct{} { return d.requested }
