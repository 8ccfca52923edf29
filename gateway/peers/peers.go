// Package peers implements the exchange of state between gateways, such as the loads
// that each has put on the endpoints. Every gateway sends small datagrams, called
// statements, to all peers that it knows; the next one makes up for a lost one.
// Gateways discover each other through a few seeds and by the addresses of other peers
// named in each statement.
//
// An Exchange has no socket and no goroutine; the time is a parameter. It is not safe
// for concurrent use.
package peers

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
)

const (
	// minPeerTimeout is the time without a statement after which a peer counts as gone,
	// or missedStatements intervals if that is longer.
	minPeerTimeout   = 5 * time.Second
	missedStatements = 4
	// seedRetryInterval is how often a statement is sent to a seed, or to a peer named
	// by another one, that has not sent a statement.
	seedRetryInterval = time.Second
	// minInterval is the least time between two regular statements to the same peer. Ten
	// gateways on a small VM then use less than 1% of a core.
	minInterval = 60 * time.Millisecond
	// minEarlyInterval and earlyIntervalPerPeer determine the least time before an early
	// statement: a burst of a few hundred milliseconds is stated while it lasts.
	minEarlyInterval     = 15 * time.Millisecond
	earlyIntervalPerPeer = 2 * time.Millisecond
	// intervalPerPeer keeps the regular datagrams of one gateway at about 80 a second in
	// each direction, however many peers there are.
	intervalPerPeer = 12 * time.Millisecond
	// maxPeers bounds the known peers; further ones are ignored.
	maxPeers = 512
	// newPeerTime is how long a peer is named in each statement after its first
	// own statement. After that it is named in rotation, for gateways that missed it.
	newPeerTime = 3 * time.Second
	// maxNewNamed and knownNamed bound the new and the other peers named in one
	// statement. Addresses take most of a statement's bytes where all gateways know
	// each other.
	maxNewNamed = 32
	knownNamed  = 4
	// isolationGrace is the time after the start in which a gateway that hears no peer does
	// not count as isolated yet: the regular interval of the largest site.
	isolationGrace = 5 * time.Second
	// lostPeersMemory is how long a gateway remembers how many peers it had. Until then it
	// counts as isolated if it has lost more than half of them.
	lostPeersMemory = 5 * time.Minute
	// MaxDatagram is the largest encoded statement in bytes; a larger one is not sent.
	MaxDatagram = 32 << 10
)

// Exchange is the state of one gateway's exchange with its peers.
type Exchange struct {
	// self is the gateway's own address.
	self string
	// incarnation is the gateway's start time in Unix microseconds, and startedAt the same
	// as a time.
	incarnation uint64
	startedAt   time.Time
	// sequence is the number of the last statement within the incarnation.
	sequence uint64
	// sentAt is when the last statement was composed.
	sentAt time.Time
	seeds  []string
	peers  map[string]*peer
	// rotation counts the statements, to name other peers in each.
	rotation int
	// mostAlive is the largest number of alive peers of the last lostPeersMemory, and
	// mostAliveAt when it was last reached.
	mostAlive   int
	mostAliveAt time.Time
}

type peer struct {
	// statementAt is when its last statement was received; zero for a seed or a peer named
	// by another one that has not sent one.
	statementAt time.Time
	// aliveSince is when its first statement was received, or the first one after it
	// counted as gone.
	aliveSince time.Time
	// triedAt is when a statement was last sent to it although it was not alive.
	triedAt time.Time
	// incarnation and sequence are those of its last statement.
	incarnation uint64
	sequence    uint64
}

// New returns an Exchange for the gateway at address self. Seeds are addresses of
// gateways; self is left out.
func New(self string, seeds []string, started time.Time) *Exchange {
	e := &Exchange{self: self, incarnation: uint64(started.UnixMicro()), startedAt: started, peers: make(map[string]*peer)}
	for _, s := range seeds {
		if s != self {
			e.seeds = append(e.seeds, s)
		}
	}
	return e
}

// AliveCount returns the number of peers with a statement within PeerTimeout.
func (e *Exchange) AliveCount(now time.Time) int {
	n := 0
	for _, p := range e.peers {
		if e.isAlive(now, p) {
			n++
		}
	}
	return n
}

// Isolated reports whether the gateway hears from less than half of the peers that it had
// lately, or from none although it has seeds. It may be cut off from them.
func (e *Exchange) Isolated(now time.Time) bool {
	alive := e.AliveCount(now)
	if alive >= e.mostAlive || now.Sub(e.mostAliveAt) > lostPeersMemory {
		e.mostAlive, e.mostAliveAt = alive, now
	}
	return 2*alive < e.mostAlive || alive == 0 && len(e.seeds) > 0 && now.Sub(e.startedAt) > isolationGrace
}

// Alive returns the sorted addresses of the peers with a statement within
// PeerTimeout.
func (e *Exchange) Alive(now time.Time) []string {
	var alive []string
	for address, p := range e.peers {
		if e.isAlive(now, p) {
			alive = append(alive, address)
		}
	}
	slices.Sort(alive)
	return alive
}

func (e *Exchange) isAlive(now time.Time, p *peer) bool {
	return !p.statementAt.IsZero() && now.Sub(p.statementAt) < e.PeerTimeout()
}

// PeerTimeout is the time without a statement after which a peer counts as gone.
func (e *Exchange) PeerTimeout() time.Duration {
	interval := time.Duration(len(e.peers)) * intervalPerPeer
	return max(minPeerTimeout, missedStatements*interval)
}

// Due reports whether a statement is to be sent now, and otherwise the time after which
// to ask again. It is due early if early is set: the gateway has something to state
// that the peers should know soon.
func (e *Exchange) Due(now time.Time, early bool) (bool, time.Duration) {
	since := now.Sub(e.sentAt)
	earlyInterval := max(minEarlyInterval, time.Duration(e.AliveCount(now))*earlyIntervalPerPeer)
	if since >= e.Interval(now) || early && since >= earlyInterval {
		return true, 0
	}
	return false, max(earlyInterval-since, minEarlyInterval)
}

// Interval is the time between regular statements, those that are not sent early.
func (e *Exchange) Interval(now time.Time) time.Duration {
	return max(minInterval, time.Duration(e.AliveCount(now))*intervalPerPeer)
}

// Targets returns the sorted addresses to send the next statement to. It forgets peers
// that are gone and records attempts to reach peers that are not alive.
func (e *Exchange) Targets(now time.Time) []string {
	var targets []string
	for address, p := range e.peers {
		switch {
		case e.isAlive(now, p):
			targets = append(targets, address)
		case !p.statementAt.IsZero():
			delete(e.peers, address)
		}
	}
	for _, s := range e.seeds {
		if e.peers[s] == nil {
			e.peers[s] = &peer{}
		}
	}
	for address, p := range e.peers {
		if e.isAlive(now, p) || now.Sub(p.triedAt) < seedRetryInterval {
			continue
		}
		p.triedAt = now
		targets = append(targets, address)
	}
	slices.Sort(targets)
	return targets
}

// Compose adds the sender, its incarnation, the sequence number and the named peers to
// the next statement and returns it encoded as a datagram. A statement that is larger
// than MaxDatagram yields an error.
func (e *Exchange) Compose(now time.Time, s *wire.Statement) ([]byte, error) {
	e.sequence++
	e.sentAt = now
	s.Sender = e.self
	s.Incarnation = e.incarnation
	s.Sequence = e.sequence
	s.Peers = e.peersToName(now)
	b, err := proto.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode statement: %w", err)
	}
	if len(b) > MaxDatagram {
		return nil, fmt.Errorf("statement of %d bytes exceeds %d", len(b), MaxDatagram)
	}
	return b, nil
}

// peersToName returns the new peers and a few others for the next statement;
// successive statements name all.
func (e *Exchange) peersToName(now time.Time) []string {
	var fresh, known []string
	for address, p := range e.peers {
		switch {
		case !e.isAlive(now, p):
		case now.Sub(p.aliveSince) < newPeerTime:
			fresh = append(fresh, address)
		default:
			known = append(known, address)
		}
	}
	fresh = e.rotate(fresh, maxNewNamed)
	known = e.rotate(known, knownNamed)
	e.rotation++
	return append(fresh, known...)
}

// rotate returns up to n of the addresses, others with each statement.
func (e *Exchange) rotate(addresses []string, n int) []string {
	slices.Sort(addresses)
	if len(addresses) <= n {
		return addresses
	}
	start := e.rotation * n % len(addresses)
	return slices.Concat(addresses[start:], addresses[:start])[:n]
}

// Receive decodes a datagram and records its sender and the peers that it names. It
// returns false for a statement that is not newer than the last one of the sender, for
// one without a sender, for the gateway's own, and for one of a further sender when
// maxPeers are known. A datagram that cannot be decoded yields an error.
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
	if !e.isAlive(now, p) {
		p.aliveSince = now
	}
	p.incarnation, p.sequence, p.statementAt = s.Incarnation, s.Sequence, now
	for _, address := range s.Peers {
		if address != e.self && e.peers[address] == nil && len(e.peers) < maxPeers {
			e.peers[address] = &peer{}
		}
	}
	return &s, true, nil
}
