package catalog

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// PollInterval is the mean time between reads of the version in force from the
	// store. Each interval varies randomly by up to PollJitter, so that processes
	// that were started together do not poll together.
	PollInterval = 4 * time.Second
	// PollJitter is the largest deviation from PollInterval. Interval, jitter and
	// the timeouts of the store and a peer together must stay below FreshFor.
	PollJitter = 500 * time.Millisecond
	// StartupPeerCount is the number of peers queried when a process starts while the
	// store is down.
	StartupPeerCount = 8

	// retryInterval replaces PollInterval before the first response, while a known
	// higher version has not been obtained, and after a lagging read of the store.
	retryInterval = time.Second
	// confirmPeerCount is the number of peers queried per poll while the store is
	// down. With two, one of them may be gone and the version in effect is still
	// confirmed.
	confirmPeerCount = 2
	// maxTargetAttempts is the number of faster polls for one higher version. Without
	// it, a peer that reports a version which no other process has would cause them
	// forever.
	maxTargetAttempts = 10
	// minForcedPollInterval is the shortest time between two polls when requests
	// that find the catalog stale force them.
	minForcedPollInterval = 250 * time.Millisecond
)

// Source is where the catalog is read from.
type Source int

// The catalog is read from the store or, as a fallback, from a peer.
const (
	FromStore Source = iota + 1
	FromPeer
)

// String returns the label value of the source in metrics.
func (s Source) String() string {
	if s == FromStore {
		return "store"
	}
	return "peer"
}

// Query is a request for the version in force that the caller has to send now. Its
// outcome must be passed back to the state machine exactly once.
type Query struct {
	Source Source
	// Peer is the address of the peer if Source is FromPeer.
	Peer string
	// Sent is when the request was issued, not later than it was sent.
	Sent time.Time
}

// QueryResult is the outcome of a request to a source.
type QueryResult struct {
	Query Query
	// Version is the version that the source reported; 0 if it has no catalog.
	Version uint64
	// Failed means that there was no response or that it was not usable.
	Failed bool
}

// Decision is what to do with the response of a source.
type Decision struct {
	// Adopt means that the document in the response is to be put into effect.
	Adopt bool
	// Confirm means that the response confirms the version in effect.
	Confirm bool
}

// UpdateScheduler decides when this process reads the catalog and from which source.
// It is a state machine without I/O or a clock: the caller passes in the time,
// sends the requests and serializes all method calls.
type UpdateScheduler struct {
	rand *rand.Rand

	nextPoll     time.Time
	lastPoll     time.Time
	storePending bool
	storeFailing bool
	peersPending int
	// queryPeers is set when the next call of Next has to return requests to peers.
	queryPeers bool

	// targetVersion is the highest version seen in messages of peers and targetPeer
	// the peer that reported it. targetAttempts counts the faster polls for it.
	targetVersion  uint64
	targetPeer     string
	targetAttempts int

	// anySourceResponded is set by the first response from the store or a peer.
	anySourceResponded bool
}

// NewUpdateScheduler returns a state machine whose first poll is due at once. The seed
// determines the jitter and the choice of peers.
func NewUpdateScheduler(seed uint64) *UpdateScheduler {
	return &UpdateScheduler{rand: rand.New(rand.NewPCG(seed, seed))}
}

// Ready reports whether the store or a peer has responded at least once.
func (s *UpdateScheduler) Ready() bool { return s.anySourceResponded }

// NextAt returns the time by which Next has to be called again.
func (s *UpdateScheduler) NextAt() time.Time { return s.nextPoll }

// Poll makes the next read of the store due at once, but not sooner than 250 ms
// after the previous one.
func (s *UpdateScheduler) Poll(now time.Time) {
	due := s.lastPoll.Add(minForcedPollInterval)
	if due.Before(now) {
		due = now
	}
	s.nextPoll = earlier(s.nextPoll, due)
}

// VersionSeen takes the catalog version that a message from a peer carries. A version
// above have, the version in effect, triggers a read of the store and, if that
// fails or returns an older version, of this peer. A version that none of the faster polls
// has found hides no lower one.
func (s *UpdateScheduler) VersionSeen(now time.Time, have, version uint64, peer string) {
	if version <= have || version == s.targetVersion || version < s.targetVersion && s.behind(have) {
		return
	}
	s.targetVersion = version
	s.targetPeer = peer
	s.targetAttempts = 0
	s.nextPoll = now
}

// Next returns the requests to send now. The version in effect is have; peers are
// the processes that may be queried.
func (s *UpdateScheduler) Next(now time.Time, have uint64, peers []string) []Query {
	var queries []Query
	if !s.storePending && !now.Before(s.nextPoll) {
		s.storePending = true
		s.lastPoll = now
		s.nextPoll = now.Add(s.pollDelay(have))
		queries = append(queries, Query{Source: FromStore, Sent: now})
		// While the store is failing, query peers at the same time. Waiting for the
		// store to time out first would use up the time in which a peer can confirm
		// the version in effect.
		s.queryPeers = s.queryPeers || s.storeFailing
	}
	if !s.queryPeers || s.peersPending > 0 {
		return queries
	}
	s.queryPeers = false
	for _, peer := range s.choosePeers(have, peers) {
		s.peersPending++
		queries = append(queries, Query{Source: FromPeer, Peer: peer, Sent: now})
	}
	return queries
}

func (s *UpdateScheduler) pollDelay(have uint64) time.Duration {
	if !s.anySourceResponded {
		return retryInterval
	}
	if s.behind(have) {
		s.targetAttempts++
		return retryInterval
	}
	return PollInterval + time.Duration(s.rand.Int64N(int64(2*PollJitter))) - PollJitter
}

// behind reports whether a peer reported a version above have for which the faster
// polls are not used up.
func (s *UpdateScheduler) behind(have uint64) bool {
	return s.targetVersion > have && s.targetAttempts < maxTargetAttempts
}

// choosePeers returns the peers to query: first the one that reported a higher
// version, if any, then others at random.
func (s *UpdateScheduler) choosePeers(have uint64, peers []string) []string {
	count := confirmPeerCount
	if !s.anySourceResponded {
		count = StartupPeerCount
	}
	var chosen []string
	if s.behind(have) {
		chosen = append(chosen, s.targetPeer)
	}
	for _, i := range s.rand.Perm(len(peers)) {
		if len(chosen) < count && !slices.Contains(chosen, peers[i]) {
			chosen = append(chosen, peers[i])
		}
	}
	return chosen
}

// HandleResult takes the outcome of a request and returns what to do with the response.
// The version in effect is have. A lower version comes from a lagging read of the
// store, which proves nothing about the version in force, or from a peer that is
// behind.
func (s *UpdateScheduler) HandleResult(now time.Time, have uint64, r QueryResult) Decision {
	if r.Query.Source == FromStore {
		return s.handleStoreResult(now, have, r)
	}
	s.peersPending--
	if r.Failed {
		return Decision{}
	}
	s.anySourceResponded = true
	return Decision{Adopt: r.Version > have, Confirm: r.Version <= have && !s.behind(have)}
}

func (s *UpdateScheduler) handleStoreResult(now time.Time, have uint64, r QueryResult) Decision {
	s.storePending = false
	wasFailing := s.storeFailing
	s.storeFailing = r.Failed
	if r.Failed {
		// If the store was already failing, peers were queried together with it.
		s.queryPeers = s.queryPeers || !wasFailing
		return Decision{}
	}
	s.anySourceResponded = true
	if r.Version < have {
		s.nextPoll = earlier(s.nextPoll, now.Add(retryInterval))
		return Decision{}
	}
	if r.Version < s.targetVersion && s.behind(have) {
		s.queryPeers = true
		s.nextPoll = earlier(s.nextPoll, now.Add(retryInterval))
	}
	return Decision{Adopt: r.Version > have, Confirm: r.Version == have && !s.behind(have)}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
