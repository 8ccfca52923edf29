package crashes

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func broke(f Fingerprint, endpoint uint64, after time.Duration) Observation {
	return Observation{Request: f, EndpointHash: endpoint, At: start.Add(after)}
}

// Guards against a request that goes on crashing endpoints because it is sent
// again by this gateway or by others.
func TestRequestThatBrokeThreeEndpointsIsCondemned(t *testing.T) {
	local, peer := New(), New()
	local.RecordLocal(broke(1, 10, 0))
	local.RecordLocal(broke(1, 11, time.Second))
	if local.Condemned(start.Add(time.Second), 1) {
		t.Fatal("condemned after two endpoints")
	}
	peer.RecordLocal(broke(1, 12, 2*time.Second))
	for _, o := range peer.LocalObservations(start.Add(2 * time.Second)) {
		local.Record(o)
	}
	if !local.Condemned(start.Add(2*time.Second), 1) {
		t.Fatal("not condemned after three endpoints")
	}
	if local.Condemned(start.Add(2*time.Second), 2) || local.Condemned(start.Add(2*time.Second+suspectTTL+1), 1) {
		t.Fatal("a request without observations or with expired ones is condemned")
	}
}

// Guards against condemning a request because one endpoint breaks often, or because
// responses were lost although the request itself succeeds.
func TestSoundRequestsAreNotCondemned(t *testing.T) {
	c := New()
	for i := range 10 {
		c.RecordLocal(broke(1, 10, time.Duration(i)*time.Second))
	}
	if c.Condemned(start.Add(10*time.Second), 1) {
		t.Fatal("condemned for one endpoint that broke often")
	}
	c.RecordLocal(broke(1, 11, 11*time.Second))
	c.RecordSuccess(1)
	c.RecordLocal(broke(1, 12, 12*time.Second))
	if c.Condemned(start.Add(12*time.Second), 1) {
		t.Fatal("condemned although it succeeded in between")
	}
}

// Guards against suspects and reports that grow without limit in an outage.
func TestBounds(t *testing.T) {
	c := New()
	for i := range 3 * maxSuspects {
		c.RecordLocal(broke(Fingerprint(i), 1, 0))
	}
	if c.suspects.Len() > maxSuspects || len(c.LocalObservations(start)) > maxReports {
		t.Fatalf("%d suspects, %d reports", c.suspects.Len(), len(c.LocalObservations(start)))
	}
	if left := c.LocalObservations(start.Add(reportTTL + 1)); len(left) != 0 {
		t.Fatalf("%d reports after reportTTL", len(left))
	}
}
