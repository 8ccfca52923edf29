// Command slopes measures the resource use of routers and agents on this machine
// with package capacity, prints a table and writes JSON. It takes a few minutes.
// It starts itself with the argument "subject" for each measured router or agent,
// and sends traffic to loopback addresses only.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pistachiowind/pistachiowind/capacity"
)

func main() {
	app := kingpin.New("slopes", "Measure what routers and agents cost.")
	app.HelpFlag.Short('h')
	all := app.Command("run", "Measure and report.").Default()
	out := all.Flag("json", "File for the report as JSON.").Default("slopes.json").String()
	only := all.Flag("only", "Measure this step only; may be repeated.").Enums(stepNames()...)
	subject := app.Command("subject", "Be the process under measurement; used by run.").Hidden()
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case subject.FullCommand():
		err = capacity.RunProcess(os.Stdin, os.Stdout)
	default:
		err = run(*out, *only)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "slopes: %v\n", err)
		os.Exit(1)
	}
}

func stepNames() []string {
	var names []string
	for _, s := range capacity.Steps() {
		names = append(names, s.Name)
	}
	return names
}

func run(out string, only []string) error {
	report, err := capacity.Run(os.Stderr, func(step string) bool {
		return len(only) == 0 || slices.Contains(only, step)
	})
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(out, append(text, '\n'), 0o644); err != nil {
		return err
	}
	return report.WriteTable(os.Stdout)
}
