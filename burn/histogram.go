package burn

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramDigits is the number of significant decimal digits; 2 limit the
	// error to 1%.
	histogramDigits = 2
	// histogramMax is the highest recordable duration; longer ones are recorded
	// as this value.
	histogramMax = time.Hour
)

// Histogram counts durations in buckets of at least 1 µs. Its JSON form is a list
// of [value in µs, count]. The zero value is empty and ready for use.
type Histogram struct {
	packed *hdrhistogram.PackedHistogram
}

// Add records one duration.
func (h *Histogram) Add(d time.Duration) {
	us := min(max(d, 0), histogramMax).Microseconds()
	// RecordValue fails only for values out of range, and us is clamped to it.
	_ = h.allocated().RecordValue(us)
}

// Merge adds the counts of other.
func (h *Histogram) Merge(other *Histogram) {
	if other.Count() > 0 {
		h.allocated().Merge(other.packed)
	}
}

// allocated returns the underlying histogram and allocates it on first use.
func (h *Histogram) allocated() *hdrhistogram.PackedHistogram {
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

// Percentile returns the duration that p percent of the recorded durations do not
// exceed, or 0 if the histogram is empty.
func (h *Histogram) Percentile(p float64) time.Duration {
	if h.packed == nil {
		return 0
	}
	return time.Duration(h.packed.ValueAtPercentile(p)) * time.Microsecond
}

// bucket is a value in microseconds and its count.
type bucket [2]int64

// MarshalJSON implements json.Marshaler. The encoding of package hdrhistogram is
// not used, because it allocates a compressor of about 1 MB per histogram.
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

// UnmarshalJSON implements json.Unmarshaler. It returns an error for values above
// the range and for negative counts.
func (h *Histogram) UnmarshalJSON(text []byte) error {
	h.packed = nil
	var buckets []bucket
	if err := json.Unmarshal(text, &buckets); err != nil {
		return err
	}
	for _, b := range buckets {
		if err := h.allocated().RecordValues(b[0], b[1]); err != nil {
			return fmt.Errorf("histogram bucket %v: %w", b, err)
		}
	}
	return nil
}

// InterTokenTimes collects the inter-token times of one response. It is not safe for
// concurrent use. The zero value has no target.
type InterTokenTimes struct {
	histogram Histogram
	target    time.Duration
	over      int64
}

// minTokenShareInTarget is the share of inter-token times that must be within the
// target.
const minTokenShareInTarget = 0.95

// NewInterTokenTimes returns a collector with a target for the inter-token time;
// zero means no target.
func NewInterTokenTimes(target time.Duration) *InterTokenTimes {
	return &InterTokenTimes{target: target}
}

// Add records the time between two tokens.
func (t *InterTokenTimes) Add(d time.Duration) {
	t.histogram.Add(d)
	if d > t.target {
		t.over++
	}
}

// Met reports whether at least 95% of the inter-token times are within the target.
// It is true without a target or tokens. The decision uses an exact count, not the
// rounded values of the histogram.
func (t *InterTokenTimes) Met() bool {
	if t == nil || t.target == 0 {
		return true
	}
	return float64(t.over) <= (1-minTokenShareInTarget)*float64(t.histogram.Count())
}
