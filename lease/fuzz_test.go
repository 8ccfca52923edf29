package lease

import (
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

// Guards against a value of the row that causes a panic, that is decoded although it
// is refused, that lowers the fencing number, or that makes a process hold the lease
// without having written the row.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"format":1,"holder":"router-1","number":7,"renewal":3}`, `{"format":1,"number":18446744073709551615}`,
		`{"format":2,"holder":"x"}`, `{"format":1,"number":-1}`, `{}`, `null`, `[`, "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := Decode(value)
		if err != nil && r != (Record{}) {
			t.Fatalf("refused row was decoded as %+v", r)
		}
		now := time.Unix(0, 0)
		e := NewElection("self")
		a, ok := e.Next(now)
		if !ok || a.Write {
			t.Fatalf("first action %+v", a)
		}
		e.HandleResult(now, a, storage.Row{Value: value, Revision: "1"}, nil)
		if number, held := e.Held(now); held {
			t.Fatalf("lease held with number %d after a read", number)
		}
		if a, ok = e.Next(now.Add(TTL + ClockDriftMargin)); ok && a.Write && a.record.Number < r.Number {
			t.Fatalf("fencing number fell from %d to %d", r.Number, a.record.Number)
		}
	})
}
