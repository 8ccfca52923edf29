//go:build review

package kit

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id, gateway string
	sentAt      time.Time
	// status is 0 if no head came; err is set if the answer did not end whole.
	status int
	body   string
	err    error
	at     time.Time
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// dial opens a connection to a gateway.
func dial(g *gateway) (net.Conn, error) { return net.DialTimeout("tcp", g.callers, time.Second) }

// post sends one request on a connection and reads its answer.
func post(c net.Conn, path, headers, id, body string, deadline time.Duration) answer {
	a := answer{id: id, sentAt: time.Now()}
	finish := func(err error) answer {
		a.err, a.at = err, time.Now()
		return a
	}
	if err := c.SetDeadline(a.sentAt.Add(deadline)); err != nil {
		return finish(err)
	}
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: k-acme\r\n%sContent-Length: %d\r\n\r\n%s",
		path, id, deadline.Milliseconds(), headers, len(body), body)
	if err != nil {
		return finish(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: "POST"})
	if err != nil {
		return finish(err)
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	text, err := io.ReadAll(resp.Body)
	a.body = string(text)
	return finish(err)
}
