package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pistachiowind/pistachiowind/demo"
	"github.com/pistachiowind/pistachiowind/loadgen"
)

func addLoad(app *kingpin.Application, commands map[string]command) {
	cmd := app.Command("load", "Send the demo's mix of requests to a site on loopback addresses and verify every answer.")
	addresses := cmd.Flag("address", "Base URL of a router's caller API; repeat it for several routers.").Required().Strings()
	duration := cmd.Flag("duration", "How long requests are sent.").Default("10s").Duration()
	factor := cmd.Flag("factor", "Multiplies the rate of every class.").Default("1").Float64()
	burst := cmd.Flag("burst", "Multiplies the chat rate during the middle third.").Default("1").Float64()
	seed := cmd.Flag("seed", "Fixes the schedule and the bodies.").Default("1").Uint64()
	commands[cmd.FullCommand()] = func(ctx context.Context, s streams) error {
		classes := demo.Classes()
		scaleRates(classes, *factor, *burst, *duration)
		report, err := loadgen.Run(ctx, loadgen.Options{
			Addresses: *addresses,
			Seed:      *seed,
			Duration:  *duration,
			Classes:   classes,
		})
		if err != nil {
			return err
		}
		if err := report.WriteTable(s.out); err != nil {
			return err
		}
		return checkAnswers(report)
	}
}

// scaleRates multiplies the rate of every class by factor and removes all bursts. The
// chat class gets one burst during the middle third, unless burst is 1.
func scaleRates(classes []loadgen.Class, factor, burst float64, duration time.Duration) {
	for i := range classes {
		rate := &classes[i].Rate
		rate.PerSecond *= factor
		rate.Bursts = nil
		if classes[i].Name == demo.ProfileChat && burst != 1 {
			rate.Bursts = []loadgen.Burst{{Start: duration / 3, Duration: duration / 3, Factor: burst}}
		}
	}
}

// checkAnswers returns an error when an answer was wrong.
func checkAnswers(report *loadgen.Report) error {
	for _, c := range report.Classes {
		if c.Wrong > 0 {
			return fmt.Errorf("%w: class %s had %d wrong answers", errPromiseBroken, c.Name, c.Wrong)
		}
	}
	return nil
}
