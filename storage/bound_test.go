package storage

import (
	"context"
	"maps"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiowind/pistachiowind/endless"
)

// countedClient returns a client without an http.Client of its own, as router and agent have
// them; read counts what it reads.
func countedClient(address string, read *endless.Counter) ServiceClient {
	c := NewServiceClient(Options{URL: "http://" + address, Timeout: time.Minute})
	transport := c.httpClient.Transport.(*http.Transport).Clone()
	read.Count(transport)
	c.httpClient.Transport = transport
	return c
}

// Guards against an answer of a platform service, such as the VM list, that does not end and
// that a router or agent reads, or keeps, beyond the bounds of heads and bodies.
func TestEndlessAnswerOfAServiceIsCut(t *testing.T) {
	check := func(t *testing.T, answer endless.Answer, bodyBytes int64) {
		server := endless.Serve(t, answer)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var read endless.Counter
		list := &VMList{client: countedClient(server.Address, &read)}
		if _, err := list.List(ctx); err == nil || ctx.Err() != nil {
			t.Errorf("error %v, want one without waiting", err)
		}
		server.CheckClosed(t)
		read.CheckAtMost(t, MaxResponseHeaderBytes+bodyBytes)
	}
	for part, answer := range endless.Heads() {
		t.Run(part, func(t *testing.T) { check(t, answer, 0) })
	}
	for part, answer := range endless.Bodies() {
		t.Run(part, func(t *testing.T) { check(t, answer, maxVMListBytes) })
	}
	for _, status := range []string{"307 Temporary Redirect", "404 Not Found", "500 Internal Server Error", "503 Service Unavailable"} {
		t.Run(status, func(t *testing.T) { check(t, endless.WithStatus(status), maxVMListBytes) })
	}
}

// Guards against an answer of which bytes arrive now and then for ever, and which holds a call
// beyond its time-out.
func TestDrippingAnswerEndsAtTheTimeout(t *testing.T) {
	answers := endless.Heads()
	maps.Copy(answers, endless.Bodies())
	for part, answer := range answers {
		t.Run(part, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &http.Transport{DialContext: answer.Drip, DisableCompression: true}
				c := NewServiceClient(Options{URL: "http://store", Client: &http.Client{Transport: transport}})
				began := time.Now()
				_, err := c.Do(context.Background(), Request{Method: http.MethodGet, Path: "/", MaxResponseBytes: maxVMListBytes})
				if took := time.Since(began); err == nil || took > DefaultCallTimeout {
					t.Errorf("error %v after %v, want one within %v", err, took, DefaultCallTimeout)
				}
				transport.CloseIdleConnections()
				// Until the stand-in has noticed, in virtual time.
				time.Sleep(time.Second)
			})
		})
	}
}
