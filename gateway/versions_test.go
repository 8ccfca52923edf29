package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

// streamProtocol is a protocol for streams that can be resumed, with short header names.
type streamProtocol struct{}

func (streamProtocol) DecodeRequest(h http.Header) relay.RequestFields {
	return relay.RequestFields{ID: h.Get("Id"), LastEventID: h.Get("Last"), Resumes: h.Get("Resumes"), TimeLeft: 5 * time.Second, HasDeadline: true}
}

func (streamProtocol) SetRequestHeaders(h http.Header, o relay.OutgoingFields) {
	if o.LastEventID != "" {
		h.Set("Last", o.LastEventID)
	}
}

func (streamProtocol) DecodeResponse(_ int, h http.Header) relay.ResponseFields {
	return relay.ResponseFields{ID: h.Get("Id"), Signed: true}
}

// versionedEndpoint returns an endpoint that breaks off each stream after its first event,
// and ends one that is taken up with its second. Each event names the version.
func versionedEndpoint(t *testing.T, version string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last+1, version)
		_ = http.NewResponseController(w).Flush()
		if last == 0 {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	server.Config.ErrorLog = nil
	return server.Listener.Addr().String()
}

// streamGateway returns the address of a gateway that has just started and knows the given
// endpoints; attempts is the number of endpoints that a stream may be sent to.
func streamGateway(t *testing.T, entries []registry.Entry, attempts int, rows RowStore) string {
	g := New(Options{
		Settings: Settings{AvailabilityZone: "z", RetryRatio: 1, RetryAllowance: 10_000, PlacementRule: placement.Random}, Protocol: streamProtocol{}, Log: zerolog.Nop(),
		Rand: rand.New(rand.NewPCG(1, 2)), Rows: rows,
	})
	g.ConfigSeen(routing.Config{
		Version: 1, Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{{Name: "r", Host: "site.example", Prefix: "/x/", Kind: routing.Streaming, Resumable: true, MaxAttempts: attempts,
			Timeout: 5 * time.Second, Split: []routing.Share{{Service: "s", Weight: 1}}}},
	})
	g.EndpointsListed(entries)
	server := httptest.NewServer(g.callerServer.Handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// ask sends a request for a stream and returns the status and the text that came, and
// whether it is complete.
func ask(t *testing.T, gateway, id, resumes, last string) (status int, text string, complete bool) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+gateway+"/x/", strings.NewReader("ask"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "site.example"
	r.Header.Set("Id", id)
	if resumes != "" {
		r.Header.Set("Resumes", resumes)
		r.Header.Set("Last", last)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err == nil && resp.StatusCode == http.StatusOK
}

// joined reports whether a text holds events of both versions.
func joined(text string) bool {
	return strings.Contains(text, "data: old") && strings.Contains(text, "data: new")
}

// versionedEntries returns four endpoints of two versions.
func versionedEntries(t *testing.T) []registry.Entry {
	var entries []registry.Entry
	for i, version := range []string{"old", "new", "old", "new"} {
		entries = append(entries, registry.Entry{ID: fmt.Sprintf("e%d", i), Service: "s", Address: versionedEndpoint(t, version), Zone: "z", Slots: 64, Born: 1, Version: version})
	}
	return entries
}

// Guards against an answer that is joined from endpoints of two software versions, as in the
// incident ORDER: a stream breaks off, and the gateway goes on at any other endpoint.
func TestGatewayGoesOnOnlyAtTheVersionThatBeganAStream(t *testing.T) {
	gateway := streamGateway(t, versionedEntries(t), 2, nil)
	complete := 0
	for i := range 40 {
		_, text, whole := ask(t, gateway, fmt.Sprintf("a%d", i), "", "")
		if joined(text) {
			t.Fatalf("request %d: the answer is joined from two versions: %q", i, text)
		}
		if whole {
			complete++
		}
	}
	if complete < 36 {
		t.Errorf("%d of 40 streams went on to their end", complete)
	}
}

// Guards against text that a caller joins from two software versions over its tries: at the
// gateway that began the stream, and at one that has just started, after all were killed, and
// can't know.
func TestTakenUpStreamGoesOnOnlyAtItsVersion(t *testing.T) {
	entries := versionedEntries(t)
	gateway := streamGateway(t, entries, 1, nil)
	served := 0
	for i := range 40 {
		id := fmt.Sprintf("a%d", i)
		_, first, _ := ask(t, gateway, id, "", "")
		for name, at := range map[string]string{"the same": gateway, "a restarted": streamGateway(t, entries, 1, nil)} {
			status, rest, whole := ask(t, at, "b"+id, id, "1")
			if whole && joined(first+rest) {
				t.Fatalf("request %d: at %s gateway the stream goes on at another version: %q, then %q", i, name, first, rest)
			}
			if whole && at == gateway {
				served++
			}
			if !whole && status != http.StatusServiceUnavailable {
				t.Errorf("request %d: at %s gateway the answer is %d", i, name, status)
			}
		}
	}
	if served < 36 {
		t.Errorf("%d of 40 streams went on at the gateway that began them", served)
	}
}
