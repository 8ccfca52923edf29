package peers

import (
	"slices"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
)

var start = time.Unix(1_800_000_000, 0)

func compose(t *testing.T, e *Exchange, now time.Time) []byte {
	t.Helper()
	b, err := e.Compose(now, &wire.Statement{Loads: []*wire.Load{{Endpoint: 1, Running: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func receive(t *testing.T, e *Exchange, now time.Time, datagram []byte) bool {
	t.Helper()
	_, fresh, err := e.Receive(now, datagram)
	if err != nil {
		t.Fatal(err)
	}
	return fresh
}

// Guards against gateways that never find each other because only some are seeds.
func TestGatewaysFindEachOtherThroughASeed(t *testing.T) {
	all := map[string]*Exchange{}
	for _, name := range []string{"a", "b", "c", "d"} {
		all[name] = New(name, []string{"a"}, start)
	}
	now := start
	for range 10 {
		now = now.Add(200 * time.Millisecond)
		for _, from := range all {
			datagram := compose(t, from, now)
			for _, target := range from.Targets(now) {
				receive(t, all[target], now, datagram)
			}
		}
	}
	for name, e := range all {
		if e.Known(now) != 3 {
			t.Errorf("%s knows %d peers, want 3", name, e.Known(now))
		}
	}
}

// Guards against old loads that replace new ones when datagrams overtake each
// other, and against a restarted peer that is ignored for its low numbers.
func TestOldStatementsAreIgnored(t *testing.T) {
	sender, receiver := New("s", nil, start), New("r", nil, start)
	first, second := compose(t, sender, start), compose(t, sender, start)
	if !receive(t, receiver, start, second) {
		t.Fatal("a new statement was ignored")
	}
	if receive(t, receiver, start, first) || receive(t, receiver, start, second) {
		t.Fatal("an old statement was taken")
	}
	restarted := New("s", nil, start.Add(time.Second))
	if !receive(t, receiver, start, compose(t, restarted, start)) {
		t.Fatal("a restarted peer was ignored")
	}
	if receive(t, receiver, start, compose(t, sender, start)) {
		t.Fatal("a statement from before the restart was taken")
	}
}

// Guards against statements to peers that are gone, and against a seed that is
// given up for good.
func TestSilentPeersAreForgottenAndSeedsTriedAgain(t *testing.T) {
	e := New("r", []string{"seed"}, start)
	receive(t, e, start, compose(t, New("p", nil, start), start))
	if !slices.Contains(e.Targets(start), "p") {
		t.Fatal("a live peer is no target")
	}
	later := start.Add(forgetAfter)
	if targets := e.Targets(later); !slices.Equal(targets, []string{"seed"}) {
		t.Fatalf("targets %v, want the seed only", targets)
	}
	if targets := e.Targets(later.Add(seedEvery / 2)); len(targets) != 0 {
		t.Fatalf("targets %v within the pause between tries", targets)
	}
	if targets := e.Targets(later.Add(seedEvery)); !slices.Equal(targets, []string{"seed"}) {
		t.Fatalf("targets %v, want the seed again", targets)
	}
}

// Guards against control traffic that grows with the square of the gateways.
func TestIntervalGrowsWithThePeers(t *testing.T) {
	e := New("r", nil, start)
	for i := range 100 {
		receive(t, e, start, compose(t, New(string(rune('A'+i)), nil, start), start))
	}
	perSecond := 100 / e.Interval(start).Seconds()
	if perSecond > 100 {
		t.Fatalf("%.0f datagrams a second with 100 peers, want at most 100", perSecond)
	}
}

// Guards against noise on the port.
func TestNoiseIsRefused(t *testing.T) {
	e := New("r", nil, start)
	if _, fresh, err := e.Receive(start, []byte("\xff\xff noise")); err == nil || fresh {
		t.Fatalf("fresh %v, error %v", fresh, err)
	}
	if receive(t, e, start, compose(t, New("r", nil, start), start)) {
		t.Fatal("the own statement was taken")
	}
}
