package standin

import (
	"testing"
	"testing/synctest"
)

// Guards against a store that overwrites an object although the condition forbids
// it, that exceeds its limits, or that writes during an outage.
func TestObjectConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewObjectStore(ObjectStoreOptions{MaxObjects: 1})
		defer store.Close()
		c := serveInMemory(t, store)
		steps := []struct {
			method, call, id, body, header, value string
			status                                int
			down                                  string
		}{
			{"PUT", "blob-put", "a%2Fb", "one", "If-None-Match", "*", 200, ""},
			{"PUT", "blob-put", "a%2Fb", "two", "If-None-Match", "*", 412, ""},
			{"PUT", "blob-put", "c", "three", "X", "", 507, ""},
			{"PUT", "blob-put", "a%2Fb", "two", "X", "", 503, DownUnavailable},
			{"GET", "blob-get", "a%2Fb", "one", "X", "", 200, ""},
			{"PUT", "blob-put", "a%2Fb", "two", "X", "", 200, ""},
			{"GET", "blob-get", "a%2Fb", "two", "X", "", 200, ""},
			{"DELETE", "blob-drop", "a%2Fb", "", "X", "", 200, ""},
			{"GET", "blob-get", "a%2Fb", "", "X", "", 404, ""},
		}
		for _, s := range steps {
			if err := store.SetFaults(ObjectStoreFaults{Down: s.down, LatencyMS: 10}); err != nil {
				t.Fatal(err)
			}
			status, body, err := sendRequest(c, s.method, "/-/"+s.call+"/"+s.id, s.body, s.header, s.value)
			if status != s.status || err != nil {
				t.Errorf("%s %s %s %s: %d %v, want %d", s.method, s.id, s.header, s.value, status, err, s.status)
			}
			if s.method == "GET" && status == 200 && body != s.body {
				t.Errorf("object %q, want %q", body, s.body)
			}
		}
	})
}
