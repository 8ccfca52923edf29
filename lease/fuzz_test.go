package lease

import (
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

// No value of the row may cause a panic, be decoded after it was refused, lower the
// fencing number, or make a process hold the lease that has not written the row.
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
		l := NewElection("self")
		a, ok := l.Next(now)
		if !ok || a.Write {
			t.Fatalf("first action %+v", a)
		}
		l.HandleResult(now, a, storage.Row{Value: value, Revision: "1"}, nil)
		if number, held := l.Held(now); held {
			t.Fatalf("lease held with number %d after a read", number)
		}
		if a, ok = l.Next(now.Add(TTL + ClockDriftMargin)); ok && a.Write && a.record.Number < r.Number {
			t.Fatalf("fencing number fell from %d to %d", r.Number, a.record.Number)
		}
	})
}
