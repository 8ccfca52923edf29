package standin

import (
	"strings"
	"testing"
	"testing/synctest"
)

// Guards against a log that lacks a call that ran, or has one that did not run. Tests
// of at-most-once execution rely on it.
func TestServiceLogIsWhatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := NewLedger(ServiceOptions{})
		defer ledger.Close()
		c := serveInMemory(t, ledger)
		steps := []struct {
			key    string
			faults ServiceFaults
			status int
			broken bool
		}{
			{"answered", ServiceFaults{DelayMS: 50}, 201, false},
			{"lost", ServiceFaults{LoseAnswers: 1}, 0, true},
			{"refused", ServiceFaults{Down: DownUnavailable}, 503, false},
			{"closed", ServiceFaults{Down: DownClose}, 0, true},
		}
		for _, step := range steps {
			if err := ledger.SetFaults(step.faults); err != nil {
				t.Fatal(err)
			}
			status, _, err := sendRequest(c, "POST", "/charges", `{"amount":7}`, "Idempotency-Key", step.key)
			if status != step.status || (err != nil) != step.broken {
				t.Errorf("%s: %d %v", step.key, status, err)
			}
		}
		if err := ledger.SetFaults(ServiceFaults{}); err != nil {
			t.Fatal(err)
		}
		runs := ledger.RunsByKey()
		if len(runs) != 2 || runs["answered"] != 1 || runs["lost"] != 1 {
			t.Errorf("runs %v", runs)
		}
		status, body, err := sendRequest(c, "GET", "/charges/charge-2", "")
		if err != nil || status != 200 || !strings.Contains(body, `"idempotency_key":"lost","body":{"amount":7}`) {
			t.Errorf("charge-2: %d %s %v", status, body, err)
		}
	})
}

// Guards against a booking service that accepts more bookings than its stock.
func TestBookingStock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		booking := NewBooking(ServiceOptions{Stock: 2})
		defer booking.Close()
		c := serveInMemory(t, booking)
		for _, want := range []int{201, 201, 409} {
			if status, _, err := sendRequest(c, "POST", "/bookings", `{"tonnes":3}`); status != want || err != nil {
				t.Errorf("got %d %v, want %d", status, err, want)
			}
		}
		if _, body, err := sendRequest(c, "GET", "/stock", ""); err != nil || body != "{\"booked\":2,\"left\":0}\n" {
			t.Errorf("stock %s %v", body, err)
		}
	})
}
