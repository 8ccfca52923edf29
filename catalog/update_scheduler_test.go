package catalog

import (
	"context"
	"errors"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/storage"
)

func catalogVersion(v uint64) *Catalog {
	c := sampleCatalog()
	c.Version = v
	return c
}

// Guards against a version that decreases, against a confirmation by the response to
// an old request or by one that names a higher version, and against a watcher that
// misses a version.
func TestHolder(t *testing.T) {
	h := NewHolder()
	if h.Fresh(start) {
		t.Fatal("fresh without a catalog")
	}
	changed := h.Changed()
	if !h.Adopt(start, catalogVersion(5)) || h.Adopt(start, catalogVersion(5)) || h.Adopt(start, catalogVersion(4)) {
		t.Fatal("adopted a version that is not higher")
	}
	select {
	case <-changed:
	default:
		t.Fatal("channel of Changed not closed by the adoption")
	}
	if !h.Fresh(start.Add(FreshFor)) || h.Fresh(start.Add(FreshFor+1)) {
		t.Fatal("wrong freshness after adoption")
	}
	h.Confirm(start.Add(time.Minute), 6)
	h.Confirm(start.Add(-time.Minute), 5)
	if h.Fresh(start.Add(FreshFor + 1)) {
		t.Fatal("a higher version or an old response confirmed the current one")
	}
	h.Confirm(start.Add(time.Minute), 5)
	if !h.Fresh(start.Add(time.Minute)) {
		t.Fatal("not confirmed")
	}
}

// Guards against a process that, started while the store is down, queries more peers
// than the limit, or is ready before one of them has responded.
func TestStartWhileTheStoreIsDown(t *testing.T) {
	s := NewUpdateScheduler(1)
	peers := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	queries := s.Next(start, 0, peers)
	if len(queries) != 1 || queries[0].Source != FromStore {
		t.Fatalf("queries %v, want the store", queries)
	}
	s.HandleResult(start, 0, QueryResult{Query: queries[0], Failed: true})
	queries = s.Next(start, 0, peers)
	if len(queries) != StartupPeerCount || s.Ready() {
		t.Fatalf("%d queries, ready %v", len(queries), s.Ready())
	}
	s.HandleResult(start, 0, QueryResult{Query: queries[0], Failed: true})
	if s.Ready() {
		t.Fatal("ready after a failed request")
	}
	if decision := s.HandleResult(start, 0, QueryResult{Query: queries[1], Version: 3}); !decision.Adopt || !s.Ready() {
		t.Fatalf("decision %+v, ready %v", decision, s.Ready())
	}
}

// Guards against a lagging read of the store, which returns an older version, that
// confirms the version in effect, and against a higher version seen in a message that
// is not fetched from the peer that reported it although the store does not return it.
func TestLaggingRead(t *testing.T) {
	s := NewUpdateScheduler(1)
	queries := s.Next(start, 5, nil)
	if decision := s.HandleResult(start, 5, QueryResult{Query: queries[0], Version: 4}); decision.Adopt || decision.Confirm {
		t.Fatalf("decision %+v on a lower version", decision)
	}
	if s.NextAt().After(start.Add(time.Second)) {
		t.Fatal("lagging read not repeated soon")
	}
	now := start.Add(500 * time.Millisecond)
	s.VersionSeen(now, 5, 7, "p")
	queries = s.Next(now, 5, []string{"p", "q"})
	if len(queries) != 1 || queries[0].Source != FromStore {
		t.Fatalf("queries %v, want the store", queries)
	}
	if decision := s.HandleResult(now, 5, QueryResult{Query: queries[0], Version: 5}); decision.Confirm {
		t.Fatal("version 5 confirmed although version 7 is known")
	}
	queries = s.Next(now, 5, []string{"p", "q"})
	if len(queries) != 2 || queries[0].Peer != "p" {
		t.Fatalf("queries %v, want the peer with the higher version first", queries)
	}
}

// fakeSources implements the store and one peer, whose address is "p".
type fakeSources struct {
	mu    sync.Mutex
	store *Catalog
	// peer is the catalog at peer p; nil means that the peer does not respond.
	peer     *Catalog
	storeErr error
	loads    int
	// storeDelay is how long the store takes to respond.
	storeDelay time.Duration
}

func (f *fakeSources) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeSources) Load(ctx context.Context, have uint64) (uint64, *Catalog, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads++
	time.Sleep(f.storeDelay)
	if f.storeErr != nil {
		return 0, nil, f.storeErr
	}
	if f.store.Version <= have {
		return f.store.Version, nil, nil
	}
	return f.store.Version, f.store, nil
}

func (f *fakeSources) FetchCatalog(_ context.Context, peer string, have uint64) (uint64, []byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peer == nil || peer != "p" {
		return 0, nil, errors.New("no such peer")
	}
	body, err := Encode(f.peer)
	return f.peer.Version, body, err
}

// Guards against a change that is adopted later than one poll interval; against a
// process that, while the store is down, becomes stale although a peer responds, or
// does not fetch a version seen in a message from its peer; and against a process that
// was paused and acts on its old version. A refresh fails until a source confirms or
// replaces the version, and must not read the store much more often than the normal
// polls.
func TestUpdater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fakeSources{store: catalogVersion(1), peer: catalogVersion(1)}
		h := NewHolder()
		u := NewUpdater(UpdaterOptions{
			Store: f, Peers: f, Holder: h, PeerList: func() []string { return []string{"p", "gone"} },
		})
		done := make(chan error)
		go func() { done <- u.Serve(ctx) }()
		synctest.Wait()
		if !u.Ready() || h.Current().Version() != 1 {
			t.Fatalf("not ready, version %d", h.Current().Version())
		}
		f.update(func() { f.store = catalogVersion(2) })
		time.Sleep(PollInterval + PollJitter)
		if h.Current().Version() != 2 {
			t.Fatal("change not adopted within one poll")
		}
		f.update(func() {
			f.storeErr = storage.ErrUnavailable
			f.peer = catalogVersion(3)
		})
		u.VersionSeen(3, "p")
		synctest.Wait()
		if h.Current().Version() != 3 {
			t.Fatal("version seen on a message not fetched from the peer")
		}
		for range 20 {
			time.Sleep(time.Second)
			if !h.Fresh(time.Now()) {
				t.Fatal("stale although a peer responds")
			}
		}
		f.update(func() { f.peer = nil })
		time.Sleep(FreshFor + time.Second)
		short, stop := context.WithTimeout(ctx, 10*time.Second)
		defer stop()
		f.update(func() { f.loads = 0 })
		if err := u.Refresh(short); resultcode.As(err).Code != resultcode.StaleCatalog {
			t.Fatalf("refresh: %v", err)
		}
		f.update(func() {
			// At most twelve regular retries and one forced read.
			if f.loads == 0 || f.loads > 13 {
				t.Errorf("refresh read the store %d times", f.loads)
			}
			f.storeErr = nil
			f.store = catalogVersion(4)
		})
		if err := u.Refresh(ctx); err != nil || h.Current().Version() != 4 {
			t.Fatalf("refresh: %v, version %d", err, h.Current().Version())
		}
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
	})
}

// Guards against freshness that counts from the receipt of a response instead of the
// sending of the request: a store that takes 4 s to respond would confirm the version
// for 4 s too long, because what it reported proves nothing about the time since.
func TestConfirmationCountsFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fakeSources{store: catalogVersion(1), storeDelay: 4 * time.Second}
		h := NewHolder()
		u := NewUpdater(UpdaterOptions{Store: f, Peers: f, Holder: h, PeerList: func() []string { return nil }})
		done := make(chan error)
		go func() { done <- u.Serve(ctx) }()
		sent := time.Now()
		time.Sleep(f.storeDelay + time.Millisecond)
		if h.Current().Version() != 1 || h.Fresh(sent.Add(FreshFor+time.Millisecond)) {
			t.Fatalf("version %d, adoption fresh beyond %v after the request", h.Current().Version(), FreshFor)
		}
		time.Sleep(f.storeDelay)
		if now := sent.Add(f.storeDelay + FreshFor); !h.Fresh(now) || h.Fresh(now.Add(time.Millisecond)) {
			t.Fatalf("confirmation fresh beyond %v after the request", FreshFor)
		}
		cancel()
		<-done
	})
}

// Guards against a version out of reach, which a faulty peer states, that hides the later
// versions of all others.
func TestVersionOutOfReachHidesNoOther(t *testing.T) {
	s := NewUpdateScheduler(1)
	s.anySourceResponded = true
	now := start
	s.VersionSeen(now, 5, math.MaxUint64, "faulty")
	for range maxTargetAttempts + 2 {
		now = s.NextAt()
		s.Next(now, 5, nil)
		s.storePending = false
	}
	now = now.Add(time.Second)
	s.VersionSeen(now, 5, math.MaxUint64, "faulty")
	if due := s.NextAt(); !due.After(now) {
		t.Errorf("the version out of reach is looked for again at once")
	}
	s.VersionSeen(now, 5, 6, "sound")
	if due := s.NextAt(); due.After(now) {
		t.Errorf("the store is read %v after a later version was seen, want at once", due.Sub(now))
	}
}
