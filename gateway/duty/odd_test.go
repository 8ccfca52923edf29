package duty

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/oddvalue"
	"github.com/pistachiowind/pistachiowind/storage"
)

// countingLedger knows one request of the account a in each window.
type countingLedger struct{}

func (countingLedger) Totals(int64) map[string]uint64          { return map[string]uint64{"a": 1} }
func (countingLedger) Complete(int64) bool                     { return true }
func (countingLedger) Windows() (first, latest int64, ok bool) { return 0, 1 << 40, true }
func (countingLedger) Revision() uint64                        { return 1 }
func (countingLedger) Encode() ([][]byte, error)               { return [][]byte{[]byte("counts")}, nil }
func (countingLedger) Merge([]byte) error                      { return nil }

// Guards against an odd row of the reporter that ends the gateway which holds the duty, that
// keeps it from reporting the windows of other rows, or whose counts are reported although
// none can be so large.
func TestOddRowOfTheReporterHarmsNoOther(t *testing.T) {
	const window, delay = 5 * time.Second, 10 * time.Second
	began := time.Unix(5_000, 0)
	current := began.UnixNano() / int64(window)
	index := slotIndex(current - 2)
	record := fmt.Sprintf(`{"format":1,"window":%d,"counts":{"a":3},"sent":false}`, current-2)
	era := fmt.Sprintf(`{"format":1,"era":1,"first_window":%d}`, current-3)
	for key, document := range map[string]string{reportKey(index): record, eraKey: era, countsKey(0): `{"a":1}`} {
		for name, variant := range oddvalue.JSON(document) {
			r := NewReporter(ReporterOptions{
				Ledger: countingLedger{}, Window: window, Delay: delay, CallsPerSecond: 100,
				Rand: rand.New(rand.NewPCG(1, 2)), OnEvent: func(Event) {},
			})
			r.Begin(began)
			sent := map[int64]bool{}
			for at := began; at.Before(began.Add(60 * time.Second)); at = at.Add(100 * time.Millisecond) {
				m := Moment{Now: at, True: at, Era: 1}
				r.Observe(m, true)
				step := r.Next(m)
				switch step.Kind {
				case StepLoad:
					r.Handle(m, step, []storage.Row{{Key: key, Value: []byte(variant), Revision: "1", Era: 1}}, nil)
				case StepWrite:
					written := make([]storage.Row, len(step.Rows))
					for i, row := range step.Rows {
						written[i] = storage.Row{Key: row.Key, Value: row.Value, Revision: "2", Era: 1}
					}
					r.Handle(m, step, written, nil)
				case StepSend:
					for account, count := range step.Counts {
						if count > maxRecordedCount {
							t.Errorf("%s: %s: %d requests of %.10q are reported", key, name, count, account)
						}
					}
					sent[step.Window] = true
					r.Handle(m, step, nil, nil)
				}
			}
			for w := current + 2; w < current+10; w++ {
				if !sent[w] && !(key == reportKey(index) && slotIndex(w) == index) {
					t.Errorf("%s: %s: window %d is not reported", key, name, w-current)
				}
			}
		}
	}
}
