package catalog

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// PollInterval is the time between reads of the version in force. Each
	// interval varies by PollJitter, so that processes started together spread.
	PollInterval = 4 * time.Second
	// PollJitter is the largest deviation from PollInterval. Interval, jitter and
	// the timeouts of store and peer together stay below FreshFor.
	PollJitter = 500 * time.Millisecond
	// StartPeers is the number of peers asked at start while the store is down.
	StartPeers = 8

	// retryInterval applies while a known higher version has not been obtained,
	// and before the first answer.
	retryInterval = time.Second
	// confirmPeers are asked while the store is down, so that the version in
	// effect stays confirmed even if one of them has gone.
	confirmPeers = 2
	// targetTries bounds the faster reads for one higher version, so that a peer
	// with a version that nobody else has cannot cause them forever.
	targetTries = 10
	// forcedInterval bounds the reads that stale requests cause.
	forcedInterval = 250 * time.Millisecond
)

// Source is who is asked for the catalog.
type Source int

// Sources of the catalog.
const (
	FromStore Source = iota + 1
	FromPeer
)

// String returns the source as metrics name it.
func (s Source) String() string {
	if s == FromStore {
		return "store"
	}
	return "peer"
}

// Ask is a question to be sent now. Each one ends with one call of Answered.
type Ask struct {
	Source Source
	// Peer is set with FromPeer.
	Peer string
	// Sent is when the question was issued.
	Sent time.Time
}

// Answer is the end of an Ask.
type Answer struct {
	Ask Ask
	// Version is the version that the source knows.
	Version uint64
	// Failed states that no answer arrived or that it was not usable.
	Failed bool
}

// Verdict is what to do with an answer.
type Verdict struct {
	// Adopt states that the answer's document is to be put into effect.
	Adopt bool
	// Confirm states that the answer confirms the version in effect.
	Confirm bool
}

// Distribution decides when this process reads the catalog and from whom. It
// is a state machine without time or I/O of its own; it is not safe for
// concurrent use.
type Distribution struct {
	rand *rand.Rand

	nextPoll     time.Time
	lastPoll     time.Time
	storePending bool
	storeFailing bool
	peersPending int
	// askPeers states that peers are to be asked at the next call of Next.
	askPeers bool

	// target is the highest version seen on messages, named by targetPeer.
	target      uint64
	targetPeer  string
	targetTries int

	answered bool
}

// NewDistribution returns a Distribution whose first poll is due at once.
func NewDistribution(seed uint64) *Distribution {
	return &Distribution{rand: rand.New(rand.NewPCG(seed, seed))}
}

// Ready reports whether the store or one peer has answered.
func (d *Distribution) Ready() bool { return d.answered }

// Wake returns when Next is to be called at the latest.
func (d *Distribution) Wake() time.Time { return d.nextPoll }

// Poll makes the next read of the store due at once, or 250 ms after the one
// before.
func (d *Distribution) Poll(now time.Time) {
	due := d.lastPoll.Add(forcedInterval)
	if due.Before(now) {
		due = now
	}
	d.nextPoll = earlier(d.nextPoll, due)
}

// Seen reports the version on a message of a peer. A version above have leads
// to a read of the store and, if that fails or lags, of this peer.
func (d *Distribution) Seen(now time.Time, have, version uint64, peer string) {
	if version <= have || version <= d.target {
		return
	}
	d.target = version
	d.targetPeer = peer
	d.targetTries = 0
	d.nextPoll = now
}

// Next returns the questions to send now. The version in effect is have; peers
// are the processes that may be asked.
func (d *Distribution) Next(now time.Time, have uint64, peers []string) []Ask {
	var asks []Ask
	if !d.storePending && !now.Before(d.nextPoll) {
		d.storePending = true
		d.lastPoll = now
		d.nextPoll = now.Add(d.interval(have))
		asks = append(asks, Ask{Source: FromStore, Sent: now})
		// While the store fails, waiting for its timeout would cost the time in
		// which a peer can confirm.
		d.askPeers = d.askPeers || d.storeFailing
	}
	if !d.askPeers || d.peersPending > 0 {
		return asks
	}
	d.askPeers = false
	for _, peer := range d.choose(have, peers) {
		d.peersPending++
		asks = append(asks, Ask{Source: FromPeer, Peer: peer, Sent: now})
	}
	return asks
}

func (d *Distribution) interval(have uint64) time.Duration {
	if !d.answered {
		return retryInterval
	}
	if d.behind(have) {
		d.targetTries++
		return retryInterval
	}
	return PollInterval + time.Duration(d.rand.Int64N(int64(2*PollJitter))) - PollJitter
}

// behind reports whether a version above have is known to exist.
func (d *Distribution) behind(have uint64) bool {
	return d.target > have && d.targetTries < targetTries
}

// choose picks the peer that has the higher version, then others at random.
func (d *Distribution) choose(have uint64, peers []string) []string {
	count := confirmPeers
	if !d.answered {
		count = StartPeers
	}
	var chosen []string
	if d.behind(have) {
		chosen = append(chosen, d.targetPeer)
	}
	for _, i := range d.rand.Perm(len(peers)) {
		if len(chosen) < count && !slices.Contains(chosen, peers[i]) {
			chosen = append(chosen, peers[i])
		}
	}
	return chosen
}

// Answered reports the end of a question and says what its answer is good for.
// The version in effect is have. A version below it comes from a lagging read
// of the store, which proves nothing about the version in force, or from a peer
// that is behind.
func (d *Distribution) Answered(now time.Time, have uint64, a Answer) Verdict {
	if a.Ask.Source == FromStore {
		return d.storeAnswered(now, have, a)
	}
	d.peersPending--
	if a.Failed {
		return Verdict{}
	}
	d.answered = true
	return Verdict{Adopt: a.Version > have, Confirm: a.Version <= have && !d.behind(have)}
}

func (d *Distribution) storeAnswered(now time.Time, have uint64, a Answer) Verdict {
	d.storePending = false
	wasFailing := d.storeFailing
	d.storeFailing = a.Failed
	if a.Failed {
		// A failing store's peers were asked together with it.
		d.askPeers = d.askPeers || !wasFailing
		return Verdict{}
	}
	d.answered = true
	if a.Version < have {
		d.nextPoll = earlier(d.nextPoll, now.Add(retryInterval))
		return Verdict{}
	}
	if a.Version < d.target && d.behind(have) {
		d.askPeers = true
		d.nextPoll = earlier(d.nextPoll, now.Add(retryInterval))
	}
	return Verdict{Adopt: a.Version > have, Confirm: a.Version == have && !d.behind(have)}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
