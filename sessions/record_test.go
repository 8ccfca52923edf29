package sessions

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/pistachiowind/pistachiowind/standin"
)

// recorder records the requests that reach engines and services, and can hold the
// streams of engines after a number of events.
type recorder struct {
	mu    sync.Mutex
	calls map[string][]string
	// engineOrder lists the engines in the order of their first request.
	engineOrder []string
	hold        *streamHold
	// marker restricts the record to requests whose body contains it.
	marker string
	// continued serves the requests to continue a text in place of the engine, unless it is
	// nil.
	continued http.HandlerFunc
}

func newRecorder() *recorder { return &recorder{calls: make(map[string][]string)} }

// streamHold pauses streams after a number of events. When they are released, the
// streams of a crashed engine break off and the others continue.
type streamHold struct {
	events  int
	release chan struct{}
}

// holdStreams holds the streams that begin from now on after a number of events,
// until the returned function is called.
func (r *recorder) holdStreams(events int) (release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &streamHold{events: events, release: make(chan struct{})}
	r.hold = h
	return sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.hold = nil
		close(h.release)
	})
}

// wrap returns a handler that records and possibly holds the requests to endpoint.
func (r *recorder) wrap(name string, endpoint http.Handler) http.Handler {
	engine, _ := endpoint.(*standin.Engine)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodGet {
			endpoint.ServeHTTP(w, req)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		if r.continued != nil && bytes.Contains(body, []byte(`"continue_final_message":true`)) {
			r.continued(w, req)
			return
		}
		if h := r.record(name, req, body); h != nil && engine != nil {
			w = &heldWriter{ResponseWriter: w, hold: h, eventsLeft: h.events, requestDone: req.Context().Done(), engine: engine}
		}
		endpoint.ServeHTTP(w, req)
	})
}

// record records a request and returns the hold for its stream, or nil.
func (r *recorder) record(name string, req *http.Request, body []byte) *streamHold {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !bytes.Contains(body, []byte(r.marker)) {
		return r.hold
	}
	line := fmt.Sprintf("%s: %s %s, X-Request-Id %s", name, req.Method, req.URL, req.Header.Get("X-Request-Id"))
	if key := req.Header.Get("Idempotency-Key"); key != "" {
		line += ", Idempotency-Key " + key
	}
	r.calls[name] = append(r.calls[name], line+"\n  "+printable(string(body))+"\n")
	if strings.HasPrefix(name, "engine-") && !slices.Contains(r.engineOrder, name) {
		r.engineOrder = append(r.engineOrder, name)
	}
	return r.hold
}

func (r *recorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, name := range sortedKeys(r.calls) {
		b.WriteString(strings.Join(r.calls[name], ""))
	}
	return b.String()
}

// heldWriter blocks a stream after a number of events.
type heldWriter struct {
	http.ResponseWriter
	hold        *streamHold
	eventsLeft  int
	requestDone <-chan struct{}
	engine      *standin.Engine
}

// Write receives one event at a time.
func (w *heldWriter) Write(p []byte) (int, error) {
	if w.eventsLeft == 0 {
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		select {
		case <-w.hold.release:
		case <-w.requestDone:
		}
		if w.engine.Faults().Down != "" {
			panic(http.ErrAbortHandler)
		}
	}
	w.eventsLeft--
	return w.ResponseWriter.Write(p)
}

func (w *heldWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func engineName(i int) string { return "engine-" + strconv.Itoa(i+1) }

var engineLine = regexp.MustCompile(`engine-\d+`)

// normalizeEngines replaces the names of engines by numbers in the order of their
// first request, since the router's choice is random, and sorts adjacent lines that
// begin with an engine's name.
func (r *recorder) normalizeEngines(text string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make(map[string]string)
	text = engineLine.ReplaceAllStringFunc(text, func(name string) string {
		i := slices.Index(r.engineOrder, name)
		if i >= 0 {
			return fmt.Sprintf("<engine %d>", i+1)
		}
		if names[name] == "" {
			names[name] = fmt.Sprintf("<engine %d>", len(r.engineOrder)+len(names)+1)
		}
		return names[name]
	})
	return sortRuns(text)
}

// sortRuns sorts each run of lines that begin with an engine's name by that name. An
// indented line stays with the line before it.
func sortRuns(text string) string {
	var out, run []string
	flush := func() {
		slices.SortStableFunc(run, func(a, b string) int { return strings.Compare(enginePrefix(a), enginePrefix(b)) })
		out = append(out, run...)
		run = nil
	}
	for line := range strings.Lines(text) {
		switch {
		case strings.HasPrefix(line, "<engine "):
			run = append(run, line)
		case strings.HasPrefix(line, "  ") && len(run) > 0:
			run[len(run)-1] += line
		default:
			flush()
			out = append(out, line)
		}
	}
	flush()
	return strings.Join(out, "")
}

func enginePrefix(line string) string {
	name, _, _ := strings.Cut(line, ">")
	return name
}

// stateLog collects the state changes in the logs of all processes.
type stateLog struct {
	mu    sync.Mutex
	lines []stateLine
}

type stateLine struct {
	Name     string `json:"name"`
	Subject  string `json:"subject"`
	State    string `json:"state"`
	Previous string `json:"previous"`
	Cause    string `json:"cause"`
	Message  string `json:"message"`
}

// Write parses one log line of a process.
func (l *stateLog) Write(p []byte) (int, error) {
	var line stateLine
	if err := json.Unmarshal(p, &line); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if line.Message == "state changed" {
		l.lines = append(l.lines, line)
	}
	return len(p), nil
}

// has reports whether the named process has logged the state of the subject.
func (l *stateLog) has(name, subject, state string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.lines, func(s stateLine) bool {
		return s.Name == name && s.Subject == subject && s.State == state
	})
}

// String lists the changes sorted by process and subject, because only the order
// within a subject is the same in each run.
func (l *stateLog) String() string {
	l.mu.Lock()
	lines := slices.Clone(l.lines)
	l.mu.Unlock()
	slices.SortStableFunc(lines, func(a, b stateLine) int {
		return strings.Compare(a.Name+"\x00"+a.Subject, b.Name+"\x00"+b.Subject)
	})
	var b strings.Builder
	for _, s := range lines {
		fmt.Fprintf(&b, "%s: %s: %s", s.Name, s.Subject, s.State)
		if s.Cause != "" {
			fmt.Fprintf(&b, " (%s)", s.Cause)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

var (
	uuidText         = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)
	variablePatterns = []struct {
		pattern     *regexp.Regexp
		replacement string
	}{
		{regexp.MustCompile(`127\.0\.0\.1:\d+`), "<address>"},
		{regexp.MustCompile(`"created":\d+`), `"created":<time>`},
		{regexp.MustCompile(`"(at|changed_at)":"[^"]+"`), `"$1":"<time>"`},
		{regexp.MustCompile(`(< Date: ).*`), "$1<time>"},
		{regexp.MustCompile(`"availability_zone":"[^"]+"`), `"availability_zone":"<zone>"`},
		// The response to a drain may show the state before or after the drain.
		{regexp.MustCompile(`"version":"[^"]+"(.*)"state":"(serving|draining)"`), `"version":"<build>"$1"state":"<serving or draining>"`},
		{regexp.MustCompile(`(< Content-Length: ).*`), "$1<length>"},
	}
)

// maskVariableText replaces text that differs between runs by placeholders. IDs are
// numbered in the order in which they appear.
func maskVariableText(text string) string {
	for _, v := range variablePatterns {
		text = v.pattern.ReplaceAllString(text, v.replacement)
	}
	ids := make(map[string]int)
	return uuidText.ReplaceAllStringFunc(text, func(id string) string {
		if ids[id] == 0 {
			ids[id] = len(ids) + 1
		}
		return fmt.Sprintf("<id %d>", ids[id])
	})
}

// minCollapsedRun is the number of equal characters from which printable shows only
// the length of the run.
const minCollapsedRun = 64

// printable replaces invalid UTF-8 by escapes and a long run of one character by the
// length of the run.
func printable(line string) string {
	var b strings.Builder
	for len(line) > 0 {
		r, size := utf8.DecodeRuneInString(line)
		n := len(line) - len(strings.TrimLeft(line, line[:size]))
		switch {
		case r == utf8.RuneError && size == 1:
			fmt.Fprintf(&b, "<byte %02x>", line[0])
		case n >= minCollapsedRun*size:
			fmt.Fprintf(&b, "<%d bytes %c>", n, r)
			size = n
		default:
			b.WriteString(line[:size])
		}
		line = line[size:]
	}
	return b.String()
}
