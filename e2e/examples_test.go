package e2e_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/pistachiowind/pistachiowind/settings"
	"github.com/pistachiowind/pistachiowind/standin"
)

// Guards against an example VM list whose addresses differ from the listen addresses
// in the example settings.
func TestExampleAddresses(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(examples, "vms.json"))
	if err != nil {
		t.Fatal(err)
	}
	var list struct {
		VMs []standin.VM `json:"vms"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		t.Fatal(err)
	}
	for _, vm := range list.VMs {
		path := filepath.Join(examples, vm.Name+".json")
		var listens string
		if vm.Role == standin.RoleRouter {
			s, err := settings.LoadRouter(path)
			if err != nil {
				t.Fatal(err)
			}
			listens = s.Listen.Peers
		} else {
			s, err := settings.LoadAgent(path)
			if err != nil {
				t.Fatal(err)
			}
			listens = s.Listen.Peers
		}
		if listens != vm.Address {
			t.Errorf("%s listens on %s, the VM list says %s", vm.Name, listens, vm.Address)
		}
	}
}
