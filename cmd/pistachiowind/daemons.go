package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pistachiowind/pistachiowind/daemon"
	"github.com/pistachiowind/pistachiowind/settings"
)

func addDaemons(app *kingpin.Application, commands map[string]command) {
	addRouter(app, commands)
	addAgent(app, commands)
}

func addRouter(app *kingpin.Application, commands map[string]command) {
	cmd := app.Command("router", "Run a router: the process on an entry VM.")
	file := cmd.Flag("settings", "Settings file (JSON); see settings schema.").Short('s').Required().String()
	commands[cmd.FullCommand()] = func(_ context.Context, std streams) error {
		s, err := settings.LoadRouter(*file)
		if err != nil {
			return err
		}
		r, err := daemon.NewRouter(s, std.err)
		if err != nil {
			return err
		}
		fmt.Fprintf(std.out, "callers=%s peers=%s admin=%s\n", r.CallersAddress(), r.PeersAddress(), r.AdminAddress())
		return daemon.Run(r)
	}
}

func addAgent(app *kingpin.Application, commands map[string]command) {
	cmd := app.Command("agent", "Run an agent: the process beside one endpoint.")
	file := cmd.Flag("settings", "Settings file (JSON); see settings schema.").Short('s').Required().String()
	commands[cmd.FullCommand()] = func(_ context.Context, std streams) error {
		s, err := settings.LoadAgent(*file)
		if err != nil {
			return err
		}
		a, err := daemon.NewAgent(s, std.err)
		if err != nil {
			return err
		}
		fmt.Fprintf(std.out, "peers=%s admin=%s\n", a.PeersAddress(), a.AdminAddress())
		return daemon.Run(a)
	}
}
