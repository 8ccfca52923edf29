package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/storage"
)

// PeerFetcher requests the catalog of another process.
type PeerFetcher interface {
	// FetchCatalog returns the version in effect at the peer, 0 if it has none, and
	// the document as JSON if that version is higher than have.
	FetchCatalog(ctx context.Context, peer string, have uint64) (version uint64, body []byte, err error)
}

// Loader reads the catalog in force. Store implements it.
type Loader interface {
	// Load returns the version in force, 0 if there is none, and the document if that
	// version is higher than have.
	Load(ctx context.Context, have uint64) (uint64, *Catalog, error)
}

// UpdaterOptions configures an Updater, which keeps a Holder up to date. Store,
// Peers, PeerList and Holder are required.
type UpdaterOptions struct {
	Store  Loader
	Peers  PeerFetcher
	Holder *Holder
	// PeerList returns the addresses of the peers that may be queried, without this
	// process.
	PeerList func() []string
	// Seed determines the jitter of polls and the choice of peers. It should differ
	// between processes.
	Seed uint64
	// PeerTimeout bounds one request to a peer; zero means 1 s.
	PeerTimeout time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// OnAdopt, if set, is called with the source of each version that takes effect.
	// It must not block.
	OnAdopt func(Source)
}

const (
	defaultPeerTimeout = time.Second
	// timeoutGrace is added to the timeouts of the two table calls of a read, so that
	// a call that times out can report its own error.
	timeoutGrace = 500 * time.Millisecond
	// minPause is the shortest sleep of the loop in Serve. A poll that is due while
	// another is in flight has to wait for its response, which wakes the loop; without
	// this minimum the loop would spin until then.
	minPause = 500 * time.Millisecond
)

// Updater keeps the catalog in a Holder up to date: it sends the requests to the
// store and to peers that the state machine of this package issues.
type Updater struct {
	options UpdaterOptions
	wake    chan struct{}

	mu        sync.Mutex
	scheduler *UpdateScheduler
	// progress is closed and replaced after each response.
	progress chan struct{}
}

// NewUpdater returns an updater that sends no requests until Serve is called.
func NewUpdater(o UpdaterOptions) *Updater {
	if o.PeerTimeout == 0 {
		o.PeerTimeout = defaultPeerTimeout
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Updater{
		options:   o,
		wake:      make(chan struct{}, 1),
		scheduler: NewUpdateScheduler(o.Seed),
		progress:  make(chan struct{}),
	}
}

// Serve polls until ctx ends, then waits for the requests in flight and returns
// ctx.Err(). At most one request to the store and eight to peers are in flight at a
// time.
func (u *Updater) Serve(ctx context.Context) error {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		queries, pause := u.nextQueries()
		for _, query := range queries {
			open.Go(func() { u.runQuery(ctx, query) })
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-u.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (u *Updater) nextQueries() ([]Query, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.options.Now()
	queries := u.scheduler.Next(now, u.currentVersion(), u.options.PeerList())
	return queries, max(u.scheduler.NextAt().Sub(now), minPause)
}

func (u *Updater) currentVersion() uint64 {
	return u.options.Holder.Current().Version()
}

func (u *Updater) runQuery(ctx context.Context, query Query) {
	version, c, err := u.fetch(ctx, query)
	u.mu.Lock()
	defer u.mu.Unlock()
	decision := u.scheduler.HandleResult(u.options.Now(), u.currentVersion(), QueryResult{Query: query, Version: version, Failed: err != nil})
	if decision.Adopt && c != nil && u.options.Holder.Adopt(query.Sent, c) && u.options.OnAdopt != nil {
		u.options.OnAdopt(query.Source)
	}
	if decision.Confirm {
		u.options.Holder.Confirm(query.Sent, version)
	}
	close(u.progress)
	u.progress = make(chan struct{})
	u.wakeLoop()
}

func (u *Updater) fetch(ctx context.Context, query Query) (uint64, *Catalog, error) {
	have := u.currentVersion()
	if query.Source == FromStore {
		// Load makes two calls: one reads the version and one the document.
		ctx, cancel := context.WithTimeout(ctx, 2*storage.DefaultCallTimeout+timeoutGrace)
		defer cancel()
		return u.options.Store.Load(ctx, have)
	}
	ctx, cancel := context.WithTimeout(ctx, u.options.PeerTimeout)
	defer cancel()
	version, body, err := u.options.Peers.FetchCatalog(ctx, query.Peer, have)
	if err != nil || version <= have {
		return version, nil, err
	}
	c, err := DecodeStored(body)
	if err != nil {
		return 0, nil, err
	}
	return c.Version, c, nil
}

func (u *Updater) wakeLoop() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// VersionSeen takes the catalog version that a message from a peer carries. It does not
// block.
func (u *Updater) VersionSeen(version uint64, peer string) {
	if version <= u.currentVersion() {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.scheduler.VersionSeen(u.options.Now(), u.currentVersion(), version, peer)
	u.wakeLoop()
}

// Ready reports whether the store or a peer has responded and a catalog is in
// effect.
func (u *Updater) Ready() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.scheduler.Ready() && u.currentVersion() > 0
}

// Refresh waits until the version in effect is fresh. If it is not, for example
// because the process was paused, the store is read at once, and peers if that
// fails. If ctx ends first, the error has the code StaleCatalog.
func (u *Updater) Refresh(ctx context.Context) error {
	for polled := false; ; polled = true {
		u.mu.Lock()
		now := u.options.Now()
		if u.options.Holder.Fresh(now) {
			u.mu.Unlock()
			return nil
		}
		if !polled {
			u.scheduler.Poll(now)
			u.wakeLoop()
		}
		progress := u.progress
		u.mu.Unlock()
		select {
		case <-progress:
		case <-ctx.Done():
			return resultcode.Wrap(resultcode.StaleCatalog, ctx.Err(), "catalog version %d is not confirmed", u.currentVersion())
		}
	}
}
