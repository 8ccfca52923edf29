package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/endless"
	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
)

// Guards against a peer whose answer does not end and that a gateway reads, or keeps, beyond
// the bounds of heads and bodies.
func TestEndlessAnswerOfAPeerIsCut(t *testing.T) {
	calls := map[string]func(context.Context, wire.Peer) error{
		"state": func(ctx context.Context, p wire.Peer) error {
			_, err := p.State(ctx, &wire.StateRequest{})
			return err
		},
		"cached parts": func(ctx context.Context, p wire.Peer) error {
			_, err := p.CachedParts(ctx, &wire.CachedPartsRequest{})
			return err
		},
	}
	for name, call := range calls {
		check := func(t *testing.T, answer endless.Answer, bodyBytes int64) {
			server := endless.Serve(t, answer)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var read endless.Counter
			transport := newPeerTransport()
			read.Count(transport)
			if err := call(ctx, peerClientOver(transport, server.Address)); err == nil || ctx.Err() != nil {
				t.Errorf("error %v, want one without waiting", err)
			}
			server.CheckClosed(t)
			read.CheckAtMost(t, maxControlHeaderBytes+bodyBytes)
		}
		for part, answer := range endless.Heads() {
			t.Run(name+"/"+part, func(t *testing.T) { check(t, answer, 0) })
		}
		for part, answer := range endless.Bodies() {
			t.Run(name+"/"+part, func(t *testing.T) { check(t, answer, maxSiteStateBytes) })
		}
		for _, status := range []string{"302 Found", "404 Not Found", "500 Internal Server Error", "503 Service Unavailable"} {
			t.Run(name+"/"+status, func(t *testing.T) { check(t, endless.WithStatus(status), maxSiteStateBytes) })
		}
	}
}

// Guards against a gateway that starts without the store and gets neither ready nor serves its
// peers, because one of the peers that it asks for the state of the site sends an answer
// without end: the state of the other one must be taken.
func TestEndlessPeerDoesNotHideAnother(t *testing.T) {
	for part, answer := range map[string]endless.Answer{
		"head": endless.Heads()["header lines"], "body": endless.Bodies()["body without a length"],
	} {
		t.Run(part, func(t *testing.T) {
			faulty := endless.Serve(t, answer)
			port := portOf(t, faulty.Address)
			informed, _ := start(t, Settings{Listen: Listen{Peers: "127.0.0.3:" + port}}, "127.0.0.1:9", false)
			awaitReadiness(t, informed, http.StatusOK)
			late, _ := start(t, Settings{Listen: Listen{Peers: "127.0.0.2:" + port}, PeerSeeds: []string{faulty.Address, "127.0.0.3:" + port}}, "127.0.0.1:9", true)
			awaitReadiness(t, late, http.StatusOK)
			faulty.CheckClosed(t)
		})
	}
}

// Guards against a listener that reads, or keeps, a request without end, and against one that
// does not answer others meanwhile. All listeners but the callers' one have the same server.
func TestEndlessRequestIsCut(t *testing.T) {
	s := Settings{Listen: Listen{Peers: freePort(t, "127.0.0.1")}}
	g, _ := start(t, s, "127.0.0.1:9", false)
	awaitReadiness(t, g, http.StatusOK)
	listen := g.options.Settings.Listen
	t.Run("requests", func(t *testing.T) {
		for name, listener := range map[string]struct{ address, path string }{
			"ready":   {listen.Ready, "/ready"},
			"peers":   {listen.Peers, wire.PeerPathPrefix + "State"},
			"callers": {listen.Callers, "/x/y"},
		} {
			for part, request := range endless.Requests(listener.path) {
				t.Run(name+"/"+part, func(t *testing.T) {
					t.Parallel()
					endless.Request(t, listener.address, request)
					if code := readiness(g); code != http.StatusOK {
						t.Errorf("readiness %d beside it", code)
					}
					if _, err := peerClient(listen.Peers).State(t.Context(), &wire.StateRequest{}); err != nil {
						t.Errorf("a peer's request beside it: %v", err)
					}
				})
			}
		}
	})
}

func portOf(t *testing.T, address string) string {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return port
}
