package lease

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

// Guards against two holders with the same fencing token: a process writes over the row that
// it read before the store was restored, while another one holds the lease of the earlier era.
func TestTakeoverInRestoredStoreWaits(t *testing.T) {
	times := Times{TTL: 3 * time.Second, Margin: 600 * time.Millisecond, Renew: time.Second, Observe: time.Second, Retry: 500 * time.Millisecond, CoolDown: true}
	for _, lost := range []bool{false, true} {
		e := NewElectionWith("b", times)
		wait := times.takeoverWait()
		read := func(now time.Time) {
			a, ok := e.Next(now)
			if !ok || a.Write {
				t.Fatalf("at %v: action %+v, %v, want a read", now.Sub(start), a, ok)
			}
			value, _ := json.Marshal(Record{Format: recordFormat, Number: 6})
			e.HandleResult(now, a, storage.Row{Value: value, Revision: "10", Era: 1}, nil)
		}
		read(start)
		now := start.Add(times.Observe)
		read(now)
		// The process is eligible. Another one takes the lease with number 7, then the store is
		// restored.
		now = start.Add(wait)
		a, ok := e.Next(now)
		if !ok || !a.Write {
			t.Fatalf("action %+v, %v, want a write", a, ok)
		}
		if lost {
			e.HandleResult(now, a, storage.Row{}, storage.ErrOutcomeUnknown)
			now = now.Add(times.Retry)
			b, _ := e.Next(now)
			e.HandleResult(now, b, storage.Row{Value: a.Value, Revision: "11", Era: 2}, nil)
		} else {
			e.HandleResult(now, a, storage.Row{Revision: "11", Era: 2}, nil)
		}
		checkHeld(t, e, now, 0)
		settled := now.Add(wait)
		revision := storage.Revision("11")
		for ; now.Before(settled.Add(2 * times.Observe)); now = now.Add(100 * time.Millisecond) {
			if _, held := e.Held(now); held && now.Before(settled) {
				t.Fatalf("held %v after the restore, want %v", now.Sub(settled)+wait, wait)
			}
			for range 3 {
				b, due := e.Next(now)
				if !due {
					break
				}
				row := storage.Row{Value: a.Value, Revision: revision, Era: 2}
				if b.Write {
					a.Value, revision = b.Value, revision+"x"
					row = storage.Row{Revision: revision, Era: 2}
				}
				e.HandleResult(now, b, row, nil)
			}
		}
		checkHeld(t, e, now, 7)
	}
}
