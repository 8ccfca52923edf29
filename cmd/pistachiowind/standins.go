package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pistachiowind/pistachiowind/httpserver"
	"github.com/pistachiowind/pistachiowind/standin"
)

// standinHandler is a stand-in for a platform service.
type standinHandler interface {
	http.Handler
	Close()
}

// newStandin creates a stand-in by kind, with default options. Faults are injected
// over HTTP while it runs.
var newStandin = map[string]func(model string) standinHandler{
	"engine": func(model string) standinHandler {
		opts := standin.EngineOptions{}
		if model != "" {
			opts.Models = []string{model}
		}
		return standin.NewEngine(opts)
	},
	"ledger":  func(string) standinHandler { return standin.NewLedger(standin.ServiceOptions{}) },
	"booking": func(string) standinHandler { return standin.NewBooking(standin.ServiceOptions{}) },
	"table":   func(string) standinHandler { return standin.NewTable(standin.TableOptions{}) },
	"objects": func(string) standinHandler { return standin.NewObjectStore(standin.ObjectStoreOptions{}) },
	"vmlist":  func(string) standinHandler { return standin.NewVMList(standin.VMListOptions{}) },
	"weights": func(string) standinHandler { return standin.NewWeightStore(standin.WeightStoreOptions{}) },
}

func addStandins(app *kingpin.Application, commands map[string]command) {
	cmd := app.Command("standin", "Run a stand-in for a service of the platform, for tests and trials. It keeps everything in memory.")
	kind := cmd.Arg("kind", "engine, ledger, booking, table, objects, vmlist or weights.").Required().
		Enum("engine", "ledger", "booking", "table", "objects", "vmlist", "weights")
	listen := cmd.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").String()
	model := cmd.Flag("model", "Model of an engine.").String()
	commands[cmd.FullCommand()] = func(ctx context.Context, s streams) error {
		handler := newStandin[*kind](*model)
		defer handler.Close()
		server, err := httpserver.Listen(*kind, *listen, handler, nil)
		if err != nil {
			return err
		}
		fmt.Fprintf(s.out, "address=%s\n", server.Address())
		err = server.Serve(ctx)
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	}
}
