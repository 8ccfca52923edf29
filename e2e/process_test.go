// Package e2e_test runs sites of separate processes on loopback addresses and checks
// the promises to callers in docs/design.md section 1.2 while processes, connections
// and platform services fail. The settings are those of examples/ with other ports.
package e2e_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// waitLimit is the maximum duration of a wait; a correct site reaches each awaited
	// state much sooner.
	waitLimit = 90 * time.Second
	// pollInterval is the time between two checks of an awaited state.
	pollInterval = 10 * time.Millisecond
	// maxLogBytes limits the log output kept per process.
	maxLogBytes = 1 << 20
)

// binary is the path of the program under test.
var binary string

// TestMain builds the program under test before the tests run.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "pistachiowind-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "pistachiowind")
	args := append([]string{"build", "-buildvcs=false", "-o", binary}, buildFlags...)
	out, err := exec.Command("go", append(args, "../cmd/pistachiowind")...).CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running program that a test started.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	// addresses are the listen addresses that the process printed, by listener name.
	addresses map[string]string
	exited    chan struct{}
	log       logBuffer
}

// startProcess starts the program and waits until it prints its listen addresses.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(binary, args...), exited: make(chan struct{})}
	p.cmd.Stderr = &p.log
	// The kernel kills the process when the test binary is killed, so that none is left
	// behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	t.Cleanup(p.cleanup)
	first := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(out).ReadString('\n')
		first <- line
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	select {
	case line := <-first:
		p.addresses = parseAddresses(line)
	case <-time.After(waitLimit):
	}
	if len(p.addresses) == 0 {
		t.Fatalf("%s does not listen:\n%s", name, p.log.String())
	}
	return p
}

func parseAddresses(line string) map[string]string {
	addresses := make(map[string]string)
	for _, field := range strings.Fields(line) {
		if name, address, ok := strings.Cut(field, "="); ok {
			addresses[name] = address
		}
	}
	return addresses
}

// url returns the base URL of a listener: address, callers, peers or admin.
func (p *process) url(listener string) string { return "http://" + p.addresses[listener] }

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Fatalf("signal %s: %v", p.name, err)
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	p.waitExitCode()
}

// waitExitCode waits until the process has exited and returns its exit code.
func (p *process) waitExitCode() int {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitLimit):
		p.t.Fatalf("%s did not end", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// cleanup kills the process. It fails the test if the log shows a data race or a
// panic, and prints the log of a failed test.
func (p *process) cleanup() {
	_ = p.cmd.Process.Kill()
	<-p.exited
	text := p.log.String()
	if strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") {
		p.t.Errorf("%s has a data race or a panic", p.name)
	}
	if p.t.Failed() && text != "" {
		p.t.Logf("log of %s:\n%s", p.name, text)
	}
}

// runCommand runs the program until it exits, and returns its exit code and output.
func runCommand(t *testing.T, args ...string) (exitCode int, output string) {
	t.Helper()
	cmd := exec.Command(binary, args...)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatalf("run %v: %v", args, err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// logBuffer keeps the first maxLogBytes of the log output of a process.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buf.Write(p[:min(len(p), maxLogBytes-b.buf.Len())])
	return len(p), nil
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// await polls until check returns nil. It fails the test after waitLimit.
func await(t *testing.T, what string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
		<-ticker.C
	}
}
