package usage

import (
	"slices"
	"time"
)

const (
	// statedRepeat is the number of successive statements that include a changed count, so
	// that the loss of a datagram does not lose it.
	statedRepeat = 3
	// maxRefreshed bounds the unchanged counts in a statement. They are stated in rotation,
	// for peers that were cut off or have started.
	maxRefreshed = 32
)

// Entry is the count of an account in a window. The account is empty for the sum of all
// accounts.
type Entry struct {
	Window  int64
	Account string
	Count   uint64
}

// outbox selects the own counts for the next statement. Its entries have no counts.
type outbox struct {
	// queue holds the entries to be stated, those stated the longest time ago first, and
	// repeats how often each of them is to be stated.
	queue   []Entry
	repeats map[Entry]int
	// all holds every entry, and next the first one to be stated again in rotation.
	all   []Entry
	known map[Entry]bool
	next  int
	// behind is set if the last statement had no room for all changes.
	behind bool
}

func newOutbox() outbox {
	return outbox{repeats: make(map[Entry]int), known: make(map[Entry]bool)}
}

// changed records that a count has changed.
func (o *outbox) changed(e Entry) {
	if o.repeats[e] == 0 {
		o.queue = append(o.queue, e)
	}
	o.repeats[e] = statedRepeat
	if !o.known[e] {
		o.known[e] = true
		o.all = append(o.all, e)
	}
}

// prune drops the entries of windows that are not kept.
func (o *outbox) prune(keeps func(int64) bool) {
	gone := func(e Entry) bool { return !keeps(e.Window) }
	for _, e := range o.all {
		if gone(e) {
			delete(o.known, e)
			delete(o.repeats, e)
		}
	}
	o.queue, o.all = slices.DeleteFunc(o.queue, gone), slices.DeleteFunc(o.all, gone)
	o.next = 0
}

// take returns up to n entries for the next statement.
func (o *outbox) take(n int) []Entry {
	taken := slices.Clone(o.queue[:min(n, len(o.queue))])
	o.queue = slices.Delete(o.queue, 0, len(taken))
	for _, e := range taken {
		if o.repeats[e]--; o.repeats[e] > 0 {
			o.queue = append(o.queue, e)
			continue
		}
		delete(o.repeats, e)
	}
	o.behind = slices.ContainsFunc(o.queue, func(e Entry) bool { return o.repeats[e] == statedRepeat })
	for range min(n-len(taken), maxRefreshed, len(o.all)-len(taken)) {
		o.next = (o.next + 1) % len(o.all)
		taken = append(taken, o.all[o.next])
	}
	return taken
}

// Statement returns up to n own counts for the next statement: the sums of the windows,
// the counts that changed lately and, in rotation, others. The number n must be larger than
// that of the windows.
func (l *Ledger) Statement(n int) []Entry {
	own := l.sources[l.self]
	if own == nil {
		return nil
	}
	var entries []Entry
	for w, counts := range own.windows {
		counts.total = counts.sum
		entries = append(entries, Entry{Window: w, Count: counts.sum})
	}
	for _, e := range l.outbox.take(n - len(entries)) {
		e.Count = own.window(e.Window).counts[e.Account]
		entries = append(entries, e)
	}
	return entries
}

// Unstated reports whether a count has not been stated yet as often as it is to be.
func (l *Ledger) Unstated() bool { return len(l.outbox.queue) > 0 }

// Behind reports whether the last statement had no room for all changes.
func (l *Ledger) Behind() bool { return l.outbox.behind }

// Apply merges what a source states of itself: its counts and sums, and the latest window
// that is final. Statements of the own source have no effect.
func (l *Ledger) Apply(key Source, final int64, entries []Entry) {
	if key == l.self {
		return
	}
	started := l.Window(time.UnixMicro(int64(key.Incarnation)))
	s := l.find(key, min(started, l.latest))
	if s == nil {
		return
	}
	s.aliveTo = max(s.aliveTo, l.latest)
	s.final = max(s.final, final)
	for _, e := range entries {
		if e.Account != "" {
			l.raise(s, e.Window, e.Account, e.Count)
		} else if l.keeps(e.Window) && e.Count > 0 {
			counts := s.window(e.Window)
			counts.total = max(counts.total, e.Count)
		}
	}
}
