// Command pistachiowind-gateway runs a gateway on the users' platform. It is a
// separate program, so that VMs with little memory do not load the demo, the load
// generator and the reports of the command pistachiowind.
package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	mathrand "math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/gateway"
	"github.com/pistachiowind/pistachiowind/gateway/follow"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

const (
	// memoryLimitShare is the share of the VM's memory limit that the Go heap may use, set
	// as the soft memory limit of the runtime; the rest is for stacks, kernel buffers
	// and the program itself.
	memoryLimitShare = 0.6
	// gcPercent is below the default of 100: it trades CPU time for a smaller heap.
	gcPercent = 60
	// role is the role label of the process in logs and metrics.
	role = "gateway"
	// defaultLogLinesPerSecond is the limit when the settings state none.
	defaultLogLinesPerSecond = 400
)

func main() {
	app := kingpin.New("pistachiowind-gateway", "Routes requests to endpoints by the operators' profiles.")
	path := app.Flag("settings", "Settings file (JSON).").Envar(platform.SettingsVariable).Required().String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	settings, err := gateway.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if *check {
		return
	}
	if err := run(*path, settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT. SIGHUP reloads the settings.
func run(path string, s gateway.Settings) error {
	limitMemory(s)
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	writer, stopLog := startLog(s)
	defer stopLog()
	log, err := telemetry.NewLogger(writer, telemetry.LogOptions{Role: role, Name: s.Name})
	if err != nil {
		return err
	}
	g, err := newGateway(s, log, writer)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go func() {
		for range hangups {
			reloadSettings(path, g, log)
		}
	}()
	return g.Serve(ctx)
}

// startLog starts writing log lines to standard output. The returned function stops
// it after the buffered lines have been written.
func startLog(s gateway.Settings) (*telemetry.BoundedWriter, func()) {
	lines := s.LogLinesPerS
	if lines == 0 {
		lines = defaultLogLinesPerSecond
	}
	writer := telemetry.NewBoundedWriter(lines, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Serve returns only when the context ends, so its error is no failure.
		_ = writer.Serve(ctx, os.Stdout)
	}()
	return writer, func() {
		cancel()
		<-ended
	}
}

// newGateway creates a gateway and connects it to the platform and the metrics.
func newGateway(s gateway.Settings, log zerolog.Logger, writer *telemetry.BoundedWriter) (*gateway.Gateway, error) {
	provider, err := telemetry.New(telemetry.Options{
		Role: role, Name: s.Name, Region: s.Region, AvailabilityZone: s.AvailabilityZone,
	})
	if err != nil {
		return nil, err
	}
	metrics, err := telemetry.NewGateway(provider)
	if err != nil {
		return nil, err
	}
	metrics.DroppedLogLines.Observe(func(set func(int64, telemetry.NoLabels)) {
		set(int64(writer.Dropped()), telemetry.NoLabels{})
	})
	store := platform.StoreOptions(s.StoreAddress)
	table := platform.NewTable(store).WithObserver(metrics)
	return gateway.New(gateway.Options{
		Settings:       s,
		Protocol:       platform.Headers{},
		ReadyPath:      platform.ReadyPath,
		Config:         platform.ConfigFeed(store, metrics),
		Endpoints:      platform.EndpointFeed(store, metrics),
		ConfigSink:     func(g *gateway.Gateway) follow.Sink { return platform.ConfigSink{Handler: g} },
		EndpointSink:   func(g *gateway.Gateway) follow.Sink { return platform.EndpointSink{Handler: g} },
		Rows:           table,
		DutyStore:      table,
		UsageClient:    platform.NewUsageClient(s.Duties.Address),
		PartLister:     platform.NewCachedPartsClient(),
		Log:            log,
		Metrics:        *metrics,
		MetricsHandler: provider.Handler(),
		Rand:           mathrand.New(mathrand.NewPCG(randomSeed(), randomSeed())),
	}), nil
}

func limitMemory(s gateway.Settings) {
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitShare * 1e6))
}

// reloadSettings applies the settings file after SIGHUP. If the file is invalid, the
// previous settings stay in force.
func reloadSettings(path string, g *gateway.Gateway, log zerolog.Logger) {
	s, err := gateway.LoadSettings(path)
	if err != nil {
		log.Error().Err(err).Msg("new settings are not valid; the previous ones stay in force")
		return
	}
	limitMemory(s)
	g.Reload(s)
}

// randomSeed returns 64 bits of the operating system's random source, which does not
// fail on Linux.
func randomSeed() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.LittleEndian.Uint64(b[:])
}
