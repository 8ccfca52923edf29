package standin

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a store that does not limit concurrent loads, and against a load
// that is cut short but looks complete.
func TestWeightLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewWeightStore(WeightStoreOptions{ModelBytes: 300_000, BytesPerSecond: 100_000, MaxLoads: 1})
		defer store.Close()
		c := serveInMemory(t, store)
		began := time.Now()
		first := make(chan string, 1)
		go func() {
			_, body, err := sendRequest(c, "GET", "/weights/m/v1", "")
			if err != nil {
				t.Error(err)
			}
			first <- body
		}()
		time.Sleep(time.Second)
		if status, _, err := sendRequest(c, "GET", "/weights/m/v2", ""); status != 429 || err != nil {
			t.Errorf("second load: %d %v", status, err)
		}
		body := <-first
		if want := strings.Repeat("m:v1\n", 60_000); body != want || time.Since(began) != 3*time.Second {
			t.Errorf("first load: %d bytes in %v", len(body), time.Since(began))
		}
		if err := store.SetFaults(WeightStoreFaults{CutAfterBytes: 100}); err != nil {
			t.Fatal(err)
		}
		if _, body, err := sendRequest(c, "GET", "/weights/m/v1", ""); err == nil {
			t.Errorf("cut load of %d bytes without an error", len(body))
		}
		if s := store.Stats(); s.Completed != 1 || s.Refused != 1 || s.Peak != 1 || s.Running != 0 {
			t.Errorf("stats %+v", s)
		}
	})
}
