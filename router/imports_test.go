package router_test

import (
	"os/exec"
	"strings"
	"testing"
)

// Guards against a router that depends on the implementation of the agent: code
// that both use belongs in a separate package.
func TestRouterDoesNotImportAgent(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, path := range strings.Fields(string(out)) {
		if strings.HasSuffix(path, "/pistachiowind/agent") || strings.Contains(path, "/pistachiowind/agent/") {
			t.Errorf("router depends on %s", path)
		}
	}
}
