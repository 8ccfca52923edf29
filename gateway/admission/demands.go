package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxStatedDemands bounds the demands that one gateway states, and those that count of
	// one peer. 64 entries take about 4 KiB of a statement.
	maxStatedDemands = 64
	// maxDemandPeers bounds the peers whose demands count: more than twice the gateways
	// of the largest planned site.
	maxDemandPeers = 1024
	// maxDemandClasses and maxClassAccounts bound the classes whose demands are tracked and
	// the accounts of a class at this gateway. Requests beyond count for the class only.
	maxDemandClasses = 256
	maxClassAccounts = 2048
	// MinDemandAge is the least time after which the demands of a silent peer expire.
	MinDemandAge = 1500 * time.Millisecond
	// tallyUnit is the resolution of the sums of stated demands. Sums are integers, so that
	// replacing a peer's part leaves no rounding error behind.
	tallyUnit = 1000
	// maxStatedCount bounds a stated count, so that a faulty peer cannot make a sum overflow.
	maxStatedCount = 1e9
)

// Demand is how many requests of a class an account recently sent to one gateway, and for
// how many of them the class had room. Both decay with decayTime.
type Demand struct {
	Class             RequestClass
	Account           string
	Offered, Admitted float64
}

// accountCount holds the decaying counts of an account at this gateway as of the time at.
type accountCount struct {
	offered, admitted float64
	at                time.Time
}

func (c *accountCount) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(c.at)) / float64(decayTime))
	c.offered *= factor
	c.admitted *= factor
	c.at = now
}

// tally is a sum of stated counts in thousandths of a request.
type tally struct{ offered, admitted int64 }

// classDemands holds the demands of one class.
type classDemands struct {
	own map[string]*accountCount
	// stated are the sums over all peers by account.
	stated map[string]tally
	level  classLevel
}

// peerDemands is what a peer last stated.
type peerDemands struct {
	at      time.Time
	demands []Demand
}

// demandTable holds the demands of accounts here and at peers.
type demandTable struct {
	classes map[RequestClass]*classDemands
	peers   map[string]peerDemands
}

func newDemandTable() demandTable {
	return demandTable{classes: make(map[RequestClass]*classDemands), peers: make(map[string]peerDemands)}
}

// class returns the demands of a class; nil if there are too many classes.
func (t *demandTable) class(k RequestClass) *classDemands {
	c := t.classes[k]
	if c == nil && len(t.classes) < maxDemandClasses {
		c = &classDemands{own: make(map[string]*accountCount), stated: make(map[string]tally)}
		t.classes[k] = c
	}
	return c
}

// count counts a request of an account, for which the class had room or not.
func (c *classDemands) count(now time.Time, account string, room bool) {
	a := c.own[account]
	if a == nil {
		if len(c.own) >= maxClassAccounts {
			return
		}
		a = &accountCount{at: now}
		c.own[account] = a
	}
	a.decay(now)
	a.offered++
	if room {
		a.admitted++
	}
}

// replacePeer replaces what a peer stated.
func (t *demandTable) replacePeer(now time.Time, peer string, demands []Demand) {
	t.dropPeer(peer)
	if len(demands) == 0 || len(t.peers) >= maxDemandPeers {
		return
	}
	p := peerDemands{at: now}
	for _, d := range demands[:min(len(demands), maxStatedDemands)] {
		d.Offered = boundedCount(d.Offered)
		d.Admitted = min(boundedCount(d.Admitted), d.Offered)
		if c := t.class(d.Class); c != nil {
			c.addStated(d, 1)
			p.demands = append(p.demands, d)
		}
	}
	t.peers[peer] = p
}

// boundedCount returns a stated count within what a sum can hold; zero for NaN.
func boundedCount(n float64) float64 {
	if !(n > 0) {
		return 0
	}
	return min(n, maxStatedCount)
}

func (t *demandTable) dropPeer(peer string) {
	for _, d := range t.peers[peer].demands {
		if c := t.classes[d.Class]; c != nil {
			c.addStated(d, -1)
		}
	}
	delete(t.peers, peer)
}

// addStated adds a stated demand to the sums, or subtracts it if sign is -1.
func (c *classDemands) addStated(d Demand, sign int64) {
	sum := c.stated[d.Account]
	sum.offered += sign * int64(d.Offered*tallyUnit)
	sum.admitted += sign * int64(d.Admitted*tallyUnit)
	if sum == (tally{}) {
		delete(c.stated, d.Account)
		return
	}
	c.stated[d.Account] = sum
}

// expire drops the demands of peers that are older than maxAge, accounts without recent
// requests and classes without either.
func (t *demandTable) expire(now time.Time, maxAge time.Duration) {
	for peer, p := range t.peers {
		if now.Sub(p.at) > maxAge {
			t.dropPeer(peer)
		}
	}
	for k, c := range t.classes {
		for account, a := range c.own {
			a.decay(now)
			if a.offered < minCount {
				delete(c.own, account)
			}
		}
		if len(c.own) == 0 && len(c.stated) == 0 {
			delete(t.classes, k)
		}
	}
}

// short reports whether a request of the class recently found no room, here or at a peer.
func (c *classDemands) short(now time.Time) bool {
	refused := 0.0
	for _, a := range c.own {
		a.decay(now)
		refused += a.offered - a.admitted
	}
	for _, s := range c.stated {
		refused += float64(s.offered-s.admitted) / tallyUnit
	}
	return refused >= minCount
}

// largest returns the largest own demands of the classes that are short of capacity.
func (t *demandTable) largest(now time.Time) []Demand {
	var demands []Demand
	for k, c := range t.classes {
		if !c.short(now) {
			continue
		}
		for account, a := range c.own {
			if a.offered >= minCount {
				demands = append(demands, Demand{Class: k, Account: account, Offered: a.offered, Admitted: a.admitted})
			}
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(b.Offered, a.Offered) })
	return demands[:min(len(demands), maxStatedDemands)]
}
