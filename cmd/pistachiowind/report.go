package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/burn"
)

// collectTimeout limits the reading of the snapshots of all routers.
const collectTimeout = 30 * time.Second

func addReport(app *kingpin.Application, commands map[string]command) {
	parent := app.Command("report", "Reports for operators.")
	cmd := parent.Command("burn", "Print attainment, error budget and burn rate by profile and class, merged over routers.")
	format := cmd.Flag("format", "table, json or html.").Default("table").Enum("table", "json", "html")
	flags := addOperatorFlags(cmd)
	commands[cmd.FullCommand()] = func(ctx context.Context, s streams) error {
		ctx, cancel := context.WithTimeout(ctx, collectTimeout)
		defer cancel()
		report := admin.CollectBurn(ctx, time.Now(), flags.clientOptions())
		return writeBurnReport(report, *format, s)
	}
}

func writeBurnReport(report *burn.Report, format string, s streams) error {
	switch format {
	case "json":
		return writeJSON(s.out, report)
	case "html":
		return report.WriteHTML(s.out)
	}
	if err := report.WriteTable(s.out); err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	return nil
}
