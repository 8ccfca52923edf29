package crashes

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func broke(f Fingerprint, endpoint uint64, after time.Duration) Observation {
	return Observation{Request: f, Endpoint: endpoint, At: start.Add(after)}
}

// Guards against a request that goes on crashing endpoints, at this gateway and
// at others.
func TestRequestThatBrokeThreeEndpointsIsCondemned(t *testing.T) {
	own, peer := New(), New()
	own.Broke(broke(1, 10, 0))
	own.Broke(broke(1, 11, time.Second))
	if own.Condemned(start.Add(time.Second), 1) {
		t.Fatal("condemned after two endpoints")
	}
	peer.Broke(broke(1, 12, 2*time.Second))
	for _, o := range peer.Reports(start.Add(2 * time.Second)) {
		own.Hear(o)
	}
	if !own.Condemned(start.Add(2*time.Second), 1) {
		t.Fatal("not condemned after three endpoints")
	}
	if own.Condemned(start.Add(2*time.Second), 2) || own.Condemned(start.Add(2*time.Second+lifetime+1), 1) {
		t.Fatal("an innocent or a forgotten request is condemned")
	}
}

// Guards against condemning a request for one bad endpoint, or for answers that
// were lost while the request itself is sound.
func TestSoundRequestsAreNotCondemned(t *testing.T) {
	c := New()
	for i := range 10 {
		c.Broke(broke(1, 10, time.Duration(i)*time.Second))
	}
	if c.Condemned(start.Add(10*time.Second), 1) {
		t.Fatal("condemned for one endpoint that broke often")
	}
	c.Broke(broke(1, 11, 11*time.Second))
	c.Succeeded(1)
	c.Broke(broke(1, 12, 12*time.Second))
	if c.Condemned(start.Add(12*time.Second), 1) {
		t.Fatal("condemned although it succeeded in between")
	}
}

// Guards against tables that grow with the traffic of an outage.
func TestBounds(t *testing.T) {
	c := New()
	for i := range 3 * maxSuspects {
		c.Broke(broke(Fingerprint(i), 1, 0))
	}
	if c.suspects.Len() > maxSuspects || len(c.Reports(start)) > maxReports {
		t.Fatalf("%d suspects, %d reports", c.suspects.Len(), len(c.Reports(start)))
	}
	if left := c.Reports(start.Add(reportFor + 1)); len(left) != 0 {
		t.Fatalf("%d reports after their time", len(left))
	}
}
