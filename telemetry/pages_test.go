package telemetry_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"

	"github.com/pistachiowind/pistachiowind/telemetry"
)

// metricUse matches the name of a metric and its selector, if any.
var metricUse = regexp.MustCompile(`(pistachiowind_[a-z0-9_]+)(?:\{([^}]*)\})?`)

// selectorLabel matches the labels of a selector.
var selectorLabel = regexp.MustCompile(`([a-z_]+)\s*(?:=~|!~|!=|=)`)

func definitionsByName(t *testing.T) map[string]telemetry.Definition {
	t.Helper()
	byName := map[string]telemetry.Definition{}
	router, agent := newProvider(t), newProvider(t)
	if _, err := telemetry.NewRouter(router); err != nil {
		t.Fatal(err)
	}
	if _, err := telemetry.NewAgent(agent); err != nil {
		t.Fatal(err)
	}
	for _, d := range append(router.Definitions(), agent.Definitions()...) {
		byName[d.Name] = d
		if d.Kind == telemetry.KindHistogram {
			for _, suffix := range []string{"_bucket", "_count", "_sum"} {
				byName[d.Name+suffix] = d
			}
		}
	}
	return byName
}

// Guards against an alarm or an operations page that names a metric or a label
// which no process exports, so that the alarm never fires.
func TestOperationsPagesNameExistingMetrics(t *testing.T) {
	pages, err := filepath.Glob("../docs/operations/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("pages %v, %v", pages, err)
	}
	byName := definitionsByName(t)
	for _, path := range pages {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, use := range metricUse.FindAllStringSubmatch(string(text), -1) {
			d, ok := byName[use[1]]
			if !ok {
				t.Errorf("%s: no metric %s", path, use[1])
				continue
			}
			for _, label := range selectorLabel.FindAllStringSubmatch(use[2], -1) {
				if !slices.Contains(d.Labels, label[1]) && label[1] != "le" {
					t.Errorf("%s: metric %s has no label %s", path, use[1], label[1])
				}
			}
		}
	}
}
