package telemetry_test

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/pistachiowind/pistachiowind/lifecycle"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

// metricUse matches the name of a metric and its label selector, if any.
var metricUse = regexp.MustCompile(`(pistachiowind_[a-z0-9_]+)(?:\{([^}]*)\})?`)

// selectorLabel matches a label name in a selector.
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
	gateway := newProvider(t)
	if _, err := telemetry.NewGateway(gateway); err != nil {
		t.Fatal(err)
	}
	for _, d := range slices.Concat(router.Definitions(), agent.Definitions(), gateway.Definitions()) {
		byName[d.Name] = d
		if d.Kind == telemetry.KindHistogram {
			for _, suffix := range []string{"_bucket", "_count", "_sum"} {
				byName[d.Name+suffix] = d
			}
		}
	}
	return byName
}

// Guards against an alert or an operations page that names a metric or a label that
// no process exports; such an alert would never fire.
func TestOperationsPagesNameExistingMetrics(t *testing.T) {
	pages, err := filepath.Glob("../docs/operations/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("operations pages: %v, error: %v", pages, err)
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

// stateLine matches the subject and the state of a state change as the pages quote
// the log line.
var stateLine = regexp.MustCompile(`subject="([a-z ]+)" state="([a-z ]+)"`)

// sources returns the text of all Go files of the project except tests.
func sources(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	err := fs.WalkDir(os.DirFS(".."), ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(filepath.Join("..", path))
		all.Write(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all.String()
}

// processStates runs a router and an agent from start to stop and returns their
// state changes in the form of Go source. Package lifecycle computes these subjects,
// so that a search of the source does not find them.
func processStates(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	states := telemetry.NewStateLog(zerolog.Nop(), func(c telemetry.StateChange) {
		fmt.Fprintf(&all, "Subject: %q, State: %q\n", c.Subject, c.State)
	})
	asked := make(chan struct{})
	close(asked)
	for _, role := range []string{"router", "agent"} {
		p := lifecycle.Process{
			Role: role, Supervisor: suture.NewSimple(role), States: states, DrainRequested: asked, Drain: func(context.Context) {},
		}
		if err := p.Serve(t.Context(), t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	return all.String()
}

func readPage(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against a failure in section 7 of the design that the faults page does not
// cover, and against log lines on that page that no process writes.
func TestFaultsPage(t *testing.T) {
	page := readPage(t, "../docs/operations/faults.md")
	design := readPage(t, "../docs/design.md")
	_, failures, _ := strings.Cut(design, "## 7. Failures")
	failures, _, _ = strings.Cut(failures, "\n## ")
	rows := regexp.MustCompile(`(?m)^\| ([^|-][^|]*) \|`).FindAllStringSubmatch(failures, -1)
	if len(rows) < 2 {
		t.Fatalf("%d rows in section 7 of the design", len(rows))
	}
	for _, row := range rows[1:] {
		heading := "## " + strings.ToUpper(row[1][:1]) + row[1][1:] + "\n"
		if !strings.Contains(page, heading) {
			t.Errorf("no section %q", heading)
		}
	}
	lines := stateLine.FindAllStringSubmatch(page, -1)
	if len(lines) == 0 {
		t.Error("no log line found on the faults page")
	}
	source := sources(t) + processStates(t)
	for _, line := range lines {
		if want := `Subject: "` + line[1] + `", State: "` + line[2] + `"`; !strings.Contains(source, want) {
			t.Errorf("no code reports %s", line[0])
		}
	}
}
