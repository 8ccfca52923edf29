package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/agent"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/router"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/settings"
	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	loopbackAddress = "127.0.0.1:0"
	region          = "ro-sud"
	zone            = "ro-sud-a"

	// processStopTimeout is how long a measured process may take to exit after its
	// input was closed; then it is killed.
	processStopTimeout = 10 * time.Second
)

// ProcessConfig describes the router or agent that a measured process runs.
type ProcessConfig struct {
	Role       settings.Role `json:"role"`
	Name       string        `json:"name"`
	TableURL   string        `json:"table_url"`
	ObjectsURL string        `json:"objects_url"`
	// VMsURL is used by routers only.
	VMsURL string `json:"vms_url"`
	// EndpointURL and Slots are used by agents only.
	EndpointURL string `json:"endpoint_url"`
	Slots       int    `json:"slots"`
}

// ProcessAddresses are the listen addresses of a measured process.
type ProcessAddresses struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
}

// Sample is one reading of a measured process.
type Sample struct {
	Usage Usage `json:"usage"`
	// Table, VMs and Peers are the traffic of the process's own clients. Peers of
	// a router covers probes and requests.
	Table Traffic `json:"table"`
	VMs   Traffic `json:"vms"`
	Peers Traffic `json:"peers"`
	// Serving is the number of endpoints that a router may use.
	Serving int    `json:"serving"`
	Version uint64 `json:"catalog_version"`
}

// measuredRole is the router or agent that runs in a measured process.
type measuredRole struct {
	addresses         ProcessAddresses
	serve             func(context.Context) error
	serving           func() int
	version           func() uint64
	table, vms, peers *TrafficCounter
}

// RunProcess runs the router or agent that the first line of in describes, a
// ProcessConfig in JSON. It writes its ProcessAddresses to out, then a Sample for
// each further line, and stops at the end of the input.
func RunProcess(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	if !lines.Scan() {
		return io.ErrUnexpectedEOF
	}
	var config ProcessConfig
	if err := json.Unmarshal(lines.Bytes(), &config); err != nil {
		return fmt.Errorf("decode the configuration of the measured process: %w", err)
	}
	s, err := newMeasuredRole(config)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.serve(ctx) }()
	answers := json.NewEncoder(out)
	if err := answers.Encode(s.addresses); err != nil {
		stop()
		return err
	}
	for lines.Scan() {
		if err := answers.Encode(s.sample()); err != nil {
			break
		}
	}
	stop()
	<-ended
	return lines.Err()
}

func (s *measuredRole) sample() Sample {
	return Sample{
		Usage:   ReadUsage(),
		Table:   s.table.Traffic(),
		VMs:     s.vms.Traffic(),
		Peers:   s.peers.Traffic(),
		Serving: s.serving(),
		Version: s.version(),
	}
}

func newMeasuredRole(c ProcessConfig) (*measuredRole, error) {
	s := &measuredRole{table: &TrafficCounter{}, vms: &TrafficCounter{}, peers: &TrafficCounter{}}
	if c.Role == settings.RoleAgent {
		return s, s.newAgent(c)
	}
	return s, s.newRouter(c)
}

func (s *measuredRole) newRouter(c ProcessConfig) error {
	r, err := router.New(router.Options{
		Name:             c.Name,
		Region:           region,
		AvailabilityZone: zone,
		CallersAddress:   loopbackAddress,
		PeersAddress:     loopbackAddress,
		AdminAddress:     loopbackAddress,
		Table:            platform.NewTable(storage.Options{URL: c.TableURL, Client: s.table.Client(2)}),
		VMs:              storage.NewVMList(storage.Options{URL: c.VMsURL, Client: s.vms.Client(2)}),
		PeerTransport:    s.peers.CountConnections(dispatch.NewTransport()),
		ReadyGrace:       -1,
		DrainTimeout:     time.Second,
		Log:              zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	s.addresses = ProcessAddresses{Callers: r.CallersAddress(), Peers: r.PeersAddress(), Admin: r.AdminAddress()}
	s.serve = func(ctx context.Context) error { return r.Serve(ctx, ctx) }
	s.serving, s.version = r.ServingEndpoints, r.CatalogVersion
	return nil
}

func (s *measuredRole) newAgent(c ProcessConfig) error {
	a, err := agent.New(agent.Options{
		Name:             c.Name,
		Region:           region,
		AvailabilityZone: zone,
		PeersAddress:     loopbackAddress,
		AdminAddress:     loopbackAddress,
		EndpointURL:      c.EndpointURL,
		Table:            platform.NewTable(storage.Options{URL: c.TableURL, Client: s.table.Client(2)}),
		Objects:          platform.NewObjectStore(storage.Options{URL: c.ObjectsURL, Client: s.table.Client(2)}),
		Concurrency:      agent.Concurrency{Initial: c.Slots, Min: 1, Max: c.Slots},
		PeerTransport:    s.peers.CountConnections(dispatch.NewTransport()),
		DrainTimeout:     time.Second,
		Log:              zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	s.addresses = ProcessAddresses{Peers: a.PeersAddress(), Admin: a.AdminAddress()}
	s.serve = func(ctx context.Context) error { return a.Serve(ctx, ctx) }
	s.serving = func() int { return 0 }
	s.version = a.CatalogVersion
	return nil
}

// Process is a running measured process.
type Process struct {
	Addresses ProcessAddresses
	command   *exec.Cmd
	input     io.WriteCloser
	output    *json.Decoder
}

// StartProcess starts this program again with the argument "subject", for which
// the program must call RunProcess.
func StartProcess(c ProcessConfig) (*Process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &Process{command: exec.Command(program, "subject")}
	s.command.Stderr = os.Stderr
	if s.input, err = s.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := s.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	s.output = json.NewDecoder(out)
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	if err := json.NewEncoder(s.input).Encode(c); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.output.Decode(&s.Addresses); err != nil {
		s.Close()
		return nil, fmt.Errorf("start process %s: %w", c.Name, err)
	}
	return s, nil
}

// Sample requests a reading from the process.
func (s *Process) Sample() (Sample, error) {
	var sample Sample
	if _, err := io.WriteString(s.input, "sample\n"); err != nil {
		return sample, err
	}
	err := s.output.Decode(&sample)
	return sample, err
}

// Close stops the process and waits for it.
func (s *Process) Close() {
	_ = s.input.Close()
	kill := time.AfterFunc(processStopTimeout, func() { _ = s.command.Process.Kill() })
	defer kill.Stop()
	_ = s.command.Wait()
}
