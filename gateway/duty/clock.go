package duty

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since the machine started, including the time for which it was
// suspended; ok is false if the system has no such clock.
type BootClock func() (since time.Duration, ok bool)

// SystemBootClock reads the boot-time clock of the system.
func SystemBootClock() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

// Clock measures elapsed time for leases by the steady clock and by the boot-time clock, and
// returns the later of both: the steady clock stops while a VM is suspended. It never reads
// the wall clock, which jumps. It is safe for concurrent use.
type Clock struct {
	start     time.Time
	boot      BootClock
	bootStart time.Duration
	hasBoot   bool
}

// NewClock returns a clock; a nil boot means the steady clock alone.
func NewClock(boot BootClock) *Clock {
	c := &Clock{start: time.Now(), boot: boot}
	if boot != nil {
		c.bootStart, c.hasBoot = boot()
	}
	return c
}

// Now returns the time of the clock. Only differences of its values have a meaning.
func (c *Clock) Now() time.Time {
	elapsed := time.Since(c.start)
	if c.hasBoot {
		if t, ok := c.boot(); ok {
			elapsed = max(elapsed, t-c.bootStart)
		}
	}
	return c.start.Add(elapsed)
}
