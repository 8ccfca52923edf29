package gateway

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
)

// Guards against an endpoint that has left and is kept for the grace of lapsed entries by a
// gateway that lost one answer of the store, while the store answered its peers; and against
// an entry that lapsed in an outage of all gateways and gets no grace.
func TestLostAnswerBeginsNoGrace(t *testing.T) {
	for name, c := range map[string]struct {
		// peerAnswered states for each second whether the store answered a peer.
		peerAnswered []bool
		want         string
	}{
		"a peer was answered all the while": {[]bool{true, true, true, true, true, true}, registry.StateGone},
		"nobody was answered":               {[]bool{true, false, false, false, false, false}, registry.StateLapsed},
		"the store is back just now":        {[]bool{true, false, false, false, false, true}, registry.StateLapsed},
		"the store is back for a while":     {[]bool{false, false, false, true, true, true}, registry.StateGone},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := New(Options{Log: zerolog.Nop(), Rand: rand.New(rand.NewPCG(1, 2))})
			var changes []registry.Change
			g.dispatcher.updateRegistry(func(_ time.Time, r *registry.Registry) []registry.Change {
				r.Put(registry.Entry{ID: "e", Service: "s", Address: "10.0.0.1:1", Slots: 4})
				return nil
			})
			g.StoreLost("directory", nil)
			for _, answered := range c.peerAnswered {
				time.Sleep(time.Second)
				if answered {
					g.receiveStoreState(time.Now(), &wire.Statement{Sender: "p", DirectoryAnswered: 1})
				}
			}
			g.StoreRegained("directory")
			g.dispatcher.updateRegistry(func(now time.Time, r *registry.Registry) []registry.Change {
				if change, ok := r.Remove(now, "e"); ok {
					changes = append(changes, change)
				}
				return nil
			})
			if len(changes) != 1 || changes[0].State != c.want {
				t.Errorf("%s: %v, want %s", name, changes, c.want)
			}
		})
	}
}
