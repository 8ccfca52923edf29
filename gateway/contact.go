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
	// aliasesHeardAfter is how long a gateway must be in touch with its peers until it knows
	// which attempts took up the streams that still run, if it can't read that in the store. It
	// is about as long as callers take a stream up after it broke off.
	aliasesHeardAfter = 4 * time.Second
)

// contact holds when a gateway was last told what its peers know of the site.
type contact struct {
	// hasPeers is set if the settings name other gateways.
	hasPeers bool
	// heardAt is when a peer last sent a statement, and rowsReadAt when the last successful
	// read of the rows of the site began.
	heardAt, rowsReadAt time.Time
	// inTouchSince is when a statement ended the last longer silence, the one after the start
	// included, and missedUntil the same without the start: statements before may have been
	// missed.
	inTouchSince, missedUntil time.Time
	// ranAt is when the process last called ran, and distrustUntil the time until which
	// statements may be from before a standstill.
	ranAt, distrustUntil time.Time
	// rowsWanted is set while a request waits for the rows to be read, and aliasesWanted while
	// it does so for the attempts that took a stream up. rowsFailed is set if the last read
	// failed.
	rowsWanted, aliasesWanted, rowsFailed bool
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
	if c.heardAt.IsZero() || now.Sub(c.heardAt) > versions.BlindAfter {
		c.inTouchSince = now
		if !c.heardAt.IsZero() {
			c.missedUntil = now
		}
	}
	c.heardAt = now
}

// knowsAliases reports whether the gateway knows which attempts took up the streams that still
// run, those included that were refused before a request arrived. Peers state them, also to a
// gateway that has just started; it must have read the rows since it may have missed
// statements, or have heard its peers for long enough. While a peer is missing, which may only
// be cut off, the rows must have been read since the request arrived, if the store answers.
func (c *contact) knowsAliases(now, arrived time.Time, peerMissing bool) bool {
	switch {
	case !c.rowsReadAt.Before(arrived):
		return true
	case peerMissing && !c.rowsFailed:
		return false
	case !c.rowsReadAt.IsZero() && !c.rowsReadAt.Before(c.missedUntil):
		return true
	}
	return !c.inTouchSince.IsZero() && now.Sub(c.inTouchSince) > aliasesHeardAfter
}

// rowsRead records that the rows of the site were read by a call that began at a time.
func (c *contact) rowsRead(began time.Time) {
	c.rowsReadAt, c.rowsWanted, c.aliasesWanted, c.rowsFailed = began, false, false, false
}

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
