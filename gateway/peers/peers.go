// Package peers lets gateways tell each other what they have sent where. Each
// sends small datagrams to all others that it knows; a lost one is replaced by
// the next. Gateways find each other through a few seeds and pass on whom they
// have heard of.
//
// An Exchange keeps no socket and no goroutine; the time is a parameter. It is
// not safe for concurrent use.
package peers

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
)

const (
	// forgetAfter is the silence after which a peer counts as gone, or
	// missedStatements intervals if that is longer.
	forgetAfter      = 5 * time.Second
	missedStatements = 4
	// seedEvery is how often a silent seed, or a peer that another one named, is
	// tried.
	seedEvery = time.Second
	// minInterval between two statements to the same peer without news. Ten routers
	// of a small VM then spend less than 1% of a core.
	minInterval = 60 * time.Millisecond
	// minNewsInterval and newsIntervalPerPeer apply while there are news: with them
	// a burst of some hundred milliseconds is told while it lasts.
	minNewsInterval     = 15 * time.Millisecond
	newsIntervalPerPeer = 2 * time.Millisecond
	// intervalPerPeer keeps the datagrams of one gateway without news at about 80 a
	// second in each direction, however many peers there are.
	intervalPerPeer = 12 * time.Millisecond
	// maxPeers bounds the peers; later ones are ignored.
	maxPeers = 512
	// newPeerTime is how long a peer is named in each statement after it was first
	// heard. Later it is named in turn, for gateways that missed it.
	newPeerTime = 3 * time.Second
	// maxNewNamed and knownNamed bound the new and the other peers named in one
	// statement. Names are most of a statement's bytes where all know each other.
	maxNewNamed = 32
	knownNamed  = 4
	// MaxDatagram bounds a statement in bytes; a larger one is not sent.
	MaxDatagram = 16 << 10
)

// Exchange is the state of one gateway's exchange with its peers.
type Exchange struct {
	self        string
	incarnation uint64
	sequence    uint64
	// sentAt is when the last statement was composed.
	sentAt time.Time
	seeds  []string
	peers  map[string]*peer
	// turns counts the statements, for the peers that are named in turn.
	turns int
}

type peer struct {
	// heardAt is zero for a peer that was only named by another one.
	heardAt time.Time
	// since is when it was first heard.
	since       time.Time
	triedAt     time.Time
	incarnation uint64
	sequence    uint64
}

// New returns an Exchange for the gateway at address self. Seeds are addresses
// of other gateways; the own one is left out.
func New(self string, seeds []string, started time.Time) *Exchange {
	e := &Exchange{self: self, incarnation: uint64(started.UnixMicro()), peers: make(map[string]*peer)}
	for _, s := range seeds {
		if s != self {
			e.seeds = append(e.seeds, s)
		}
	}
	return e
}

// Known returns the number of peers that were heard recently.
func (e *Exchange) Known(now time.Time) int {
	n := 0
	for _, p := range e.peers {
		if e.alive(now, p) {
			n++
		}
	}
	return n
}

// Alive returns the addresses of the peers that were heard recently.
func (e *Exchange) Alive(now time.Time) []string {
	var alive []string
	for address, p := range e.peers {
		if e.alive(now, p) {
			alive = append(alive, address)
		}
	}
	slices.Sort(alive)
	return alive
}

func (e *Exchange) alive(now time.Time, p *peer) bool {
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) < e.Silence()
}

// Silence is the time after which a peer counts as gone.
func (e *Exchange) Silence() time.Duration {
	interval := time.Duration(len(e.peers)) * intervalPerPeer
	return max(forgetAfter, missedStatements*interval)
}

// Due reports whether a statement is to be sent now, and otherwise after which time
// to ask again. News are what the peers should know soon.
func (e *Exchange) Due(now time.Time, news bool) (bool, time.Duration) {
	since := now.Sub(e.sentAt)
	soon := max(minNewsInterval, time.Duration(e.Known(now))*newsIntervalPerPeer)
	if since >= e.Interval(now) || news && since >= soon {
		return true, 0
	}
	return false, max(soon-since, minNewsInterval)
}

// Interval is the time between statements without news.
func (e *Exchange) Interval(now time.Time) time.Duration {
	return max(minInterval, time.Duration(e.Known(now))*intervalPerPeer)
}

// Targets returns the addresses for the next statement and notes the attempt.
func (e *Exchange) Targets(now time.Time) []string {
	var targets []string
	for address, p := range e.peers {
		switch {
		case e.alive(now, p):
			targets = append(targets, address)
		case !p.heardAt.IsZero():
			delete(e.peers, address)
		}
	}
	for _, s := range e.seeds {
		if e.peers[s] == nil {
			e.peers[s] = &peer{}
		}
	}
	for address, p := range e.peers {
		if e.alive(now, p) || now.Sub(p.triedAt) < seedEvery {
			continue
		}
		p.triedAt = now
		targets = append(targets, address)
	}
	slices.Sort(targets)
	return targets
}

// Compose completes the next statement with what tells it apart from others and
// returns it as a datagram.
func (e *Exchange) Compose(now time.Time, s *wire.Statement) ([]byte, error) {
	e.sequence++
	e.sentAt = now
	s.Sender = e.self
	s.Incarnation = e.incarnation
	s.Sequence = e.sequence
	s.Peers = e.named(now)
	b, err := proto.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode statement: %w", err)
	}
	if len(b) > MaxDatagram {
		return nil, fmt.Errorf("statement of %d bytes exceeds %d", len(b), MaxDatagram)
	}
	return b, nil
}

// named returns the peers that are new and a few others; successive statements
// name all.
func (e *Exchange) named(now time.Time) []string {
	var fresh, known []string
	for address, p := range e.peers {
		switch {
		case !e.alive(now, p):
		case now.Sub(p.since) < newPeerTime:
			fresh = append(fresh, address)
		default:
			known = append(known, address)
		}
	}
	fresh = e.turn(fresh, maxNewNamed)
	known = e.turn(known, knownNamed)
	e.turns++
	return append(fresh, known...)
}

// turn returns n of the addresses, others with each statement.
func (e *Exchange) turn(addresses []string, n int) []string {
	slices.Sort(addresses)
	if len(addresses) <= n {
		return addresses
	}
	start := e.turns * n % len(addresses)
	return slices.Concat(addresses[start:], addresses[:start])[:n]
}

// Receive decodes a datagram. It returns false for one that is older than what
// was received before, or the gateway's own.
func (e *Exchange) Receive(now time.Time, datagram []byte) (*wire.Statement, bool, error) {
	var s wire.Statement
	if err := proto.Unmarshal(datagram, &s); err != nil {
		return nil, false, fmt.Errorf("decode statement: %w", err)
	}
	if s.Sender == "" || s.Sender == e.self {
		return nil, false, nil
	}
	p := e.peers[s.Sender]
	if p == nil {
		if len(e.peers) >= maxPeers {
			return nil, false, nil
		}
		p = &peer{}
		e.peers[s.Sender] = p
	}
	old := s.Incarnation < p.incarnation || s.Incarnation == p.incarnation && s.Sequence <= p.sequence
	if old {
		return nil, false, nil
	}
	if !e.alive(now, p) {
		p.since = now
	}
	p.incarnation, p.sequence, p.heardAt = s.Incarnation, s.Sequence, now
	for _, address := range s.Peers {
		if address != e.self && e.peers[address] == nil && len(e.peers) < maxPeers {
			e.peers[address] = &peer{}
		}
	}
	return &s, true, nil
}
