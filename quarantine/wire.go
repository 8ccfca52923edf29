package quarantine

import (
	"time"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// FingerprintOf returns the fingerprint with the bytes of digest. It returns false
// for a digest of the wrong size, which identifies no request.
func FingerprintOf(digest []byte) (Fingerprint, bool) {
	var f Fingerprint
	if len(digest) != len(f) {
		return f, false
	}
	copy(f[:], digest)
	return f, true
}

// Lookup returns the evidence against f. It returns false if there is none or it
// has expired.
func (t *Tracker) Lookup(now time.Time, f Fingerprint) (Record, bool) {
	return t.record(now, f)
}

// Message returns the record as an RPC message. The message states the age of the
// last crash in milliseconds instead of its time, so that the clocks of two processes
// are not compared.
func (r Record) Message(now time.Time) *rpc.Evidence {
	return &rpc.Evidence{
		Fingerprint: r.Fingerprint[:],
		Endpoints:   r.Endpoints,
		Alone:       r.Alone,
		AgeMs:       uint32(max(now.Sub(r.Last).Milliseconds(), 0)),
	}
}

// FromMessage returns the record in an RPC message. It returns false if the
// fingerprint is invalid or no endpoint is named.
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
