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
	loopback = "127.0.0.1:0"
	region   = "ro-sud"
	zone     = "ro-sud-a"

	// subjectStopTimeout bounds the end of a subject after its input was closed.
	subjectStopTimeout = 10 * time.Second
)

// SubjectConfig describes the one router or agent of a subject process.
type SubjectConfig struct {
	Role       settings.Role `json:"role"`
	Name       string        `json:"name"`
	TableURL   string        `json:"table_url"`
	ObjectsURL string        `json:"objects_url"`
	// VMsURL is for routers.
	VMsURL string `json:"vms_url"`
	// EndpointURL and Slots are for agents.
	EndpointURL string `json:"endpoint_url"`
	Slots       int    `json:"slots"`
}

// SubjectAddresses are the listeners of a subject.
type SubjectAddresses struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
}

// Sample is one reading of a subject.
type Sample struct {
	Usage Usage `json:"usage"`
	// Table, VMs and Peers are what the subject's own clients carried. Peers of
	// a router carries probes and requests.
	Table Traffic `json:"table"`
	VMs   Traffic `json:"vms"`
	Peers Traffic `json:"peers"`
	// Serving counts the endpoints that a router may use.
	Serving int    `json:"serving"`
	Version uint64 `json:"catalog_version"`
}

// served is the process under measurement: a router or an agent.
type served struct {
	addresses         SubjectAddresses
	serve             func(context.Context) error
	serving           func() int
	version           func() uint64
	table, vms, peers *Wire
}

// RunSubject runs the process that the first line of in describes. It writes
// its addresses, then a Sample for each further line, and ends with the input.
func RunSubject(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	if !lines.Scan() {
		return io.ErrUnexpectedEOF
	}
	var config SubjectConfig
	if err := json.Unmarshal(lines.Bytes(), &config); err != nil {
		return fmt.Errorf("read the subject's configuration: %w", err)
	}
	s, err := newServed(config)
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

func (s *served) sample() Sample {
	return Sample{
		Usage:   ReadUsage(),
		Table:   s.table.Traffic(),
		VMs:     s.vms.Traffic(),
		Peers:   s.peers.Traffic(),
		Serving: s.serving(),
		Version: s.version(),
	}
}

func newServed(c SubjectConfig) (*served, error) {
	s := &served{table: &Wire{}, vms: &Wire{}, peers: &Wire{}}
	if c.Role == settings.RoleAgent {
		return s, s.newAgent(c)
	}
	return s, s.newRouter(c)
}

func (s *served) newRouter(c SubjectConfig) error {
	r, err := router.New(router.Options{
		Name:             c.Name,
		Region:           region,
		AvailabilityZone: zone,
		CallersAddress:   loopback,
		PeersAddress:     loopback,
		AdminAddress:     loopback,
		Table:            platform.NewTable(storage.Options{URL: c.TableURL, Client: s.table.Client(2)}),
		VMs:              storage.NewVMList(storage.Options{URL: c.VMsURL, Client: s.vms.Client(2)}),
		PeerTransport:    s.peers.Wrap(dispatch.NewTransport()),
		ReadyGrace:       -1,
		DrainTimeout:     time.Second,
		Log:              zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	s.addresses = SubjectAddresses{Callers: r.CallersAddress(), Peers: r.PeersAddress(), Admin: r.AdminAddress()}
	s.serve = func(ctx context.Context) error { return r.Serve(ctx, ctx) }
	s.serving, s.version = r.ServingEndpoints, r.CatalogVersion
	return nil
}

func (s *served) newAgent(c SubjectConfig) error {
	a, err := agent.New(agent.Options{
		Name:             c.Name,
		Region:           region,
		AvailabilityZone: zone,
		PeersAddress:     loopback,
		AdminAddress:     loopback,
		EndpointURL:      c.EndpointURL,
		Table:            platform.NewTable(storage.Options{URL: c.TableURL, Client: s.table.Client(2)}),
		Objects:          platform.NewObjectStore(storage.Options{URL: c.ObjectsURL, Client: s.table.Client(2)}),
		Concurrency:      agent.Concurrency{Initial: c.Slots, Min: 1, Max: c.Slots},
		PeerTransport:    s.peers.Wrap(dispatch.NewTransport()),
		DrainTimeout:     time.Second,
		Log:              zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	s.addresses = SubjectAddresses{Peers: a.PeersAddress(), Admin: a.AdminAddress()}
	s.serve = func(ctx context.Context) error { return a.Serve(ctx, ctx) }
	s.serving = func() int { return 0 }
	s.version = a.CatalogVersion
	return nil
}

// Subject is a running subject process.
type Subject struct {
	Addresses SubjectAddresses
	command   *exec.Cmd
	input     io.WriteCloser
	output    *json.Decoder
}

// StartSubject starts this program again with the argument "subject"; the
// program passes that call to RunSubject.
func StartSubject(c SubjectConfig) (*Subject, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &Subject{command: exec.Command(program, "subject")}
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
		return nil, fmt.Errorf("start subject %s: %w", c.Name, err)
	}
	return s, nil
}

// Sample reads the subject's usage.
func (s *Subject) Sample() (Sample, error) {
	var sample Sample
	if _, err := io.WriteString(s.input, "sample\n"); err != nil {
		return sample, err
	}
	err := s.output.Decode(&sample)
	return sample, err
}

// Close ends the subject.
func (s *Subject) Close() {
	_ = s.input.Close()
	kill := time.AfterFunc(subjectStopTimeout, func() { _ = s.command.Process.Kill() })
	defer kill.Stop()
	_ = s.command.Wait()
}
