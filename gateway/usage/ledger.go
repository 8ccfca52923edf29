// Package usage counts the requests that endpoints began to run, by client account and
// window of true time, over all gateways of a site.
//
// A Ledger holds counts by source, which is one process of a gateway. The counts of a
// source only rise, so that merging two ledgers takes the maximum. A source states when its
// counts of a window are final, and the sum of them, by which the others know that they
// have all of them. A Clock estimates true time.
//
// Neither is safe for concurrent use. The time is a parameter.
package usage

import (
	"math"
	"time"
)

const (
	// keptWindows is the number of windows, the current one included, whose counts are kept.
	keptWindows = 8
	// aheadWindows is the number of windows after the current one whose counts are accepted:
	// the clocks of gateways differ by some ms.
	aheadWindows = 1
	// silentWindows is the number of windows after the one in which a peer was last heard for
	// which it is assumed to count on: a peer that is cut off for a few seconds does.
	silentWindows = 1
	// maxSources bounds the sources: all gateways of the largest site, twice.
	maxSources = 1024
	// maxAccounts bounds the accounts of one source in one window, five times those of the
	// largest site.
	maxAccounts = 4096
	// maxEntries bounds the counts of all sources together: some 30 MB.
	maxEntries = 1 << 18
	// Closed is the final window of a source that has ended and counts nothing more.
	Closed = math.MaxInt64
)

// Source identifies one process of a gateway by its address and its start time in Unix
// microseconds.
type Source struct {
	Address     string
	Incarnation uint64
}

// Ledger holds the counts of all sources in the latest windows.
type Ledger struct {
	length  time.Duration
	self    Source
	sources map[Source]*source
	// entries is the number of counts of all sources.
	entries int
	// first is the first window in which any source counted, if counted is set, and latest the
	// current one.
	first, latest int64
	counted       bool
	revision      uint64
	// dropped is the number of counts and statements that were not recorded because of a bound.
	dropped uint64
	outbox  outbox
}

// source is what is known of one source.
type source struct {
	windows map[int64]*window
	// final is the latest window that the source stated final.
	final int64
	// aliveFrom and aliveTo are the windows in which it was first and last known to run.
	aliveFrom, aliveTo int64
	// superseded is set once a later process at its address is known.
	superseded bool
}

// window holds the counts of one source in one window.
type window struct {
	counts map[string]uint64
	// sum is that of counts, and total the sum that the source stated.
	sum, total uint64
}

// NewLedger returns an empty ledger of windows of the given length, which must be positive.
func NewLedger(length time.Duration) *Ledger {
	return &Ledger{length: length, sources: make(map[Source]*source), outbox: newOutbox()}
}

// Start sets the source that counts here, and the true time of its start. It must be
// called before the first count.
func (l *Ledger) Start(self Source, trueTime time.Time) {
	l.self = self
	l.Advance(trueTime)
	l.find(self, l.latest)
}

// Window returns the window of a true time.
func (l *Ledger) Window(trueTime time.Time) int64 {
	n := trueTime.UnixNano()
	w := n / int64(l.length)
	if n < 0 {
		w--
	}
	return w
}

// End returns the true time at which a window ends.
func (l *Ledger) End(w int64) time.Time { return time.Unix(0, (w+1)*int64(l.length)) }

// Advance sets the true time and drops the windows that have left the ledger.
func (l *Ledger) Advance(trueTime time.Time) {
	current := l.Window(trueTime)
	if own := l.sources[l.self]; own != nil {
		own.aliveTo = current
	}
	if current == l.latest {
		return
	}
	l.latest = current
	for key, s := range l.sources {
		for n, w := range s.windows {
			if !l.keeps(n) {
				l.entries -= len(w.counts)
				delete(s.windows, n)
			}
		}
		if len(s.windows) == 0 && s.aliveTo <= l.latest-keptWindows && key != l.self {
			delete(l.sources, key)
		}
	}
	l.outbox.prune(l.keeps)
}

// keeps reports whether counts of a window are kept.
func (l *Ledger) keeps(w int64) bool {
	return w > l.latest-keptWindows && w <= l.latest+aheadWindows
}

// find returns a source, which is added if it is not known; nil at the bound. A new source
// runs since a window.
func (l *Ledger) find(key Source, since int64) *source {
	if s := l.sources[key]; s != nil {
		return s
	}
	if len(l.sources) >= maxSources {
		l.dropped++
		return nil
	}
	added := &source{windows: make(map[int64]*window), aliveFrom: since, aliveTo: since}
	for k, s := range l.sources {
		if k.Address != key.Address {
			continue
		}
		s.superseded = s.superseded || k.Incarnation < key.Incarnation
		added.superseded = added.superseded || k.Incarnation > key.Incarnation
	}
	l.sources[key] = added
	return added
}

// raise sets a count if it is higher than the known one, and reports whether it is.
func (l *Ledger) raise(s *source, w int64, account string, count uint64) bool {
	if !l.keeps(w) || count == 0 {
		return false
	}
	counts := s.window(w)
	known := counts.counts[account]
	if count <= known {
		return false
	}
	if known == 0 {
		if len(counts.counts) >= maxAccounts || l.entries >= maxEntries {
			l.dropped++
			return false
		}
		l.entries++
	}
	counts.counts[account] = count
	counts.sum += count - known
	l.revision++
	if !l.counted || w < l.first {
		l.first, l.counted = w, true
	}
	return true
}

// window returns the counts of a window.
func (s *source) window(w int64) *window {
	if s.windows[w] == nil {
		s.windows[w] = &window{counts: make(map[string]uint64)}
	}
	return s.windows[w]
}

// Count counts a request of an account in a window. A window that was stated final gets no
// further count; the next one does instead, unless true time was corrected by more than a
// window.
func (l *Ledger) Count(w int64, account string) {
	own := l.find(l.self, l.latest)
	if own == nil {
		return
	}
	if w <= own.final && own.final <= l.latest {
		w = own.final + 1
	}
	if !l.keeps(w) {
		w = l.latest
	}
	count := own.window(w).counts[account] + 1
	if l.raise(own, w, account, count) {
		l.outbox.changed(Entry{Window: w, Account: account})
	}
}

// Finalize states that the own counts of a window and those before it are final. An earlier
// one than before has no effect.
func (l *Ledger) Finalize(w int64) {
	if own := l.sources[l.self]; own != nil {
		own.final = max(own.final, w)
	}
}

// Final returns the latest window whose own counts are final; zero for none.
func (l *Ledger) Final() int64 {
	if own := l.sources[l.self]; own != nil {
		return own.final
	}
	return 0
}

// Totals returns the counts by client account of a window over all sources.
func (l *Ledger) Totals(w int64) map[string]uint64 {
	totals := make(map[string]uint64)
	for _, s := range l.sources {
		if counts := s.windows[w]; counts != nil {
			for account, n := range counts.counts {
				totals[account] += n
			}
		}
	}
	return totals
}

// Complete reports whether every source that counted in the window, or was alive in it, has
// stated it final, and all that it counted is known. It is false for a window that is not
// kept or has not ended.
func (l *Ledger) Complete(w int64) bool {
	if !l.keeps(w) || w >= l.latest {
		return false
	}
	for _, s := range l.sources {
		if s.awaited(w) {
			return false
		}
	}
	return true
}

// Awaited returns the sources that keep a window incomplete.
func (l *Ledger) Awaited(w int64) []Source {
	var awaited []Source
	for key, s := range l.sources {
		if s.awaited(w) {
			awaited = append(awaited, key)
		}
	}
	return awaited
}

// awaited reports whether the source may have counted something in a window that is not
// known here.
func (s *source) awaited(w int64) bool {
	counts := s.windows[w]
	if s.final >= w {
		return counts != nil && counts.sum < counts.total
	}
	if counts != nil {
		return true
	}
	until := s.aliveTo
	if !s.superseded {
		until += silentWindows
	}
	return w >= s.aliveFrom && w <= until
}

// Windows returns the first window that the site counted and the latest one that has begun;
// ok is false before the first count.
func (l *Ledger) Windows() (first, latest int64, ok bool) { return l.first, l.latest, l.counted }

// Revision increases with each change of the counts.
func (l *Ledger) Revision() uint64 { return l.revision }

// Incomplete returns the number of windows of the site that have ended and are not complete.
func (l *Ledger) Incomplete() int {
	n := 0
	for w := max(l.first, l.latest-keptWindows+1); l.counted && w < l.latest; w++ {
		if !l.Complete(w) {
			n++
		}
	}
	return n
}

// Dropped returns the number of counts and statements that were not recorded because of a
// bound.
func (l *Ledger) Dropped() uint64 { return l.dropped }
