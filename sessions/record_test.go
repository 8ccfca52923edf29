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

// recorder keeps the calls that reach engines and services, and can hold a
// stream of an engine after a number of events.
type recorder struct {
	mu    sync.Mutex
	calls map[string][]string
	// order has the engines in the order of their first call.
	order []string
	hold  *hold
	// marker restricts the record to calls whose body contains it.
	marker string
}

func newRecorder() *recorder { return &recorder{calls: make(map[string][]string)} }

// hold stops streams after events. Those of a crashed engine break off when they
// are released, the others go on.
type hold struct {
	events  int
	release chan struct{}
}

// holdStreams holds streams that begin from now on, until the returned function
// is called.
func (r *recorder) holdStreams(events int) (release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &hold{events: events, release: make(chan struct{})}
	r.hold = h
	return sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.hold = nil
		close(h.release)
	})
}

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
		if h := r.add(name, req, body); h != nil && engine != nil {
			w = &heldWriter{ResponseWriter: w, hold: h, left: h.events, gone: req.Context().Done(), engine: engine}
		}
		endpoint.ServeHTTP(w, req)
	})
}

func (r *recorder) add(name string, req *http.Request, body []byte) *hold {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !bytes.Contains(body, []byte(r.marker)) {
		return r.hold
	}
	line := fmt.Sprintf("%s: %s %s, X-Request-Id %s", name, req.Method, req.URL, req.Header.Get("X-Request-Id"))
	if key := req.Header.Get("Idempotency-Key"); key != "" {
		line += ", Idempotency-Key " + key
	}
	r.calls[name] = append(r.calls[name], line+"\n  "+visible(string(body))+"\n")
	if strings.HasPrefix(name, "engine-") && !slices.Contains(r.order, name) {
		r.order = append(r.order, name)
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

type heldWriter struct {
	http.ResponseWriter
	hold   *hold
	left   int
	gone   <-chan struct{}
	engine *standin.Engine
}

// Write receives one event at a time.
func (w *heldWriter) Write(p []byte) (int, error) {
	if w.left == 0 {
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		select {
		case <-w.hold.release:
		case <-w.gone:
		}
		if w.engine.Faults().Down != "" {
			panic(http.ErrAbortHandler)
		}
	}
	w.left--
	return w.ResponseWriter.Write(p)
}

func (w *heldWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func engineName(i int) string { return "engine-" + strconv.Itoa(i+1) }

var engineLine = regexp.MustCompile(`engine-\d+`)

// sortEngines names engines by the order of their first call, since the router's
// choice is random, and sorts adjacent lines that begin with an engine's name.
func (r *recorder) sortEngines(text string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make(map[string]string)
	text = engineLine.ReplaceAllStringFunc(text, func(name string) string {
		i := slices.Index(r.order, name)
		if i >= 0 {
			return fmt.Sprintf("<engine %d>", i+1)
		}
		if names[name] == "" {
			names[name] = fmt.Sprintf("<engine %d>", len(r.order)+len(names)+1)
		}
		return names[name]
	})
	return sortRuns(text)
}

// sortRuns sorts each run of lines that begin with an engine's name, by that
// name; an indented line belongs to the line before it.
func sortRuns(text string) string {
	var out, run []string
	flush := func() {
		slices.SortStableFunc(run, func(a, b string) int { return strings.Compare(firstWords(a), firstWords(b)) })
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

func firstWords(line string) string {
	name, _, _ := strings.Cut(line, ">")
	return name
}

// stateLog collects the state changes that processes log.
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

// Write receives one line of a process.
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

// has reports whether a process has logged a state of a subject.
func (l *stateLog) has(name, subject, state string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.lines, func(s stateLine) bool {
		return s.Name == name && s.Subject == subject && s.State == state
	})
}

// String lists the changes by process and subject, because only the order within
// a subject is the same on each run.
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
	uuidText  = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)
	variables = []struct {
		pattern     *regexp.Regexp
		replacement string
	}{
		{regexp.MustCompile(`127\.0\.0\.1:\d+`), "<address>"},
		{regexp.MustCompile(`"created":\d+`), `"created":<time>`},
		{regexp.MustCompile(`"(at|changed_at)":"[^"]+"`), `"$1":"<time>"`},
		{regexp.MustCompile(`(< Date: ).*`), "$1<time>"},
		{regexp.MustCompile(`"availability_zone":"[^"]+"`), `"availability_zone":"<zone>"`},
		// The answer to a drain may show the state before or after it.
		{regexp.MustCompile(`"version":"[^"]+"(.*)"state":"(serving|draining)"`), `"version":"<build>"$1"state":"<serving or draining>"`},
		{regexp.MustCompile(`(< Content-Length: ).*`), "$1<length>"},
	}
)

// replaceVariable puts placeholders for what differs between runs. Ids are
// numbered in the order in which they appear.
func replaceVariable(text string) string {
	for _, v := range variables {
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

const longRun = 64

// visible shows invalid UTF-8 as escapes and a long run of one byte by its length.
func visible(line string) string {
	var b strings.Builder
	for len(line) > 0 {
		r, size := utf8.DecodeRuneInString(line)
		n := len(line) - len(strings.TrimLeft(line, line[:size]))
		switch {
		case r == utf8.RuneError && size == 1:
			fmt.Fprintf(&b, "<byte %02x>", line[0])
		case n >= longRun*size:
			fmt.Fprintf(&b, "<%d bytes %c>", n, r)
			size = n
		default:
			b.WriteString(line[:size])
		}
		line = line[size:]
	}
	return b.String()
}
