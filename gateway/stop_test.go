package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
)

// caller is a client connection that sends one request after another.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, g *Gateway) *caller {
	t.Helper()
	c, err := net.Dial("tcp", g.options.Settings.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &caller{c, bufio.NewReader(c)}
}

const bodyBytes = 4096

// send writes the header of a request and the first n bytes of its body.
func (c *caller) send(id string, n int) error {
	_, err := fmt.Fprintf(c, "POST /x/%s HTTP/1.1\r\nHost: site.example\r\nContent-Length: %d\r\n\r\n%s", id, bodyBytes, strings.Repeat("b", n))
	return err
}

// answered reports whether the complete response to the request with the id arrives.
func (c *caller) answered(id string) bool {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	b, err := io.ReadAll(resp.Body)
	return err == nil && string(b) == "done /x/"+id
}

// Guards against a planned stop that cuts off requests which were just accepted: those
// on new connections, those whose bodies are half read, and those on kept-alive
// connections that were already forwarded to an endpoint.
func TestStopInTheMomentOfManyRequests(t *testing.T) {
	const each = 20
	var mu sync.Mutex
	passedOn := make(map[string]bool)
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		passedOn[strings.TrimPrefix(r.URL.Path, "/x/")] = true
		mu.Unlock()
		fmt.Fprint(w, "done "+r.URL.Path)
	}))
	defer endpoint.Close()
	g, finish := start(t, Settings{}, endpoint.Listener.Addr().String(), false)
	awaitReadiness(t, g, http.StatusOK)

	var kept, fresh, half []*caller
	for i := range each {
		k, h := dial(t, g), dial(t, g)
		id := fmt.Sprint("before-", i)
		if err := k.send(id, bodyBytes); err != nil || !k.answered(id) {
			t.Fatalf("a request before the stop was not served: %v", err)
		}
		if err := h.send(fmt.Sprint("half-", i), bodyBytes/2); err != nil {
			t.Fatal(err)
		}
		kept, fresh, half = append(kept, k), append(fresh, dial(t, g)), append(half, h)
	}
	ended := make(chan struct{})
	var wait sync.WaitGroup
	exchange := func(c *caller, id string, required bool, send func() error) {
		wait.Go(func() {
			sent := send() == nil
			ok := sent && c.answered(id)
			mu.Lock()
			defer mu.Unlock()
			if !ok && (required || passedOn[id]) {
				t.Errorf("%s got no answer (passed on: %v)", id, passedOn[id])
			}
		})
	}
	go func() { finish(); close(ended) }()
	for i := range each {
		keptID, freshID, halfID := fmt.Sprint("kept-", i), fmt.Sprint("fresh-", i), fmt.Sprint("half-", i)
		exchange(kept[i], keptID, false, func() error { return kept[i].send(keptID, bodyBytes) })
		exchange(fresh[i], freshID, true, func() error { return fresh[i].send(freshID, bodyBytes) })
		exchange(half[i], halfID, true, func() error {
			_, err := io.WriteString(half[i], strings.Repeat("b", bodyBytes/2))
			return err
		})
	}
	wait.Wait()
	<-ended
}

// Guards against requests that are passed on late in a planned stop and cut at its end, among
// them ones that must not be repeated: their headers came before the stop, the rest of their
// bodies at many moments of it. Each gets its answer, or is refused and never passed on.
func TestRequestsThatCompleteLateInAStopAreNotCut(t *testing.T) {
	const (
		grace, working, requests = 3 * time.Second, 1200 * time.Millisecond, 24
	)
	var mu sync.Mutex
	passedOn := make(map[string]bool)
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		passedOn[strings.TrimPrefix(r.URL.Path, "/x/")] = true
		mu.Unlock()
		time.Sleep(working)
		fmt.Fprint(w, "done "+r.URL.Path)
	}))
	defer endpoint.Close()
	g, finish := start(t, Settings{}, endpoint.Listener.Addr().String(), false)
	awaitReadiness(t, g, http.StatusOK)
	var callers []*caller
	for i := range requests {
		c := dial(t, g)
		if err := c.send(fmt.Sprint(i), bodyBytes/2); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, c)
	}
	// The gateway must have begun to read all headers before the stop closes new connections.
	time.Sleep(100 * time.Millisecond)
	var wait sync.WaitGroup
	answered, refused := 0, 0
	for i, c := range callers {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * (grace - 500*time.Millisecond) / requests)
			if _, err := io.WriteString(c, strings.Repeat("b", bodyBytes/2)); err != nil {
				t.Errorf("request %d was cut before it was complete: %v", i, err)
				return
			}
			resp, err := http.ReadResponse(c.reader, nil)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				t.Errorf("request %d got no answer (passed on: %v)", i, passedOn[fmt.Sprint(i)])
			case resp.StatusCode == http.StatusOK:
				answered++
			case resp.StatusCode == http.StatusServiceUnavailable && !passedOn[fmt.Sprint(i)]:
				refused++
			default:
				t.Errorf("request %d got %d (passed on: %v)", i, resp.StatusCode, passedOn[fmt.Sprint(i)])
			}
		})
	}
	finish()
	wait.Wait()
	if answered < requests/4 || refused < requests/4 {
		t.Errorf("%d answered, %d refused", answered, refused)
	}
}

// Guards against taking the endpoints of a peer that was cut off from the store, and a
// withdrawn key that the peer with the most recent endpoints has not dropped yet.
func TestNewestStateJoinsConfigurationAndEndpoints(t *testing.T) {
	cut := &wire.SiteState{ConfigVersion: 7, Config: []byte("seven"), Endpoints: []byte("old"), Listed: true, StoreLostMs: 9000}
	fresh := &wire.SiteState{ConfigVersion: 6, Config: []byte("six"), Endpoints: []byte("new"), Listed: true, StoreLostMs: 10}
	for _, states := range [][]*wire.SiteState{{cut, fresh}, {fresh, cut}} {
		s := newestState(states)
		if string(s.Config) != "seven" || string(s.Endpoints) != "new" {
			t.Errorf("configuration %s with endpoints %s", s.Config, s.Endpoints)
		}
	}
	if s := newestState(nil); s != nil {
		t.Errorf("%v without any state", s)
	}
}
