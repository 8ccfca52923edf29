package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against an answer that is cut because its client reads it later than ackTimeout: the
// client is there and acknowledges.
func TestClientThatReadsLateIsNotCut(t *testing.T) {
	const answerBytes = 16 << 20
	server, err := Listen("test", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, answerBytes))
	}), nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	c, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * ackTimeout / 2)
	n, err := io.Copy(io.Discard, c)
	if err != nil || n < answerBytes {
		t.Errorf("%d of %d bytes, then %v", n, answerBytes, err)
	}
	stop()
	<-served
}
