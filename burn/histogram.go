package burn

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramDigits is the precision: two significant digits, 1% error.
	histogramDigits = 2
	// histogramMax is the longest duration that is told apart; longer ones are
	// recorded as this.
	histogramMax = time.Hour
)

// Histogram is a distribution of durations in steps of at least 1 µs. Its JSON
// form is a list of [value in µs, count]. The zero value is empty and ready for
// use.
type Histogram struct {
	packed *hdrhistogram.PackedHistogram
}

// Add records one duration.
func (h *Histogram) Add(d time.Duration) {
	us := min(max(d, 0), histogramMax).Microseconds()
	// The value is within the range of the histogram, so no error can occur.
	_ = h.grown().RecordValue(us)
}

// Merge adds the counts of other.
func (h *Histogram) Merge(other *Histogram) {
	if other.Count() > 0 {
		h.grown().Merge(other.packed)
	}
}

func (h *Histogram) grown() *hdrhistogram.PackedHistogram {
	if h.packed == nil {
		h.packed = hdrhistogram.NewPacked(1, histogramMax.Microseconds(), histogramDigits)
	}
	return h.packed
}

// Count returns the number of recorded durations.
func (h *Histogram) Count() int64 {
	if h.packed == nil {
		return 0
	}
	return h.packed.TotalCount()
}

// Percentile returns the duration that p percent do not exceed, 0 if empty.
func (h *Histogram) Percentile(p float64) time.Duration {
	if h.packed == nil {
		return 0
	}
	return time.Duration(h.packed.ValueAtPercentile(p)) * time.Microsecond
}

// bucket is a value in microseconds and its count.
type bucket [2]int64

// MarshalJSON implements json.Marshaler. The library's own encoding is not
// used: it allocates a new compressor of about 1 MB for each histogram.
func (h Histogram) MarshalJSON() ([]byte, error) {
	buckets := []bucket{}
	if h.packed != nil {
		h.packed.ForEachBucket(func(value, count int64) bool {
			buckets = append(buckets, bucket{value, count})
			return true
		})
	}
	return json.Marshal(buckets)
}

// UnmarshalJSON implements json.Unmarshaler. Values above the range and
// negative counts are refused.
func (h *Histogram) UnmarshalJSON(text []byte) error {
	h.packed = nil
	var buckets []bucket
	if err := json.Unmarshal(text, &buckets); err != nil {
		return err
	}
	for _, b := range buckets {
		if err := h.grown().RecordValues(b[0], b[1]); err != nil {
			return fmt.Errorf("histogram bucket %v: %w", b, err)
		}
	}
	return nil
}

// Tokens collects the times between the tokens of one response. It is not safe
// for concurrent use. The zero value has no target.
type Tokens struct {
	histogram Histogram
	target    time.Duration
	over      int64
}

// tokenShare is the share of tokens that must arrive within the target.
const tokenShare = 0.95

// NewTokens returns a collector with a target for the time between tokens;
// zero means none.
func NewTokens(target time.Duration) *Tokens {
	return &Tokens{target: target}
}

// Add records the time between two tokens.
func (t *Tokens) Add(d time.Duration) {
	t.histogram.Add(d)
	if d > t.target {
		t.over++
	}
}

// Met reports whether 95 in 100 tokens arrived within the target. It is true
// without a target or tokens. The count is exact, not from the histogram.
func (t *Tokens) Met() bool {
	if t == nil || t.target == 0 {
		return true
	}
	return float64(t.over) <= (1-tokenShare)*float64(t.histogram.Count())
}
