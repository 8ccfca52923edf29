package usage

import (
	"slices"
	"time"
)

const (
	// offsetTTL is how long the wall clock of a silent peer counts: three statement
	// intervals of the largest site.
	offsetTTL = 15 * time.Second
	// offsetSpan is the least time over which the largest offset of a peer is taken. A
	// delayed statement shows too small an offset: a process that was stopped for seconds
	// handles old datagrams first.
	offsetSpan = time.Second
	// maxPeers bounds the peers whose offsets are kept, as package peers does.
	maxPeers = 512
	// maxUnixMS bounds the wall-clock time that a peer can state; the year is 2109.
	maxUnixMS = 1 << 42
)

// Clock estimates true time as the steady clock of this process plus the median of the
// offsets of the wall clocks of the recently heard gateways and its own. Clocks that jump
// do not move it while they are a minority, and a steady clock that stood still while its
// VM was suspended is corrected by the next statements.
type Clock struct {
	start time.Time
	peers map[string]*peerOffset
	// sorted holds the offsets of the peers in ascending order as of sortedAt, in
	// nanoseconds. It is nil after a change.
	sorted   []int64
	sortedAt time.Time
}

// peerOffset holds the largest offset of a peer in the current and the previous span, in
// nanoseconds.
type peerOffset struct {
	heardAt, spanAt   time.Time
	current, previous int64
}

// NewClock returns a clock that knows no peers. The steady time counts from start, which
// must have a monotonic clock reading outside of tests.
func NewClock(start time.Time) *Clock {
	return &Clock{start: start, peers: make(map[string]*peerOffset)}
}

// Observe records the wall-clock time that a peer stated, in Unix milliseconds. Zero and
// implausible times are ignored.
func (c *Clock) Observe(now time.Time, peer string, unixMS int64) {
	if unixMS <= 0 || unixMS > maxUnixMS {
		return
	}
	offset := unixMS*int64(time.Millisecond) - int64(now.Sub(c.start))
	c.sorted = nil
	p := c.peers[peer]
	switch {
	case p == nil || now.Sub(p.heardAt) > offsetTTL:
		if p == nil && len(c.peers) >= maxPeers {
			return
		}
		c.peers[peer] = &peerOffset{heardAt: now, spanAt: now, current: offset, previous: offset}
		return
	case now.Sub(p.spanAt) >= offsetSpan:
		p.previous, p.current, p.spanAt = p.current, offset, now
	default:
		p.current = max(p.current, offset)
	}
	p.heardAt = now
}

// Now returns the estimate of true time. The time now is read from the steady clock, and
// wall from the wall clock of this VM at the same moment.
func (c *Clock) Now(now, wall time.Time) time.Time {
	steady := int64(now.Sub(c.start))
	own := wall.UnixNano() - steady
	c.sort(now)
	i, _ := slices.BinarySearch(c.sorted, own)
	// at returns the offset at a position among those of the peers and the own one.
	at := func(position int) int64 {
		switch {
		case position < i:
			return c.sorted[position]
		case position == i:
			return own
		}
		return c.sorted[position-1]
	}
	n := len(c.sorted) + 1
	low, high := at((n-1)/2), at(n/2)
	return time.Unix(0, low+(high-low)/2+steady)
}

// sort updates sorted after a change and once in offsetSpan, and forgets silent peers.
func (c *Clock) sort(now time.Time) {
	if c.sorted != nil && now.Sub(c.sortedAt) < offsetSpan {
		return
	}
	c.sorted, c.sortedAt = make([]int64, 0, len(c.peers)), now
	for name, p := range c.peers {
		if now.Sub(p.heardAt) > offsetTTL {
			delete(c.peers, name)
			continue
		}
		c.sorted = append(c.sorted, max(p.current, p.previous))
	}
	slices.Sort(c.sorted)
}
