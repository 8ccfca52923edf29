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
	m, err := newMeasuredRole(config)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- m.serve(ctx) }()
	answers := json.NewEncoder(out)
	if err := answers.Encode(m.addresses); err != nil {
		stop()
		return err
	}
	for lines.Scan() {
		if err := answers.Encode(m.sample()); err != nil {
			break
		}
	}
	stop()
	<-ended
	return lines.Err()
}

func (m *measuredRole) sample() Sample {
	return Sample{
		Usage:   ReadUsage(),
		Table:   m.table.Traffic(),
		VMs:     m.vms.Traffic(),
		Peers:   m.peers.Traffic(),
		Serving: m.serving(),
		Version: m.version(),
	}
}

func newMeasuredRole(c ProcessConfig) (*measuredRole, error) {
	m := &measuredRole{table: &TrafficCounter{}, vms: &TrafficCounter{}, peers: &TrafficCounter{}}
	if c.Role == settings.RoleAgent {
		return m, m.newAgent(c)
	}
	return m, m.newRouter(c)
}

func (m *measuredRole) newRouter(c ProcessConfig) error {
	r, err := router.New(router.Options{
		Name:             c.Name,
		Region:           region,
		AvailabilityZone: zone,
		CallersAddress:   loopbackAddress,
		PeersAddress:     loopbackAddress,
		AdminAddress:     loopbackAddress,
		Table:            platform.NewTable(storage.Options{URL: c.TableURL, Client: m.table.Client(2)}),
		VMs:              storage.NewVMList(storage.Options{URL: c.VMsURL, Client: m.vms.Client(2)}),
		PeerTransport:    m.peers.CountConnections(dispatch.NewTransport()),
		ReadyGrace:       -1,
		DrainTimeout:     time.Second,
		Log:              zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	m.addresses = ProcessAddresses{Callers: r.CallersAddress(), Peers: r.PeersAddress(), Admin: r.AdminAddress()}
	m.serve = func(ctx context.Context) error { return r.Serve(ctx, ctx) }
	m.serving, m.version = r.ServingEndpoints, r.CatalogVersion
	return nil
}

func (m *measuredRole) newAgent(c ProcessConfig) error {
	a, err := agent.New(agent.Options{
		Name:             c.Name,
		Region:           region,
		AvailabilityZone: zone,
		PeersAddress:     loopbackAddress,
		AdminAddress:     loopbackAddress,
		EndpointURL:      c.EndpointURL,
		Table:            platform.NewTable(storage.Options{URL: c.TableURL, Client: m.table.Client(2)}),
		Objects:          platform.NewObjectStore(storage.Options{URL: c.ObjectsURL, Client: m.table.Client(2)}),
		Concurrency:      agent.Concurrency{Initial: c.Slots, Min: 1, Max: c.Slots},
		PeerTransport:    m.peers.CountConnections(dispatch.NewTransport()),
		DrainTimeout:     time.Second,
		Log:              zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	m.addresses = ProcessAddresses{Peers: a.PeersAddress(), Admin: a.AdminAddress()}
	m.serve = func(ctx context.Context) error { return a.Serve(ctx, ctx) }
	m.serving = func() int { return 0 }
	m.version = a.CatalogVersion
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
	p := &Process{command: exec.Command(program, "subject")}
	p.command.Stderr = os.Stderr
	if p.input, err = p.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.output = json.NewDecoder(out)
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	if err := json.NewEncoder(p.input).Encode(c); err != nil {
		p.Close()
		return nil, err
	}
	if err := p.output.Decode(&p.Addresses); err != nil {
		p.Close()
		return nil, fmt.Errorf("start process %s: %w", c.Name, err)
	}
	return p, nil
}

// Sample requests a reading from the process.
func (p *Process) Sample() (Sample, error) {
	var sample Sample
	if _, err := io.WriteString(p.input, "sample\n"); err != nil {
		return sample, err
	}
	err := p.output.Decode(&sample)
	return sample, err
}

// Close stops the process and waits for it.
func (p *Process) Close() {
	_ = p.input.Close()
	kill := time.AfterFunc(processStopTimeout, func() { _ = p.command.Process.Kill() })
	defer kill.Stop()
	_ = p.command.Wait()
}
