package standin

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// serveInMemory serves h on an in-memory listener and returns a client for it. It
// must be called in a synctest bubble.
func serveInMemory(t *testing.T, h http.Handler) *http.Client {
	l := NewPipeListener()
	c, _ := serveInMemoryWithFaults(t, h, l)
	return c
}

func serveInMemoryWithFaults(t *testing.T, h http.Handler, l *PipeListener) (*http.Client, *FaultListener) {
	faulty := NewFaultListener(l)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(faulty) }()
	transport := &http.Transport{DialContext: l.DialContext}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	return &http.Client{Transport: transport}, faulty
}

// Guards against silenced connections that fail with an error or recover, and
// against new connections that are silent too.
func TestFaultListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(TableOptions{Faults: TableFaults{LatencyMS: 10_000}})
		defer table.Close()
		c, faulty := serveInMemoryWithFaults(t, table, NewPipeListener())
		c.Timeout = time.Minute
		ended := make(chan time.Time, 1)
		began := time.Now()
		go func() {
			_, _, _ = sendRequest(c, "GET", "/-/rows-get?tableName=t&from=a", "")
			ended <- time.Now()
		}()
		time.Sleep(time.Second)
		faulty.Silence()
		if status, _, err := sendRequest(c, "GET", "/-/rows-get?tableName=t&from=a", ""); status != 200 || err != nil {
			t.Errorf("new connection: %d %v", status, err)
		}
		if took := (<-ended).Sub(began); took != time.Minute {
			t.Errorf("the silenced call ended after %v", took)
		}
		c.CloseIdleConnections()
		faulty.Refuse(true)
		if _, _, err := sendRequest(c, "GET", "/-/rows-get?tableName=t&from=a", ""); err == nil {
			t.Error("a refused connection was answered")
		}
	})
}
