package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/storage"
)

// PeerFetcher asks another process for its catalog.
type PeerFetcher interface {
	// FetchCatalog returns the version at the peer, and its document as JSON if
	// that version is above have.
	FetchCatalog(ctx context.Context, peer string, have uint64) (version uint64, body []byte, err error)
}

// Loader reads the version in force; Store is one.
type Loader interface {
	Load(ctx context.Context, have uint64) (uint64, *Catalog, error)
}

// DistributorOptions configures a Distributor. Store, Peers, PeerList and Holder
// are required.
type DistributorOptions struct {
	Store  Loader
	Peers  PeerFetcher
	Holder *Holder
	// PeerList returns the processes that may be asked, without this one.
	PeerList func() []string
	// Seed varies polls and the choice of peers between processes.
	Seed uint64
	// PeerTimeout bounds one question to a peer; zero means 1 s.
	PeerTimeout time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Adopted, if set, is told the source of each version that takes effect. It
	// must not block.
	Adopted func(Source)
}

const (
	defaultPeerTimeout = time.Second
	// answerGrace lets a call that ends by its own timeout report that error.
	answerGrace = 500 * time.Millisecond
	// A poll that is due while one is open waits for its answer, which wakes the
	// loop; this bound keeps the loop from spinning until then.
	minPause = 500 * time.Millisecond
)

// Distributor keeps a Holder up to date. It drives a Distribution.
type Distributor struct {
	o    DistributorOptions
	wake chan struct{}

	mu       sync.Mutex
	machine  *Distribution
	progress chan struct{}
}

// NewDistributor returns a Distributor that is idle until Serve is called.
func NewDistributor(o DistributorOptions) *Distributor {
	if o.PeerTimeout == 0 {
		o.PeerTimeout = defaultPeerTimeout
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Distributor{
		o:        o,
		wake:     make(chan struct{}, 1),
		machine:  NewDistribution(o.Seed),
		progress: make(chan struct{}),
	}
}

// Serve polls until ctx ends. It has at most one question to the store and
// StartPeers questions to peers open at a time, and waits for them at the end.
func (d *Distributor) Serve(ctx context.Context) error {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		asks, pause := d.next()
		for _, ask := range asks {
			open.Go(func() { d.ask(ctx, ask) })
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-d.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (d *Distributor) next() ([]Ask, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Now()
	asks := d.machine.Next(now, d.have(), d.o.PeerList())
	return asks, max(d.machine.Wake().Sub(now), minPause)
}

func (d *Distributor) have() uint64 {
	return d.o.Holder.Current().Version()
}

func (d *Distributor) ask(ctx context.Context, ask Ask) {
	version, c, err := d.fetch(ctx, ask)
	d.mu.Lock()
	defer d.mu.Unlock()
	verdict := d.machine.Answered(d.o.Now(), d.have(), Answer{Ask: ask, Version: version, Failed: err != nil})
	if verdict.Adopt && c != nil && d.o.Holder.Adopt(ask.Sent, c) && d.o.Adopted != nil {
		d.o.Adopted(ask.Source)
	}
	if verdict.Confirm {
		d.o.Holder.Confirm(ask.Sent, version)
	}
	close(d.progress)
	d.progress = make(chan struct{})
	d.signal()
}

func (d *Distributor) fetch(ctx context.Context, ask Ask) (uint64, *Catalog, error) {
	have := d.have()
	if ask.Source == FromStore {
		// One read of the version and one of the document.
		ctx, cancel := context.WithTimeout(ctx, 2*storage.DefaultCallTimeout+answerGrace)
		defer cancel()
		return d.o.Store.Load(ctx, have)
	}
	ctx, cancel := context.WithTimeout(ctx, d.o.PeerTimeout)
	defer cancel()
	version, body, err := d.o.Peers.FetchCatalog(ctx, ask.Peer, have)
	if err != nil || version <= have {
		return version, nil, err
	}
	c, err := DecodeStored(body)
	if err != nil {
		return 0, nil, err
	}
	return c.Version, c, nil
}

func (d *Distributor) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Seen reports the catalog version on a message of a peer. It does not block.
func (d *Distributor) Seen(version uint64, peer string) {
	if version <= d.have() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Seen(d.o.Now(), d.have(), version, peer)
	d.signal()
}

// Ready reports whether the store or a peer has answered and a catalog is in
// effect.
func (d *Distributor) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Ready() && d.have() > 0
}

// Refresh returns when the version in effect is fresh. If it is not, for example
// because the process was paused, the store is read at once, and peers if that
// fails. It returns StaleCatalog when ctx ends first.
func (d *Distributor) Refresh(ctx context.Context) error {
	for polled := false; ; polled = true {
		d.mu.Lock()
		now := d.o.Now()
		if d.o.Holder.Fresh(now) {
			d.mu.Unlock()
			return nil
		}
		if !polled {
			d.machine.Poll(now)
			d.signal()
		}
		progress := d.progress
		d.mu.Unlock()
		select {
		case <-progress:
		case <-ctx.Done():
			return resultcode.Wrap(resultcode.StaleCatalog, ctx.Err(), "catalog version %d is not confirmed", d.have())
		}
	}
}
