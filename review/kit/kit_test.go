//go:build review

// Package kit is the program behind the scripts of the review: it starts gateways as separate
// processes, plays the platform's store, the replicas and the clients, and judges what they saw.
package kit

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by the name that a script passes.
var cases = map[string]func(*bed) int{
	"goes-on":     goesOn,
	"early":       early,
	"feed-answer": feedAnswer,
	"crashes":     crashes,
}

// TestMain runs one case instead of tests: kit CASE PROGRAM RECORD.
func TestMain(*testing.M) {
	os.Exit(runCase(os.Args[1:]))
}

func runCase(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit CASE PROGRAM RECORD")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	b := &bed{program: args[1], dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if b.out, err = os.Create(args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.out.Close()
	defer b.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ended
		b.note("the case was ended from outside")
		b.stop()
		os.RemoveAll(dir)
		os.Exit(exitNotRun)
	}()
	code := func() (code int) {
		defer func() {
			if failure, ok := recover().(notRun); ok {
				b.note("the case could not run: %s", string(failure))
				code = exitNotRun
			}
		}()
		return cases[args[0]](b)
	}()
	b.note("result: %d", code)
	fmt.Println(map[int]string{exitHeld: "held", exitBroken: "broken", exitNotRun: "could not run"}[code])
	return code
}

// notRun is the panic of a case that cannot run.
type notRun string

func fail(err error) {
	if err != nil {
		panic(notRun(err.Error()))
	}
}

// bed is what a case runs on: a store, replicas, gateways and a record.
type bed struct {
	program, dir string
	trouble      bool
	began        time.Time
	out          *os.File
	mu           sync.Mutex
	store        *store
	gateways     []*gateway
	replicas     []*replica
	stopping     sync.Once
}

// note writes a line with the time since the start to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.out, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// list writes a line for each request: what was sent, answered and run.
func (b *bed) list(answers []answer) {
	runs := make(map[string][]string)
	for _, r := range b.replicas {
		for _, x := range r.seen() {
			end := "cut"
			if !x.ended.IsZero() {
				end = fmt.Sprintf("whole answer made at %.3f", b.since(x.ended))
			}
			runs[x.id] = append(runs[x.id], fmt.Sprintf("%s at %.3f (%s)", r.id, b.since(x.at), end))
		}
	}
	for _, a := range answers {
		b.note("request %s at %s: sent at %.3f, status %d at %.3f, error: %v; reached: %s",
			a.id, a.gateway, b.since(a.sentAt), a.status, b.since(a.at), a.err, strings.Join(runs[a.id], ", "))
	}
}

// since returns a time in seconds since the start, as in the record.
func (b *bed) since(t time.Time) float64 { return t.Sub(b.began).Seconds() }

// stop ends everything that was started.
func (b *bed) stop() {
	b.stopping.Do(b.end)
}

func (b *bed) end() {
	for _, g := range b.gateways {
		g.kill()
	}
	for _, r := range b.replicas {
		r.exit()
	}
	if b.store != nil {
		b.store.close()
	}
}

func (b *bed) file(name string) string { return filepath.Join(b.dir, name) }
