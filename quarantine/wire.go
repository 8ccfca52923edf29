package quarantine

import (
	"time"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// FingerprintOf returns the fingerprint with which a request is known. It
// reports false for a digest of another size, which no request can be found by.
func FingerprintOf(digest []byte) (Fingerprint, bool) {
	var f Fingerprint
	if len(digest) != len(f) {
		return f, false
	}
	copy(f[:], digest)
	return f, true
}

// Lookup returns the evidence against f that has not expired.
func (t *Table) Lookup(now time.Time, f Fingerprint) (Record, bool) {
	return t.record(now, f)
}

// Message returns the record as a message. Its age is relative, so that clocks
// are not compared.
func (r Record) Message(now time.Time) *rpc.Evidence {
	return &rpc.Evidence{
		Fingerprint: r.Fingerprint[:],
		Endpoints:   r.Endpoints,
		Alone:       r.Alone,
		AgeMs:       uint32(max(now.Sub(r.Last).Milliseconds(), 0)),
	}
}

// FromMessage returns the record of a message; false without a valid one.
func FromMessage(now time.Time, e *rpc.Evidence) (Record, bool) {
	f, ok := FingerprintOf(e.GetFingerprint())
	if !ok || len(e.GetEndpoints()) == 0 {
		return Record{}, false
	}
	return Record{
		Fingerprint: f,
		Endpoints:   e.GetEndpoints(),
		Alone:       e.GetAlone(),
		Last:        now.Add(-time.Duration(e.GetAgeMs()) * time.Millisecond),
	}, true
}
