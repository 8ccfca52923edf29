package lease

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

// Table is what a Competitor needs of the table service; platform.Rows is one.
type Table interface {
	Get(ctx context.Context, key string) (storage.Row, error)
	Put(ctx context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error)
}

// Options configures a Competitor. Table, Name and Self are required.
type Options struct {
	Table Table
	// Name is the lease; Self is the incarnation of this process.
	Name string
	Self string
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// minPause keeps the loop from spinning when no call is due.
const minPause = 100 * time.Millisecond

// Competitor keeps competing for a lease. It drives a Lease and is safe for
// concurrent use.
type Competitor struct {
	o    Options
	wake chan struct{}

	mu    sync.Mutex
	lease *Lease
}

// NewCompetitor returns a Competitor that is idle until Serve is called.
func NewCompetitor(o Options) *Competitor {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Competitor{o: o, wake: make(chan struct{}, 1), lease: New(o.Self)}
}

// Held returns the fencing number while this process holds the lease. It reads
// the clock, so that a process that was paused does not act on an old lease.
func (c *Competitor) Held() (number uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Held(c.o.Now())
}

// Leave gives the lease up; Serve needs one more write for it.
func (c *Competitor) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.Leave(c.o.Now())
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Left reports whether the lease has been given up after Leave, so that Serve
// has nothing more to do.
func (c *Competitor) Left() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Left()
}

// Serve competes until ctx ends, with one call of the table at a time.
func (c *Competitor) Serve(ctx context.Context) error {
	for {
		pause := c.step(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// step makes one call if one is due and returns the time until the next.
func (c *Competitor) step(ctx context.Context) time.Duration {
	c.mu.Lock()
	action, due := c.lease.Next(c.o.Now())
	c.mu.Unlock()
	if due {
		row, err := c.call(ctx, action)
		c.mu.Lock()
		c.lease.Result(c.o.Now(), action, row, err)
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(minPause, c.lease.Wake().Sub(c.o.Now()))
}

func (c *Competitor) call(ctx context.Context, a Action) (storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storage.DefaultCallTimeout)
	defer cancel()
	if a.Write {
		return c.o.Table.Put(ctx, RowKey(c.o.Name), a.Value, a.Expected)
	}
	return c.o.Table.Get(ctx, RowKey(c.o.Name))
}
