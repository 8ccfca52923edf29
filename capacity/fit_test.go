package capacity

import (
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Guards against a fit that swaps or scales slope and intercept.
func TestFit(t *testing.T) {
	s := Series{}
	for _, x := range []float64{1, 2, 4, 8} {
		for _, noise := range []float64{-1, 0, 1} {
			s.Add(x, 10+3*x+noise)
		}
	}
	s.Finish()
	if math.Abs(s.Line.Slope-3) > 1e-9 || math.Abs(s.Line.Intercept-10) > 1e-9 {
		t.Errorf("line %+v, want 10 + 3 x", s.Line)
	}
	if want := 2.0 / 13; math.Abs(s.Spread-want) > 1e-9 {
		t.Errorf("spread %v, want %v", s.Spread, want)
	}
	if s.Line.R2 <= 0.9 || s.Line.SlopeError <= 0 {
		t.Errorf("line %+v lacks its errors", s.Line)
	}
}

// Guards against a division by zero when all sizes are equal.
func TestFitWithOneSize(t *testing.T) {
	if l := Fit([]float64{2, 2}, []float64{5, 7}); l.Slope != 0 || l.Intercept != 6 {
		t.Errorf("line %+v, want the constant 6", l)
	}
}

// Guards against a wrong number of calls per lease, on which the sums in
// docs/CAPACITY.md rely: the holder writes every 3 s, and each other router reads
// every 4 s.
func TestLeaseCalls(t *testing.T) {
	steady, lost := simulateLeases(11, 3)
	if steady.writes < 200 || steady.writes > 202 {
		t.Errorf("%d writes in 10 min, want one every 3 s", steady.writes)
	}
	if steady.reads < 1490 || steady.reads > 1520 {
		t.Errorf("%d reads in 10 min by 10 routers, want one every 4 s each", steady.reads)
	}
	if lost.writes == 0 {
		t.Error("no router took the lost lease over")
	}
}

var (
	slopesCommand = regexp.MustCompile("go run (\\./[a-z/]+)( [^`\n]*)?")
	onlyFlag      = regexp.MustCompile(`--only ([a-z-]+)`)
	benchCommand  = regexp.MustCompile("go test [^`\n]*-bench '?(\\w+)[^`\n]* (\\./[a-z/]+)")
	metricName    = regexp.MustCompile(`pistachiowind_[a-z_]+[a-z]`)
	packageSpan   = regexp.MustCompile("`([a-z]+/[a-z/]+)`")
)

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against commands, steps, benchmarks, metrics and packages in
// docs/CAPACITY.md that do not exist.
func TestCapacityPage(t *testing.T) {
	text := readFile(t, "../docs/CAPACITY.md")
	steps := []string{}
	for _, s := range Steps() {
		steps = append(steps, s.Name)
	}
	commands := slopesCommand.FindAllStringSubmatch(text, -1)
	for _, m := range commands {
		if _, err := os.Stat(filepath.Join("..", m[1], "main.go")); err != nil {
			t.Errorf("command %q: %v", m[0], err)
		}
	}
	for _, m := range onlyFlag.FindAllStringSubmatch(text, -1) {
		if !slices.Contains(steps, m[1]) {
			t.Errorf("step %q does not exist", m[1])
		}
	}
	benchmarks := benchCommand.FindAllStringSubmatch(text, -1)
	for _, m := range benchmarks {
		if !strings.Contains(testSources(t, m[2]), "func Benchmark"+m[1]+"(") {
			t.Errorf("benchmark %s in %s does not exist", m[1], m[2])
		}
	}
	metrics := metricName.FindAllString(text, -1)
	known := readFile(t, "../docs/metrics.md")
	for _, name := range metrics {
		if !strings.Contains(known, "`"+name+"`") {
			t.Errorf("metric %s does not exist", name)
		}
	}
	packages := packageSpan.FindAllStringSubmatch(text, -1)
	for _, m := range packages {
		if info, err := os.Stat(filepath.Join("..", m[1])); err != nil || !info.IsDir() {
			t.Errorf("package %s does not exist", m[1])
		}
	}
	if len(commands) == 0 || len(benchmarks) == 0 || len(metrics) == 0 || len(packages) == 0 {
		t.Error("the page names no command, benchmark, metric or package; the patterns are out of date")
	}
}

func testSources(t *testing.T, directory string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", directory, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	text := ""
	for _, f := range files {
		text += readFile(t, f)
	}
	return text
}
