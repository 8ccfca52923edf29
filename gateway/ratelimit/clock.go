package ratelimit

import "time"

// maxSiteTime bounds the site time that a peer can state, so that a faulty one cannot
// overflow that of the others.
const maxSiteTime = 10 * 365 * 24 * time.Hour

// clock is a time that all gateways share: the longest uptime of any of them. It needs no
// wall clock, which may jump, and is the same everywhere up to the shortest delay of a
// statement.
type clock struct{ zero time.Time }

// since returns the site time.
func (c *clock) since(now time.Time) time.Duration { return now.Sub(c.zero) }

// local returns the local time of a site time.
func (c *clock) local(site time.Duration) time.Time { return c.zero.Add(site) }

// isBehind reports whether a peer states a later site time.
func (c *clock) isBehind(now time.Time, stated time.Duration) bool {
	return stated > c.since(now) && stated < maxSiteTime
}

// set sets the site time.
func (c *clock) set(now time.Time, site time.Duration) { c.zero = now.Add(-site) }
