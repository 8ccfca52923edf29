// Command varysite writes variations of a user's site file, each with one thing
// changed, to test the scheduling decisions on deployments for which they were not
// tuned.
package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// table is a decoded TOML table. The keys are those of the bench.
type table = map[string]any

// variations holds a function for each deployment that changes the site.
var variations = map[string]func(site table){
	"slow-engines":  func(s table) { scaleEngines(s, "prefill_tokens_per_ms", 1/2.6) },
	"small-memory":  func(s table) { scaleEngines(s, "kv_tokens", 0.25) },
	"slow-links":    func(s table) { scaleEngines(s, "link_mbps", 0.02) },
	"tight-targets": func(s table) { scaleClasses(s, 0.6, "aim_ms") },
	"long-prompts":  func(s table) { scaleStreams(s, 2, "prompt_tokens") },
	"long-answers":  longAnswers,
	"few-parts":     fewParts,
	"many-parts":    func(s table) { scaleParts(s, 4) },
	"arrivals-2":    func(s table) { scaleArrivals(s, 2) },
	"arrivals-4":    func(s table) { scaleArrivals(s, 4) },
	"arrivals-5":    func(s table) { scaleArrivals(s, 5) },
}

func main() {
	site := flag.String("site", "", "the users' site file")
	out := flag.String("out", "", "directory for the new files")
	only := flag.String("only", "", "names of changes, separated by commas; empty for all")
	flag.Parse()
	if *site == "" || *out == "" {
		log.Fatal("-site and -out are required")
	}
	names := strings.Split(*only, ",")
	for name, vary := range variations {
		if *only != "" && !slices.Contains(names, name) {
			continue
		}
		if err := writeVariation(*site, *out, name, vary); err != nil {
			log.Fatal(err)
		}
	}
}

// writeVariation writes one deployment to its own directory, with a copy of the
// file that holds its names on the wire.
func writeVariation(source, out, name string, vary func(table)) error {
	data, err := os.ReadFile(source)
	if err != nil {
		return err
	}
	site := table{}
	if err := toml.Unmarshal(data, &site); err != nil {
		return fmt.Errorf("decode %s: %w", source, err)
	}
	vary(site)
	if data, err = toml.Marshal(site); err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	base := strings.TrimSuffix(filepath.Base(source), ".toml")
	dir := filepath.Join(out, base+"-"+name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	wire, _ := site["wire"].(string)
	names, err := os.ReadFile(filepath.Join(filepath.Dir(source), wire))
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, wire), names, 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, base+"-"+name+".toml"), data, 0o644)
}

// tables returns the tables in the list under a key.
func tables(t table, field string) []table {
	list, _ := t[field].([]any)
	var out []table
	for _, entry := range list {
		if sub, ok := entry.(table); ok {
			out = append(out, sub)
		}
	}
	return out
}

// scale multiplies the field if it is a number and leaves other values unchanged.
func scale(t table, field string, by float64) {
	switch v := t[field].(type) {
	case int64:
		t[field] = int64(float64(v) * by)
	case float64:
		t[field] = v * by
	}
}

func scaleEngines(site table, field string, by float64) {
	for _, service := range tables(site, "services") {
		if engine, ok := service["llm"].(table); ok {
			scale(engine, field, by)
		}
	}
}

func scaleClasses(site table, by float64, field string) {
	for _, class := range tables(site, "classes") {
		scale(class, field, by)
	}
}

func streams(site table) []table {
	var out []table
	for _, class := range tables(site, "classes") {
		if stream, ok := class["stream"].(table); ok {
			out = append(out, stream)
		}
	}
	return out
}

func scaleStreams(site table, by float64, field string) {
	for _, stream := range streams(site) {
		if size, ok := stream[field].(table); ok {
			scale(size, "mean", by)
			scale(size, "max", by)
		}
	}
}

func longAnswers(site table) {
	for _, stream := range streams(site) {
		if pieces, ok := stream["pieces"].(table); ok {
			pieces["mean"], pieces["max"] = 80.0, 300.0
		}
	}
}

func scaleParts(site table, by float64) {
	for _, class := range tables(site, "classes") {
		scale(class, "things", by)
	}
	for _, stream := range streams(site) {
		for _, part := range tables(stream, "chain") {
			scale(part, "things", by)
		}
	}
}

func fewParts(site table) {
	for _, stream := range streams(site) {
		for _, part := range tables(stream, "chain") {
			part["skew"] = 1.2
		}
	}
}

func scaleArrivals(site table, by float64) {
	for _, flow := range tables(site, "traffic") {
		scale(flow, "per_s", by)
	}
	for _, day := range tables(site, "day") {
		for _, flow := range tables(day, "traffic") {
			scale(flow, "per_s", by)
		}
	}
}
