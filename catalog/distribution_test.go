package catalog

import (
	"context"
	"errors"
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

// The version must never decrease, the response to an old request must not count as
// a confirmation nor one that names a higher version, and a watcher must not miss a
// version.
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
		t.Fatal("a higher version or an old answer confirmed the current one")
	}
	h.Confirm(start.Add(time.Minute), 5)
	if !h.Fresh(start.Add(time.Minute)) {
		t.Fatal("not confirmed")
	}
}

// A process that starts while the store is down must query no more peers than the
// limit, and must not be ready before one of them has responded.
func TestStartWhileTheStoreIsDown(t *testing.T) {
	d := NewUpdateScheduler(1)
	peers := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	queries := d.Next(start, 0, peers)
	if len(queries) != 1 || queries[0].Source != FromStore {
		t.Fatalf("queries %v, want the store", queries)
	}
	d.HandleResult(start, 0, QueryResult{Query: queries[0], Failed: true})
	queries = d.Next(start, 0, peers)
	if len(queries) != StartupPeerCount || d.Ready() {
		t.Fatalf("%d queries, ready %v", len(queries), d.Ready())
	}
	d.HandleResult(start, 0, QueryResult{Query: queries[0], Failed: true})
	if d.Ready() {
		t.Fatal("ready after a failed answer")
	}
	if v := d.HandleResult(start, 0, QueryResult{Query: queries[1], Version: 3}); !v.Adopt || !d.Ready() {
		t.Fatalf("decision %+v, ready %v", v, d.Ready())
	}
}

// A read that returns an older version must not confirm the version in effect. A
// higher version seen in a message must be fetched from the peer that reported it
// if the store does not return it.
func TestLaggingRead(t *testing.T) {
	d := NewUpdateScheduler(1)
	queries := d.Next(start, 5, nil)
	if v := d.HandleResult(start, 5, QueryResult{Query: queries[0], Version: 4}); v.Adopt || v.Confirm {
		t.Fatalf("decision %+v on a lower version", v)
	}
	if d.NextAt().After(start.Add(time.Second)) {
		t.Fatal("lagging read not repeated soon")
	}
	now := start.Add(500 * time.Millisecond)
	d.VersionSeen(now, 5, 7, "p")
	queries = d.Next(now, 5, []string{"p", "q"})
	if len(queries) != 1 || queries[0].Source != FromStore {
		t.Fatalf("queries %v, want the store", queries)
	}
	if v := d.HandleResult(now, 5, QueryResult{Query: queries[0], Version: 5}); v.Confirm {
		t.Fatal("version 5 confirmed although version 7 is known")
	}
	queries = d.Next(now, 5, []string{"p", "q"})
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
	// storeDelay is how long the store takes to answer.
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

// A change must be adopted within one poll interval. While the store is down, peers
// must keep the catalog fresh, and a version seen in a message must be fetched from
// its peer. A process that was paused must not act on its old version: a refresh
// fails until a source confirms or replaces the version, and does not read the store
// much more often than the normal polls.
func TestDistributor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fakeSources{store: catalogVersion(1), peer: catalogVersion(1)}
		h := NewHolder()
		d := NewUpdater(UpdaterOptions{
			Store: f, Peers: f, Holder: h, PeerList: func() []string { return []string{"p", "gone"} },
		})
		done := make(chan error)
		go func() { done <- d.Serve(ctx) }()
		synctest.Wait()
		if !d.Ready() || h.Current().Version() != 1 {
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
		d.VersionSeen(3, "p")
		synctest.Wait()
		if h.Current().Version() != 3 {
			t.Fatal("version seen on a message not fetched from the peer")
		}
		for range 20 {
			time.Sleep(time.Second)
			if !h.Fresh(time.Now()) {
				t.Fatal("stale although a peer answers")
			}
		}
		f.update(func() { f.peer = nil })
		time.Sleep(FreshFor + time.Second)
		short, stop := context.WithTimeout(ctx, 10*time.Second)
		defer stop()
		f.update(func() { f.loads = 0 })
		if err := d.Refresh(short); resultcode.As(err).Code != resultcode.StaleCatalog {
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
		if err := d.Refresh(ctx); err != nil || h.Current().Version() != 4 {
			t.Fatalf("refresh: %v, version %d", err, h.Current().Version())
		}
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
	})
}

// Freshness must count from when a request was sent. If it counted from the receipt
// of the response, a store that takes 4 s to respond would confirm the version for
// 4 s too long.
func TestConfirmationCountsFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fakeSources{store: catalogVersion(1), storeDelay: 4 * time.Second}
		h := NewHolder()
		d := NewUpdater(UpdaterOptions{Store: f, Peers: f, Holder: h, PeerList: func() []string { return nil }})
		done := make(chan error)
		go func() { done <- d.Serve(ctx) }()
		sent := time.Now()
		time.Sleep(f.storeDelay + time.Millisecond)
		if h.Current().Version() != 1 || h.Fresh(sent.Add(FreshFor+time.Millisecond)) {
			t.Fatalf("version %d, adoption fresh beyond %v after the question", h.Current().Version(), FreshFor)
		}
		time.Sleep(f.storeDelay)
		if now := sent.Add(f.storeDelay + FreshFor); !h.Fresh(now) || h.Fresh(now.Add(time.Millisecond)) {
			t.Fatalf("confirmation fresh beyond %v after the question", FreshFor)
		}
		cancel()
		<-done
	})
}
