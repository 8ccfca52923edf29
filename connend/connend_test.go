package connend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// part is what a handler writes of an answer before it ends.
const part = "the first part"

// newServer returns a server that writes a part of an answer, and then does what end says.
func newServer(end func()) *httptest.Server {
	server := httptest.NewUnstartedServer(Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		end()
	})))
	server.Config.ConnContext = WithConn
	return server
}

// begin sends a request of HTTP/1.0 and returns the connection after the part has arrived.
func begin(t *testing.T, address, headers string) *bufio.Reader {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.0\r\n"+headers+"\r\n"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(c)
	received := ""
	for !strings.HasSuffix(received, part) {
		b, err := reader.ReadByte()
		if err != nil {
			t.Fatalf("%v after %q", err, received)
		}
		received += string(b)
	}
	return reader
}

// Guards against an answer without a length that breaks off and looks complete to a caller of
// HTTP/1.0, whatever ends the answer, and against a reset of one that is whole.
func TestEndOfConnectionTellsWhetherAnAnswerIsWhole(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	for name, c := range map[string]struct {
		end   func()
		stop  func(*httptest.Server)
		whole bool
	}{
		"handler returns":  {func() {}, func(*httptest.Server) {}, true},
		"handler panics":   {func() { panic(http.ErrAbortHandler) }, func(*httptest.Server) {}, false},
		"server is closed": {func() { <-block }, func(s *httptest.Server) { _ = s.Config.Close() }, false},
	} {
		for _, headers := range []string{"", "Connection: keep-alive\r\n"} {
			t.Run(fmt.Sprintf("%s, headers %q", name, headers), func(t *testing.T) {
				server := newServer(c.end)
				server.Start()
				reader := begin(t, server.Listener.Addr().String(), headers)
				c.stop(server)
				if _, err := reader.ReadByte(); (err == io.EOF) != c.whole {
					t.Errorf("the connection ended with %v, whole: %v", err, c.whole)
				}
			})
		}
	}
}

const childVariable = "CONNEND_TEST_CHILD"

// Guards against the death of the process that makes an answer look complete: the kernel
// closes its connections as if the process had.
func TestDeathOfTheProcessResetsTheConnection(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		server := newServer(func() { select {} })
		server.Start()
		fmt.Println(server.Listener.Addr())
		select {}
	}
	child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), childVariable+"=1")
	out, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	defer child.Wait()
	defer child.Process.Kill()
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	reader := begin(t, strings.TrimSpace(address), "")
	if err := child.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if _, err := reader.ReadByte(); err == nil || err == io.EOF {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

// Guards against an answer whose end can't be told from a break: the connection is not known.
func TestCallerWithoutAKnownConnectionIsRefused(t *testing.T) {
	for version, want := range map[string]int{"1.0": http.StatusHTTPVersionNotSupported, "1.1": http.StatusOK} {
		r := httptest.NewRequest("GET", "/", nil)
		_, _ = fmt.Sscanf(version, "%d.%d", &r.ProtoMajor, &r.ProtoMinor)
		w := httptest.NewRecorder()
		Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})).ServeHTTP(w, r)
		if w.Code != want {
			t.Errorf("status %d to HTTP/%s, want %d", w.Code, version, want)
		}
	}
}
