package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pistachiowind/pistachiowind/demo"
	"github.com/pistachiowind/pistachiowind/standin"
)

var errPromiseBroken = demo.ErrPromiseBroken

func addDemo(app *kingpin.Application, commands map[string]command) {
	cmd := app.Command("demo", "Run a whole site in one process for about ten seconds and check that the promises held.")
	serve := cmd.Flag("serve", "Start the site, print a curl line and stay up.").Bool()
	asJSON := cmd.Flag("json", "Print the report as JSON.").Bool()
	commands[cmd.FullCommand()] = func(ctx context.Context, s streams) error {
		if *serve {
			return serveDemo(ctx, s)
		}
		return runDemo(ctx, *asJSON, s)
	}
}

func runDemo(ctx context.Context, asJSON bool, s streams) error {
	report, err := demo.Run(ctx, s.err, s.err)
	if err != nil {
		return err
	}
	if asJSON {
		err = writeJSON(s.out, report)
	} else {
		err = report.WriteTable(s.out)
	}
	if err != nil {
		return err
	}
	return report.Err()
}

func serveDemo(ctx context.Context, s streams) error {
	site, err := demo.Start(ctx, s.err)
	if err != nil {
		return err
	}
	defer site.Close()
	writeExamples(s.out, site)
	<-ctx.Done()
	return nil
}

func writeExamples(w io.Writer, site *demo.Site) {
	url := site.URLs()[0]
	fmt.Fprintf(w, "A streamed chat completion:\n  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":12,\"messages\":[{\"role\":\"user\",\"content\":\"Is my plan paid up?\"}]}'\n",
		url, demo.InsuranceKey, standin.DefaultModel)
	fmt.Fprintf(w, "A charge; send it twice, it runs once:\n  curl -i %s/services/%s/charges -H 'Authorization: Bearer %s' \\\n"+
		"    -H 'Idempotency-Key: instalment-2026-12' -d '{\"plan\":\"A-17\",\"amount\":45}'\n",
		url, demo.LedgerService, demo.InsuranceKey)
	var admins []string
	for _, r := range site.Routers {
		admins = append(admins, "http://"+r.AdminAddress())
	}
	fmt.Fprintf(w, "Operators:\n  export PISTACHIOWIND_ADMIN=%s PISTACHIOWIND_OPERATOR_KEY=%s\n",
		strings.Join(admins, ","), demo.OperatorKey)
	fmt.Fprintln(w, "  pistachiowind profile list; pistachiowind report burn")
	fmt.Fprintln(w, "Press Ctrl-C to stop.")
}
