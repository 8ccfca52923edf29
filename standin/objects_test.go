package standin

import (
	"testing"
	"testing/synctest"
)

// Guards against a store that overwrites or deletes an object against a
// condition, or that writes during an outage.
func TestObjectConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewObjectStore(ObjectStoreOptions{Objects: 1})
		defer store.Close()
		c := dial(t, store)
		// The digest of "one".
		tag := `"7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed"`
		steps := []struct {
			method, key, body, header, value string
			status                           int
			down                             string
		}{
			{"PUT", "a/b", "one", "If-None-Match", "*", 201, ""},
			{"PUT", "a/b", "two", "If-None-Match", "*", 412, ""},
			{"PUT", "a/b", "two", "If-Match", `"other"`, 412, ""},
			{"PUT", "c", "three", "X", "", 507, ""},
			{"PUT", "a/b", "two", "X", "", 503, DownUnavailable},
			{"GET", "a/b", "", "If-None-Match", tag, 304, ""},
			{"DELETE", "a/b", "", "If-Match", `"other"`, 412, ""},
			{"PUT", "a/b", "two", "If-Match", tag, 200, ""},
			{"GET", "a/b", "", "If-None-Match", tag, 200, ""},
			{"DELETE", "a/b", "", "X", "", 204, ""},
			{"GET", "a/b", "", "X", "", 404, ""},
		}
		for _, s := range steps {
			if err := store.SetFaults(ObjectStoreFaults{Down: s.down, LatencyMS: 10}); err != nil {
				t.Fatal(err)
			}
			status, _, err := send(c, s.method, "/objects/"+s.key, s.body, s.header, s.value)
			if status != s.status || err != nil {
				t.Errorf("%s %s %s %s: %d %v, want %d", s.method, s.key, s.header, s.value, status, err, s.status)
			}
		}
	})
}
