package usage

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
)

const (
	// maxRowBytes bounds the value of a row; the store takes 64 KiB with its key.
	maxRowBytes = 48 << 10
	// rowOverhead bounds the bytes of a row without its accounts and sources, sourceOverhead
	// those of a source without its address and windows, and windowOverhead those of a window
	// without its counts.
	rowOverhead    = 16
	sourceOverhead = 64
	windowOverhead = 48
	accountFraming = 6
)

// rowEncoder splits counts into rows.
type rowEncoder struct {
	first int64
	rows  [][]byte
	row   *wire.UsageCheckpoint
	// bytes is an upper bound for the encoded size of row.
	bytes int
	// index maps the accounts of row to their positions.
	index map[string]uint32
}

// Encode returns the counts by source as values of rows of at most 48 KiB each. Each value
// can be merged alone.
func (l *Ledger) Encode() ([][]byte, error) {
	e := &rowEncoder{first: l.first}
	e.begin()
	order := func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
	}
	for _, key := range slices.SortedFunc(maps.Keys(l.sources), order) {
		if err := e.addSource(key, l.sources[key]); err != nil {
			return nil, err
		}
	}
	if err := e.flush(); err != nil {
		return nil, err
	}
	return e.rows, nil
}

func (e *rowEncoder) begin() {
	e.row, e.bytes, e.index = &wire.UsageCheckpoint{FirstWindow: e.first}, rowOverhead, make(map[string]uint32)
}

// flush ends the current row unless it is empty.
func (e *rowEncoder) flush() error {
	if len(e.row.Sources) == 0 {
		return nil
	}
	value, err := proto.Marshal(e.row)
	if err != nil {
		return fmt.Errorf("encode usage: %w", err)
	}
	e.rows = append(e.rows, value)
	e.begin()
	return nil
}

// makeRoom ends the current row if it has no room for n more bytes.
func (e *rowEncoder) makeRoom(n int) (flushed bool, err error) {
	if e.bytes+n <= maxRowBytes {
		return false, nil
	}
	return true, e.flush()
}

func (e *rowEncoder) addSource(key Source, s *source) error {
	if _, err := e.makeRoom(sourceOverhead + len(key.Address)); err != nil {
		return err
	}
	begin := func() *wire.UsageSource {
		e.bytes += sourceOverhead + len(key.Address)
		added := &wire.UsageSource{
			Address: key.Address, Incarnation: key.Incarnation, FinalWindow: s.final, AliveFrom: s.aliveFrom, AliveTo: s.aliveTo,
		}
		e.row.Sources = append(e.row.Sources, added)
		return added
	}
	encoded := begin()
	for _, n := range slices.Sorted(maps.Keys(s.windows)) {
		var w *wire.UsageWindow
		beginWindow := func() {
			e.bytes += windowOverhead
			w = &wire.UsageWindow{Window: n, Total: max(s.windows[n].total, s.windows[n].sum)}
			encoded.Windows = append(encoded.Windows, w)
		}
		flushed, err := e.makeRoom(windowOverhead)
		if err != nil {
			return err
		}
		if flushed {
			encoded = begin()
		}
		beginWindow()
		for _, account := range slices.Sorted(maps.Keys(s.windows[n].counts)) {
			count := s.windows[n].counts[account]
			flushed, err := e.makeRoom(len(account) + accountFraming + protowire.SizeVarint(uint64(len(e.index))) + protowire.SizeVarint(count))
			if err != nil {
				return err
			}
			if flushed {
				encoded = begin()
				beginWindow()
			}
			e.addCount(w, account, count)
		}
	}
	return nil
}

func (e *rowEncoder) addCount(w *wire.UsageWindow, account string, count uint64) {
	i, known := e.index[account]
	if !known {
		i = uint32(len(e.index))
		e.index[account] = i
		e.row.Accounts = append(e.row.Accounts, account)
		e.bytes += len(account) + accountFraming
	}
	w.Accounts = append(w.Accounts, i)
	w.Counts = append(w.Counts, count)
	e.bytes += protowire.SizeVarint(uint64(i)) + protowire.SizeVarint(count)
}

// Merge adds the counts of a row that Encode returned; merging twice has no effect. A row
// that cannot be decoded yields an error and changes nothing.
func (l *Ledger) Merge(value []byte) error {
	var row wire.UsageCheckpoint
	if err := proto.Unmarshal(value, &row); err != nil {
		return fmt.Errorf("decode usage: %w", err)
	}
	for _, encoded := range row.Sources {
		for _, w := range encoded.Windows {
			if len(w.Accounts) != len(w.Counts) {
				return fmt.Errorf("decode usage: %d accounts with %d counts", len(w.Accounts), len(w.Counts))
			}
			for _, i := range w.Accounts {
				if int(i) >= len(row.Accounts) {
					return fmt.Errorf("decode usage: account %d of %d", i, len(row.Accounts))
				}
			}
		}
	}
	for _, encoded := range row.Sources {
		l.mergeSource(row.Accounts, encoded)
	}
	if row.FirstWindow > 0 && (!l.counted || row.FirstWindow < l.first) {
		l.first, l.counted = row.FirstWindow, true
	}
	return nil
}

// mergeSource merges the counts of a source unless all of them have left the ledger.
func (l *Ledger) mergeSource(accounts []string, encoded *wire.UsageSource) {
	key := Source{Address: encoded.Address, Incarnation: encoded.Incarnation}
	kept := slices.ContainsFunc(encoded.Windows, func(w *wire.UsageWindow) bool { return l.keeps(w.Window) })
	if !kept && encoded.AliveTo <= l.latest-keptWindows {
		return
	}
	s := l.find(key, encoded.AliveFrom)
	if s == nil {
		return
	}
	s.aliveFrom, s.aliveTo = min(s.aliveFrom, encoded.AliveFrom), max(s.aliveTo, min(encoded.AliveTo, l.latest))
	if key != l.self {
		s.final = max(s.final, encoded.FinalWindow)
	}
	for _, w := range encoded.Windows {
		if !l.keeps(w.Window) {
			continue
		}
		counts := s.window(w.Window)
		counts.total = max(counts.total, w.Total)
		for i, account := range w.Accounts {
			l.raise(s, w.Window, accounts[account], w.Counts[i])
		}
	}
}
