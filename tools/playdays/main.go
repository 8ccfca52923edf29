// Command playdays plays days of a site with several seeds through the users'
// bench and prints the mean worth by day, class and price. With -against, it
// prints the differences to an earlier output and their spread.
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

// play is one day with one seed.
type play struct {
	Day  string `json:"day"`
	Seed int    `json:"seed"`
}

// result is what the report of a play says. The names are those of the bench.
type result struct {
	play
	Worth   float64 `json:"G"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	Classes []struct {
		Name  string  `json:"name"`
		Worth float64 `json:"worth"`
	} `json:"classes"`
	// Prices are triples of name, amount and cost.
	Prices [][]any        `json:"prices"`
	Broken map[string]any `json:"breaks"`
	// Short lists what the gate misses.
	Short []any `json:"short"`
}

// values flattens a result into named figures.
func (r result) values() map[string]float64 {
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
	days := flag.String("days", "trouble-1,trouble-2,trouble-3,scale-1,scale-2", "days to play")
	seeds := flag.Int("seeds", 4, "seeds for each day")
	jobs := flag.Int("jobs", 4, "plays at the same time")
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
	results := playAll(plays(*days, *seeds), *jobs, func(p play, report string) ([]byte, error) {
		args := []string{"run", *site, p.Day, "--seed", fmt.Sprint(p.Seed), "--jobs", "1", "--report", report, "--why", *why}
		if !*cpu {
			args = append(args, "--no-cpu")
		}
		return exec.Command(*bench, args...).CombinedOutput()
	})
	print(results, *against)
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

func plays(days string, seeds int) []play {
	var all []play
	for _, day := range strings.Split(days, ",") {
		for seed := 1; seed <= seeds; seed++ {
			all = append(all, play{day, seed})
		}
	}
	return all
}

func playAll(all []play, jobs int, run func(play, string) ([]byte, error)) []result {
	dir, err := os.MkdirTemp("", "playdays")
	if err != nil {
		log.Fatal(err)
	}
	defer os.RemoveAll(dir)
	results := make([]result, len(all))
	slots := make(chan struct{}, jobs)
	var wait sync.WaitGroup
	for i, p := range all {
		slots <- struct{}{}
		wait.Add(1)
		go func() {
			defer func() { <-slots; wait.Done() }()
			report := filepath.Join(dir, fmt.Sprintf("%d.json", i))
			output, runErr := run(p, report)
			b, err := os.ReadFile(report)
			if err == nil {
				err = json.Unmarshal(b, &results[i])
			}
			if err != nil {
				log.Printf("%v: %v %v\n%s", p, runErr, err, output)
			}
			results[i].play = p
		}()
	}
	wait.Wait()
	return results
}

func print(results []result, against string) {
	var old []result
	if against != "" {
		b, err := os.ReadFile(against)
		if err == nil {
			err = json.Unmarshal(b, &old)
		}
		if err != nil {
			log.Fatal(err)
		}
	}
	before := make(map[play]result)
	for _, r := range old {
		before[r.play] = r
	}
	sums := make(map[string][]float64)
	diffs := make(map[string][]float64)
	for _, r := range results {
		if len(r.Broken) > 0 {
			fmt.Printf("BROKEN %s seed %d: %v\n", r.Day, r.Seed, r.Broken)
		}
		if len(r.Short) > 0 {
			fmt.Printf("GATE %s seed %d: %v\n", r.Day, r.Seed, r.Short)
		}
		b, compared := before[r.play]
		was := b.values()
		for name, value := range r.values() {
			sums[name] = append(sums[name], value)
			if compared {
				diffs[name] = append(diffs[name], value-was[name])
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
