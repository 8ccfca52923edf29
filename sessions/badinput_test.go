package sessions

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/demo"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/settings"
)

const (
	maxBody     = 16 << 10
	bodyTimeout = 300 * time.Millisecond
)

var lowLimitSite = demo.SiteOptions{
	Engines: 1, Routers: 1,
	Limits: settings.Limits{MaxBodyBytes: maxBody, BodyTimeoutMS: int(bodyTimeout / time.Millisecond)},
}

// badInput is a request that must be refused before it runs.
type badInput struct {
	name string
	code resultcode.Code
	// request is sent first; continueBody, if set, then sends more of the body until
	// the response arrives.
	request      string
	continueBody func(net.Conn)
}

func badInputs() []badInput {
	large := strings.Repeat("x", maxBody+1)
	valid := chatBody("hello", `"max_tokens":5`)
	chunked := strings.Replace(request(chatLine, ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
	unfinished := strings.Replace(chat(`"max_tokens":5`), "Content-Length: 78", "Content-Length: 79", 1)
	return []badInput{
		{name: "oversized body with a length", code: resultcode.BodyTooLarge, request: request(chatLine, large)},
		{name: "oversized body in chunks", code: resultcode.BodyTooLarge, request: chunked + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(large), large)},
		{name: "never-ending body", code: resultcode.BodyTooLarge, request: chunked, continueBody: sendEndlessChunks},
		{name: "oversized body of a service", code: resultcode.BodyTooLarge, request: charge("key-1", large)},
		{name: "truncated body", code: resultcode.MalformedBody, request: unfinished, continueBody: closeWrite},
		{name: "truncated chunk", code: resultcode.MalformedBody, request: chunked + "10\r\n{\"model\"", continueBody: closeWrite},
		{name: "malformed chunk", code: resultcode.MalformedBody, request: chunked + "zz\r\n{}\r\n0\r\n\r\n"},
		{name: "missing end of body", code: resultcode.BodyTimeout, request: unfinished},
		{name: "slow body", code: resultcode.BodyTimeout, request: chunked, continueBody: sendSlowly},
		{name: "empty body", code: resultcode.MalformedBody, request: request(chatLine, "")},
		{name: "not JSON", code: resultcode.MalformedBody, request: request(chatLine, "model=chat")},
		{name: "data after the body", code: resultcode.MalformedBody, request: request(chatLine, valid+"{}")},
		{name: "wrong type", code: resultcode.MalformedBody, request: request(chatLine, `{"model":7,"messages":[{}]}`)},
		{name: "no messages", code: resultcode.MalformedBody, request: request(chatLine, `{"model":"chat"}`)},
		{name: "deeply nested", code: resultcode.MalformedBody, request: request(chatLine, strings.Repeat("[", maxBody))},
		{name: "n is 2", code: resultcode.UnsupportedParameter, request: chat(`"n":2`)},
		{name: "n is 0", code: resultcode.UnsupportedParameter, request: chat(`"n":0`)},
		{name: "invalid UTF-8 in the body", code: resultcode.InvalidUTF8, request: request(chatLine, chatBody("hello", "\"user\":\"\xff\""))},
		{name: "invalid UTF-8 in the profile", code: resultcode.InvalidUTF8, request: chat(`"max_tokens":5`, "X-Pistachiowind-Profile: ch\xe2t")},
		{name: "invalid UTF-8 in the key", code: resultcode.InvalidUTF8, request: charge("key-\xff", chargeBody)},
		{name: "invalid UTF-8 in another header", code: resultcode.InvalidUTF8, request: request("POST /services/ledger/charges", chargeBody, "Idempotency-Key: key-1", "X-Contract: \xff")},
		{name: "invalid UTF-8 in the query", code: resultcode.InvalidUTF8, request: request("POST /services/ledger/charges?a=\xff", chargeBody, "Idempotency-Key: key-1")},
		{name: "invalid UTF-8 in the query of a chat", code: resultcode.InvalidUTF8, request: request(chatLine+"?a=\xff", valid)},
		{name: "duplicate Authorization", code: resultcode.DuplicateHeader, request: chat(`"max_tokens":5`, "Authorization: Bearer "+demo.MarketKey)},
		{name: "duplicate profile", code: resultcode.DuplicateHeader, request: chat(`"max_tokens":5`, "X-Pistachiowind-Profile: chat", "x-pistachiowind-profile: history")},
		{name: "duplicate key", code: resultcode.DuplicateHeader, request: request("POST /services/ledger/charges", chargeBody, "Idempotency-Key: key-1", "Idempotency-Key: key-2")},
		{name: "duplicate Content-Type", code: resultcode.DuplicateHeader, request: chat(`"max_tokens":5`, "Content-Type: application/json", "Content-Type: text/plain")},
		{name: "unknown account", code: resultcode.Unauthenticated, request: requestWith("wrong-key", chatLine, valid)},
		{name: "no account", code: resultcode.Unauthenticated, request: requestWith("", chatLine, valid)},
		{name: "unknown account asks for models", code: resultcode.Unauthenticated, request: requestWith("wrong-key", "GET /v1/models", "")},
		{name: "unknown profile", code: resultcode.UnknownProfile, request: chat(`"max_tokens":5`, "X-Pistachiowind-Profile: fast")},
		{name: "unknown model", code: resultcode.UnknownModel, request: request(chatLine, strings.Replace(valid, `"chat"`, `"poem"`, 1))},
		{name: "unknown service", code: resultcode.UnknownService, request: request("POST /services/printer/jobs", "{}", "Idempotency-Key: key-1")},
		{name: "unknown route", code: resultcode.UnknownRoute, request: request("POST /v1/embeddings", "{}")},
		{name: "unknown method", code: resultcode.UnknownRoute, request: request("DELETE /v1/chat/completions", "")},
		{name: "missing key", code: resultcode.IdempotencyKeyRequired, request: request("POST /services/ledger/charges", chargeBody)},
		{name: "empty key", code: resultcode.IdempotencyKeyRequired, request: charge("", chargeBody)},
		{name: "too long key", code: resultcode.MalformedBody, request: charge(strings.Repeat("k", 256), chargeBody)},
	}
}

// sendEndlessChunks sends body chunks of 4 KiB until the connection breaks.
func sendEndlessChunks(conn net.Conn) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 4096, strings.Repeat("x", 4096))
	for {
		if _, err := io.WriteString(conn, chunk); err != nil {
			return
		}
	}
}

// closeWrite closes the sending side of the connection, which truncates the body.
func closeWrite(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }

// sendSlowly sends one byte of the body at a time until the connection breaks.
func sendSlowly(conn net.Conn) {
	ticker := time.NewTicker(bodyTimeout / 10)
	defer ticker.Stop()
	for range ticker.C {
		if _, err := io.WriteString(conn, "1\r\n{\r\n"); err != nil {
			return
		}
	}
}

func TestRefusals(t *testing.T) {
	s := startSession(t, "Guards against a refusal without number or without not_run in body and header, and against bad input that reaches an endpoint or keeps the router from serving the next request.",
		lowLimitSite)
	for _, in := range badInputs() {
		c := s.dial("router-1: "+in.name, s.Routers[0].CallersAddress())
		var sending sync.WaitGroup
		c.write(in.request)
		if in.continueBody != nil {
			sending.Go(func() { in.continueBody(c.conn) })
		}
		c.readHead()
		c.readRest()
		_ = c.conn.Close()
		sending.Wait()
		c.checkRefusal(in.code)
		next := s.unrecorded(func() *caller { return s.call(0, request("GET /v1/models", "")) })
		if next.resp.StatusCode != http.StatusOK {
			t.Errorf("request after %s failed: %s", in.name, next.transcript())
		}
	}
	s.checkGolden()
}

// checkRefusal verifies the status, the headers and the body of a refusal with the
// code. Only a body timeout has a Retry-After header, because only then may the
// same request succeed later.
func (c *caller) checkRefusal(code resultcode.Code) {
	c.t.Helper()
	if later := code == resultcode.BodyTimeout; later != (c.resp.Header.Get("Retry-After") != "") {
		c.t.Errorf("%s: unexpected or missing Retry-After: %q", c.target, c.resp.Header.Get("Retry-After"))
	}
	if c.resp.StatusCode != resultcode.Lookup(code).Status || c.resp.Header.Get("X-Pistachiowind-Execution") != "not_run" ||
		!strings.Contains(c.transcript(), fmt.Sprintf(`"code":"%d","execution":"not_run"`, code)) {
		c.t.Errorf("%s: want code %d\n%s", c.target, code, c.transcript())
	}
}

// Guards against request bodies that are read without a limit: 32 callers send 8 MiB
// each to a router that accepts 16 KiB.
func TestBodiesAreBounded(t *testing.T) {
	const callers, offered, most = 32, 8 << 20, 16 << 20
	s := startSerialSession(t, "", lowLimitSite)
	head := []byte(strings.Replace(request(chatLine, ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1))
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", 4096, strings.Repeat("x", 4096))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var sending sync.WaitGroup
	for range callers {
		c := s.unrecorded(func() *caller { return s.dial("", s.Routers[0].CallersAddress()) })
		sending.Go(func() {
			_, _ = c.conn.Write(head)
			for range offered / 4096 {
				if _, err := c.conn.Write(chunk); err != nil {
					return
				}
			}
		})
	}
	sending.Wait()
	runtime.ReadMemStats(&after)
	t.Logf("allocated %d bytes", after.TotalAlloc-before.TotalAlloc)
	if grown := after.TotalAlloc - before.TotalAlloc; grown > most {
		t.Errorf("%d callers made the process allocate %d bytes, at most %d are expected", callers, grown, most)
	}
}
