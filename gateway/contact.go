package gateway

import (
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/versions"
)

const (
	// silentAfter is the time without a statement of a peer after which a gateway may have
	// missed a change of the designated versions, and reads the rows of the site instead. A
	// process that did not run for so long has stood still.
	silentAfter = 400 * time.Millisecond
	// oldStatementsFor is how long after a standstill statements are not counted as news: those
	// that arrived meanwhile are still in the socket's buffer, and the later ones may not be.
	oldStatementsFor = 500 * time.Millisecond
)

// contact holds when a gateway was last told what its peers know of the site.
type contact struct {
	// hasPeers is set if the settings name other gateways.
	hasPeers bool
	// heardAt is when a peer last sent a statement, and rowsReadAt when the last successful
	// read of the rows of the site began.
	heardAt, rowsReadAt time.Time
	// ranAt is when the process last called ran, and distrustUntil the time until which
	// statements may be from before a standstill.
	ranAt, distrustUntil time.Time
	// rowsWanted is set while a request waits for the rows to be read.
	rowsWanted bool
}

// ran records that the process runs, and returns for how long it may have stood still; zero
// if it did not. It must be called several times in silentAfter, and before each use of what
// the gateway knows.
func (c *contact) ran(now time.Time) time.Duration {
	gap := now.Sub(c.ranAt)
	first := c.ranAt.IsZero()
	c.ranAt = now
	if first || gap <= silentAfter {
		return 0
	}
	c.distrustUntil = now.Add(oldStatementsFor)
	return gap
}

// distrusts reports whether a statement that is received now may be from before a standstill.
func (c *contact) distrusts(now time.Time) bool { return now.Before(c.distrustUntil) }

// heard records a statement of a peer. After a longer silence, only a complete one shows what
// the gateway has missed: peers state a change again for about as long.
func (c *contact) heard(now time.Time, complete bool) {
	if c.distrusts(now) || c.silentFor(now) > versions.BlindAfter && !complete {
		return
	}
	c.heardAt = now
}

// rowsRead records that the rows of the site were read by a call that began at a time.
func (c *contact) rowsRead(began time.Time) { c.rowsReadAt, c.rowsWanted = began, false }

// silentFor returns the time since a peer or the store last told the gateway about the site;
// zero for a gateway without peers, which alone could change something.
func (c *contact) silentFor(now time.Time) time.Duration {
	if c.heardAt.IsZero() && !c.hasPeers {
		return 0
	}
	latest := c.heardAt
	if c.rowsReadAt.After(latest) {
		latest = c.rowsReadAt
	}
	return now.Sub(latest)
}
