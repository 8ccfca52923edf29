// Command playdays runs days of a site with several seeds in the users' bench, an
// external program, and prints the mean worth by day, class and price. With
// -against, it also prints the mean differences to earlier results with their
// standard errors.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

// dayRun identifies the run of one day with one seed.
type dayRun struct {
	Day  string `json:"day"`
	Seed int    `json:"seed"`
}

// result is the bench's report of one run. The JSON names are those of the bench.
type result struct {
	dayRun
	Worth   float64 `json:"G"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	Classes []struct {
		Name  string  `json:"name"`
		Worth float64 `json:"worth"`
	} `json:"classes"`
	// Prices holds triples of name, amount and cost.
	Prices     [][]any        `json:"prices"`
	Violations map[string]any `json:"breaks"`
	// GateMisses lists the requirements of the bench's gate that the run misses.
	GateMisses []any `json:"short"`
}

// figures returns the figures of a result by the names under which they are
// printed.
func (r result) figures() map[string]float64 {
	v := map[string]float64{
		"day " + r.Day: r.Worth, "worth": r.Worth, "served": r.Served, "refused": r.Refused, "failed": r.Failed,
	}
	for _, c := range r.Classes {
		v["class "+c.Name] = c.Worth
	}
	for _, p := range r.Prices {
		name, isName := p[0].(string)
		cost, isCost := p[2].(float64)
		if isName && isCost {
			v["price "+name] = cost
		}
	}
	return v
}

func main() {
	bench := flag.String("bench", "", "path of the bench")
	site := flag.String("site", "", "site file")
	days := flag.String("days", "trouble-1,trouble-2,trouble-3,scale-1,scale-2", "days to run, separated by commas")
	seeds := flag.Int("seeds", 4, "seeds for each day")
	jobs := flag.Int("jobs", 4, "runs at the same time")
	why := flag.String("why", "", "line for the bench's journal")
	out := flag.String("out", "", "file for the results")
	against := flag.String("against", "", "earlier results to compare with")
	cpu := flag.Bool("cpu", false, "charge processor time")
	flag.Parse()
	if *bench == "" || *site == "" || *why == "" {
		log.Fatal("-bench, -site and -why are required")
	}
	if output, err := exec.Command(*bench, "build").CombinedOutput(); err != nil {
		log.Fatalf("build: %v\n%s", err, output)
	}
	results := runAll(dayRuns(*days, *seeds), *jobs, func(p dayRun, report string) ([]byte, error) {
		args := []string{"run", *site, p.Day, "--seed", fmt.Sprint(p.Seed), "--jobs", "1", "--report", report, "--why", *why}
		if !*cpu {
			args = append(args, "--no-cpu")
		}
		return exec.Command(*bench, args...).CombinedOutput()
	})
	printResults(results, *against)
	if *out == "" {
		return
	}
	b, err := json.Marshal(results)
	if err == nil {
		err = os.WriteFile(*out, b, 0o644)
	}
	if err != nil {
		log.Fatal(err)
	}
}

func dayRuns(days string, seeds int) []dayRun {
	var all []dayRun
	for _, day := range strings.Split(days, ",") {
		for seed := 1; seed <= seeds; seed++ {
			all = append(all, dayRun{day, seed})
		}
	}
	return all
}

func runAll(all []dayRun, jobs int, run func(dayRun, string) ([]byte, error)) []result {
	dir, err := os.MkdirTemp("", "playdays")
	if err != nil {
		log.Fatal(err)
	}
	defer os.RemoveAll(dir)
	results := make([]result, len(all))
	jobSlots := make(chan struct{}, jobs)
	var wait sync.WaitGroup
	for i, p := range all {
		jobSlots <- struct{}{}
		wait.Add(1)
		go func() {
			defer func() { <-jobSlots; wait.Done() }()
			report := filepath.Join(dir, fmt.Sprintf("%d.json", i))
			output, runErr := run(p, report)
			b, err := os.ReadFile(report)
			if err == nil {
				err = json.Unmarshal(b, &results[i])
			}
			if err != nil {
				log.Printf("run %v without a usable report: bench: %v, report: %v\n%s", p, runErr, err, output)
			}
			results[i].dayRun = p
		}()
	}
	wait.Wait()
	return results
}

func printResults(results []result, against string) {
	var earlierResults []result
	if against != "" {
		b, err := os.ReadFile(against)
		if err == nil {
			err = json.Unmarshal(b, &earlierResults)
		}
		if err != nil {
			log.Fatal(err)
		}
	}
	earlierByRun := make(map[dayRun]result)
	for _, r := range earlierResults {
		earlierByRun[r.dayRun] = r
	}
	sums := make(map[string][]float64)
	diffs := make(map[string][]float64)
	for _, r := range results {
		if len(r.Violations) > 0 {
			fmt.Printf("BROKEN %s seed %d: %v\n", r.Day, r.Seed, r.Violations)
		}
		if len(r.GateMisses) > 0 {
			fmt.Printf("GATE %s seed %d: %v\n", r.Day, r.Seed, r.GateMisses)
		}
		earlier, compared := earlierByRun[r.dayRun]
		earlierFigures := earlier.figures()
		for name, value := range r.figures() {
			sums[name] = append(sums[name], value)
			if compared {
				diffs[name] = append(diffs[name], value-earlierFigures[name])
			}
		}
	}
	var names []string
	for name := range sums {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		mean, _ := meanAndError(sums[name])
		if strings.HasPrefix(name, "price ") && math.Abs(mean) < 0.002 {
			continue
		}
		line := fmt.Sprintf("%-45s %7.4f", name, mean)
		if d := diffs[name]; len(d) > 0 {
			m, e := meanAndError(d)
			line += fmt.Sprintf("  %+.4f ± %.4f", m, e)
		}
		fmt.Println(line)
	}
}

// meanAndError returns the mean and its standard error.
func meanAndError(values []float64) (float64, float64) {
	n := float64(len(values))
	mean := 0.0
	for _, v := range values {
		mean += v / n
	}
	if n < 2 {
		return mean, 0
	}
	variance := 0.0
	for _, v := range values {
		variance += (v - mean) * (v - mean) / (n - 1)
	}
	return mean, math.Sqrt(variance / n)
}
