// Command pistachiowind runs routers, agents and stand-ins for the services of a
// platform, and provides the operators' commands.
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

// Exit codes of the process, documented in docs/cli.md.
const (
	exitOK = 0
	// exitFailed means that the command ran and failed.
	exitFailed = 1
	// exitUsage means that a flag, an argument, a settings file or a catalog file is
	// invalid.
	exitUsage = 2
	// exitPromiseBroken means that the demo or a load run found a broken promise, such
	// as a wrong answer.
	exitPromiseBroken = 3
	// exitConflict means that another operator changed the catalog first.
	exitConflict = 4
)

// streams are the output streams of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

// command runs one subcommand.
type command func(ctx context.Context, std streams) error

func main() {
	os.Exit(run(os.Args[1:], streams{out: os.Stdout, err: os.Stderr}))
}

func run(args []string, std streams) int {
	app := kingpin.New("pistachiowind", "A router for language-model traffic with service levels and priorities.")
	app.HelpFlag.Short('h')
	app.UsageWriter(std.out)
	app.ErrorWriter(std.err)
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
	commands[version.FullCommand()] = func(_ context.Context, std streams) error {
		_, err := fmt.Fprintln(std.out, telemetry.Version())
		return err
	}
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(std.err, "pistachiowind: %v; see pistachiowind --help\n", err)
		return exitUsage
	}
	if commands[name] == nil {
		return exitOK
	}
	return exitCode(execute(commands[name], std), std)
}

// execute runs a command with a context that SIGINT or SIGTERM cancels. Daemons
// handle signals themselves.
func execute(c command, std streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return c(ctx, std)
}

// exitCode prints the error and returns the exit code for it.
func exitCode(err error, std streams) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(std.err, "pistachiowind: %v\n", err)
	var coded *resultcode.Error
	switch {
	case errors.Is(err, errPromiseBroken):
		return exitPromiseBroken
	case !errors.As(err, &coded):
		return exitFailed
	case coded.Code == resultcode.VersionConflict:
		return exitConflict
	case coded.Code == resultcode.InvalidSettings || coded.Code == resultcode.InvalidCatalog:
		return exitUsage
	}
	return exitFailed
}
