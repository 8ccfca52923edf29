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
	// forgetAfter is the silence after which a peer counts as gone.
	forgetAfter = 5 * time.Second
	// seedEvery is how often a silent seed, or a peer that another one named, is
	// tried.
	seedEvery = time.Second
	// minInterval between two statements to the same peer. Ten routers of a
	// small VM then spend less than 1% of a core.
	minInterval = 60 * time.Millisecond
	// intervalPerPeer keeps the datagrams of one gateway at about 80 a second in
	// each direction, however many peers there are.
	intervalPerPeer = 12 * time.Millisecond
	// maxPeers bounds the peers; later ones are ignored.
	maxPeers = 512
	// maxNamedPeers bounds the peers named in one statement.
	maxNamedPeers = 32
	// MaxDatagram bounds a statement in bytes; a larger one is not sent.
	MaxDatagram = 16 << 10
)

// Exchange is the state of one gateway's exchange with its peers.
type Exchange struct {
	self        string
	incarnation uint64
	sequence    uint64
	seeds       []string
	peers       map[string]*peer
	nextNamed   int
}

type peer struct {
	// heardAt is zero for a peer that was only named by another one.
	heardAt     time.Time
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
		if p.alive(now) {
			n++
		}
	}
	return n
}

func (p *peer) alive(now time.Time) bool {
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) < forgetAfter
}

// Interval is the time until the next statement.
func (e *Exchange) Interval(now time.Time) time.Duration {
	return max(minInterval, time.Duration(e.Known(now))*intervalPerPeer)
}

// Targets returns the addresses for the next statement and notes the attempt.
func (e *Exchange) Targets(now time.Time) []string {
	var targets []string
	for address, p := range e.peers {
		switch {
		case p.alive(now):
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
		if p.alive(now) || now.Sub(p.triedAt) < seedEvery {
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

// named returns a part of the live peers; successive statements name all.
func (e *Exchange) named(now time.Time) []string {
	var alive []string
	for address, p := range e.peers {
		if p.alive(now) {
			alive = append(alive, address)
		}
	}
	slices.Sort(alive)
	if len(alive) <= maxNamedPeers {
		return alive
	}
	start := e.nextNamed % len(alive)
	e.nextNamed += maxNamedPeers
	return append(alive[start:], alive[:start]...)[:maxNamedPeers]
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
	p.incarnation, p.sequence, p.heardAt = s.Incarnation, s.Sequence, now
	for _, address := range s.Peers {
		if address != e.self && e.peers[address] == nil && len(e.peers) < maxPeers {
			e.peers[address] = &peer{}
		}
	}
	return &s, true, nil
}
