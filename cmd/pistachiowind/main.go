// Command pistachiowind runs the routers and agents of pistachiowind, its
// stand-ins for a platform, and the commands of operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

// Exit codes, documented in docs/cli.md.
const (
	exitOK = 0
	// exitFailed: the command ran and failed.
	exitFailed = 1
	// exitUsage: a flag, argument or settings file is wrong.
	exitUsage = 2
	// exitBroken: the demo or a load run found a promise broken.
	exitBroken = 3
	// exitConflict: another operator changed the catalog first.
	exitConflict = 4
)

// streams are what a command reads and writes.
type streams struct {
	out io.Writer
	err io.Writer
}

// command is one leaf of the command line.
type command func(ctx context.Context, io streams) error

func main() {
	os.Exit(run(os.Args[1:], streams{out: os.Stdout, err: os.Stderr}))
}

func run(args []string, io streams) int {
	app := kingpin.New("pistachiowind", "A router for language-model traffic with service levels and priorities.")
	app.HelpFlag.Short('h')
	app.UsageWriter(io.out)
	app.ErrorWriter(io.err)
	app.Terminate(nil)
	commands := map[string]command{}
	addDaemons(app, commands)
	addDemo(app, commands)
	addLoad(app, commands)
	addProfile(app, commands)
	addCatalog(app, commands)
	addReport(app, commands)
	addSettings(app, commands)
	addStandins(app, commands)
	version := app.Command("version", "Print the version.")
	commands[version.FullCommand()] = func(_ context.Context, io streams) error {
		_, err := fmt.Fprintln(io.out, telemetry.Version())
		return err
	}
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(io.err, "pistachiowind: %v; see pistachiowind --help\n", err)
		return exitUsage
	}
	if commands[name] == nil {
		return exitOK
	}
	return exitCode(execute(commands[name], io), io)
}

// execute runs a command under a context that ends with an interrupt. Daemons
// handle signals themselves.
func execute(c command, io streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return c(ctx, io)
}

func exitCode(err error, io streams) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(io.err, "pistachiowind: %v\n", err)
	var coded *resultcode.Error
	switch {
	case errors.Is(err, errPromiseBroken):
		return exitBroken
	case !errors.As(err, &coded):
		return exitFailed
	case coded.Code == resultcode.VersionConflict:
		return exitConflict
	case coded.Code == resultcode.InvalidSettings || coded.Code == resultcode.InvalidCatalog:
		return exitUsage
	}
	return exitFailed
}
