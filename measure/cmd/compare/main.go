// Command compare simulates the policies of package measure/site under the same
// demand, prints a table of results and the goals, and writes JSON and SVG plots.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"github.com/pistachiowind/pistachiowind/measure/site"
)

// plannedScenario runs only when it is named by a flag.
const plannedScenario = "planned"

type flags struct {
	scenarios, policies, workloads []string
	seeds                          []uint64
	out                            string
	parallel                       int
}

type run struct {
	workload site.Workload
	scenario site.Scenario
	policy   site.Policy
	seed     uint64
}

func main() {
	var f flags
	app := kingpin.New("compare", "Measure the policies of a site on virtual time.")
	app.Flag("scenario", "Scenario; repeatable. All but planned by default.").StringsVar(&f.scenarios)
	app.Flag("policy", "Policy; repeatable. All by default.").StringsVar(&f.policies)
	app.Flag("workload", "Workload; repeatable. All by default.").StringsVar(&f.workloads)
	app.Flag("seed", "Seed of the demand; repeatable.").Default("1").Uint64ListVar(&f.seeds)
	app.Flag("out", "Directory for site.json and the plots; nothing is written without it.").StringVar(&f.out)
	app.Flag("parallel", "Simulations at a time.").Default(fmt.Sprint(max(runtime.NumCPU()/2, 1))).IntVar(&f.parallel)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := compare(f); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func compare(f flags) error {
	runs := selectRuns(f)
	if len(runs) == 0 {
		return fmt.Errorf("no run matches the flags")
	}
	results := make([]*site.Result, len(runs))
	var group errgroup.Group
	group.SetLimit(max(f.parallel, 1))
	for i, r := range runs {
		group.Go(func() error {
			results[i] = site.Run(r.workload, r.scenario, r.policy, r.seed)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	goals := site.Goals(results)
	fmt.Print(site.Table(results), "\n", site.GoalTable(goals))
	if f.out == "" {
		return nil
	}
	return writeFiles(f, results, goals)
}

func selectRuns(f flags) []run {
	var runs []run
	for _, seed := range f.seeds {
		for _, w := range site.Workloads() {
			if !selected(f.workloads, w.Name) {
				continue
			}
			for _, sc := range site.Scenarios() {
				if selected(f.scenarios, sc.Name) {
					runs = appendPolicies(runs, f, run{workload: w, scenario: sc, seed: seed})
				}
			}
		}
		if len(f.scenarios) > 0 && selected(f.scenarios, plannedScenario) {
			w, sc := site.Planned()
			runs = appendPolicies(runs, f, run{workload: w, scenario: sc, seed: seed})
		}
	}
	return runs
}

func appendPolicies(runs []run, f flags, r run) []run {
	for _, p := range site.Policies() {
		if selected(f.policies, p.Name) {
			r.policy = p
			runs = append(runs, r)
		}
	}
	return runs
}

// selected reports whether a flag's list holds name; an empty list selects every
// name.
func selected(list []string, name string) bool {
	for _, entry := range list {
		if entry == name {
			return true
		}
	}
	return len(list) == 0
}

type output struct {
	Goals   []site.Goal    `json:"goals"`
	Results []*site.Result `json:"results"`
}

func writeFiles(f flags, results []*site.Result, goals []site.Goal) error {
	if err := os.MkdirAll(f.out, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(output{Goals: goals, Results: results}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.out, "site.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	byWorkload := make(map[string][]*site.Result)
	for _, r := range results {
		if r.Seed == f.seeds[0] {
			byWorkload[r.Workload] = append(byWorkload[r.Workload], r)
		}
	}
	for name, list := range byWorkload {
		if err := writePlots(f.out, name, list); err != nil {
			return err
		}
	}
	return nil
}

func writePlots(dir, workload string, results []*site.Result) error {
	for _, c := range site.Charts() {
		svg, err := c.SVG(results)
		if err != nil {
			return err
		}
		name := filepath.Join(dir, "site-"+workload+"-"+c.File+".svg")
		if err := os.WriteFile(name, svg, 0o644); err != nil {
			return err
		}
	}
	return nil
}
