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
type tally struct {
	offered, admitted int64
	// parts is the number of demands in the sum.
	parts int
}

// classDemands holds the demands of one class.
type classDemands struct {
	own map[string]*accountCount
	// stated are the sums over all peers by account.
	stated map[string]*tally
	level  classLevel
}

// peerDemands is what a peer last stated.
type peerDemands struct {
	at    time.Time
	parts []statedPart
}

// statedPart is what one demand of a peer added to a sum. It refers to the sum, so that
// replacing the statement of a peer costs no look-up for its previous one.
type statedPart struct {
	class   *classDemands
	account string
	sum     *tally
	added   tally
}

// demandTable holds the demands of accounts here and at peers.
type demandTable struct {
	classes map[RequestClass]*classDemands
	peers   map[string]*peerDemands
}

func newDemandTable() demandTable {
	return demandTable{classes: make(map[RequestClass]*classDemands), peers: make(map[string]*peerDemands)}
}

// class returns the demands of a class; nil if there are too many classes.
func (t *demandTable) class(k RequestClass) *classDemands {
	c := t.classes[k]
	if c == nil && len(t.classes) < maxDemandClasses {
		c = &classDemands{own: make(map[string]*accountCount), stated: make(map[string]*tally)}
		t.classes[k] = c
	}
	return c
}

// statedOf returns what all peers stated of an account.
func (c *classDemands) statedOf(account string) tally {
	if sum := c.stated[account]; sum != nil {
		return *sum
	}
	return tally{}
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
	p := t.peers[peer]
	switch {
	case len(demands) == 0:
		t.dropPeer(peer)
		return
	case p == nil && len(t.peers) >= maxDemandPeers:
		return
	case p == nil:
		p = &peerDemands{}
		t.peers[peer] = p
	}
	p.at = now
	var buffer [maxStatedDemands]statedPart
	previous := buffer[:copy(buffer[:], p.parts)]
	p.parts = p.parts[:0]
	var k RequestClass
	var c *classDemands
	for _, d := range demands[:min(len(demands), maxStatedDemands)] {
		if c == nil || d.Class != k {
			k, c = d.Class, t.class(d.Class)
		}
		if c != nil {
			p.parts = append(p.parts, c.addStated(d))
		}
	}
	subtractStated(previous)
}

// boundedCount returns a stated count within what a sum can hold; zero for NaN.
func boundedCount(n float64) float64 {
	if !(n > 0) {
		return 0
	}
	return min(n, maxStatedCount)
}

func (t *demandTable) dropPeer(peer string) {
	if p := t.peers[peer]; p != nil {
		subtractStated(p.parts)
		delete(t.peers, peer)
	}
}

// addStated adds a stated demand to the sum of its account.
func (c *classDemands) addStated(d Demand) statedPart {
	sum := c.stated[d.Account]
	if sum == nil {
		sum = &tally{}
		c.stated[d.Account] = sum
	}
	offered := boundedCount(d.Offered)
	added := tally{offered: int64(offered * tallyUnit), admitted: int64(min(boundedCount(d.Admitted), offered) * tallyUnit)}
	sum.offered += added.offered
	sum.admitted += added.admitted
	sum.parts++
	return statedPart{class: c, account: d.Account, sum: sum, added: added}
}

// subtractStated subtracts what a peer stated earlier, and drops sums without any part.
func subtractStated(parts []statedPart) {
	for _, x := range parts {
		x.sum.offered -= x.added.offered
		x.sum.admitted -= x.added.admitted
		x.sum.parts--
		if x.sum.parts == 0 {
			delete(x.class.stated, x.account)
		}
	}
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
