package standin

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a list that shows a change before its lag has passed, or never,
// with and without compression.
func TestVMListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := VM{Name: "r1", Role: RoleRouter, Address: "127.0.0.1:1", State: StateLive}
		list := NewVMList(VMListOptions{VMs: []VM{vm}, Faults: VMListFaults{LagMS: 3000}})
		defer list.Close()
		c := serveInMemory(t, list)
		body := `{"vms":[{"name":"r1","role":"router","address":"127.0.0.1:1","state":"leaving"}]}`
		if status, _, err := sendRequest(c, "PUT", "/vms", body); status != 204 || err != nil {
			t.Fatal(status, err)
		}
		for _, want := range []string{StateLive, StateLeaving} {
			// net/http requests gzip by itself and decompresses the response.
			_, text, err := sendRequest(c, "GET", "/vms", "")
			_, plain, plainErr := sendRequest(c, "GET", "/vms", "", "Accept-Encoding", "identity")
			var document vmDocument
			if err != nil || plainErr != nil || text != plain || json.Unmarshal([]byte(text), &document) != nil {
				t.Fatal(err, plainErr, text, plain)
			}
			if len(document.VMs) != 1 || document.VMs[0].State != want {
				t.Errorf("got %s, want state %s", text, want)
			}
			time.Sleep(4 * time.Second)
		}
	})
}
