package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/settings"
)

func addSettings(app *kingpin.Application, commands map[string]command) {
	parent := app.Command("settings", "Check settings files and print their schema.")
	check := parent.Command("check", "Check a settings file and print every fault.")
	file := check.Arg("file", "Settings file of a router or an agent.").Required().String()
	commands[check.FullCommand()] = func(_ context.Context, std streams) error {
		return checkSettings(*file, std)
	}
	schema := parent.Command("schema", "Print the JSON Schema of the settings of a role.")
	role := schema.Arg("role", "router or agent.").Default("router").Enum("router", "agent")
	commands[schema.FullCommand()] = func(_ context.Context, std streams) error {
		body, err := settings.Schema(settings.Role(*role))
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(std.out, "%s\n", body)
		return err
	}
}

func checkSettings(path string, std streams) error {
	f, err := os.Open(path)
	if err != nil {
		return resultcode.Wrap(resultcode.InvalidSettings, err, "open the settings file")
	}
	defer f.Close()
	role, err := settings.Check(f)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(std.out, "%s: valid %s settings\n", path, role)
	return err
}
