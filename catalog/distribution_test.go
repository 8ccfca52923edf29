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

func version(v uint64) *Catalog {
	c := sample()
	c.Version = v
	return c
}

// Guards against a version that falls, a stale answer that counts as a
// confirmation, and a watcher that misses a version.
func TestHolder(t *testing.T) {
	h := NewHolder()
	if h.Fresh(start) {
		t.Fatal("fresh without a catalog")
	}
	changed := h.Changed()
	if !h.Adopt(start, version(5)) || h.Adopt(start, version(5)) || h.Adopt(start, version(4)) {
		t.Fatal("adopted a version that is not higher")
	}
	select {
	case <-changed:
	default:
		t.Fatal("watcher not told")
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

// Guards against a start without any answer that counts as ready, and against
// asking more peers than the bound.
func TestStartWhileTheStoreIsDown(t *testing.T) {
	d := NewDistribution(1)
	peers := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	asks := d.Next(start, 0, peers)
	if len(asks) != 1 || asks[0].Source != FromStore {
		t.Fatalf("asks %v, want the store", asks)
	}
	d.Answered(start, 0, Answer{Ask: asks[0], Failed: true})
	asks = d.Next(start, 0, peers)
	if len(asks) != StartPeers || d.Ready() {
		t.Fatalf("%d asks, ready %v", len(asks), d.Ready())
	}
	d.Answered(start, 0, Answer{Ask: asks[0], Failed: true})
	if d.Ready() {
		t.Fatal("ready after a failed answer")
	}
	if v := d.Answered(start, 0, Answer{Ask: asks[1], Version: 3}); !v.Adopt || !d.Ready() {
		t.Fatalf("verdict %+v, ready %v", v, d.Ready())
	}
}

// Guards against a lagging read that confirms the version in effect, and
// against a higher version seen on a message that is not fetched from its peer.
func TestLaggingRead(t *testing.T) {
	d := NewDistribution(1)
	asks := d.Next(start, 5, nil)
	if v := d.Answered(start, 5, Answer{Ask: asks[0], Version: 4}); v.Adopt || v.Confirm {
		t.Fatalf("verdict %+v on a lower version", v)
	}
	if d.Wake().After(start.Add(time.Second)) {
		t.Fatal("lagging read not repeated soon")
	}
	now := start.Add(500 * time.Millisecond)
	d.Seen(now, 5, 7, "p")
	asks = d.Next(now, 5, []string{"p", "q"})
	if len(asks) != 1 || asks[0].Source != FromStore {
		t.Fatalf("asks %v, want the store", asks)
	}
	if v := d.Answered(now, 5, Answer{Ask: asks[0], Version: 5}); v.Confirm {
		t.Fatal("version 5 confirmed although version 7 is known")
	}
	asks = d.Next(now, 5, []string{"p", "q"})
	if len(asks) != 2 || asks[0].Peer != "p" {
		t.Fatalf("asks %v, want the peer with the higher version first", asks)
	}
}

// fakeSources is the store and one peer of a Distributor.
type fakeSources struct {
	mu    sync.Mutex
	store *Catalog
	// peer is the catalog at peer p; nil means that the peer has gone.
	peer  *Catalog
	down  error
	loads int
	// slow is how long the store takes to answer.
	slow time.Duration
}

func (f *fakeSources) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeSources) Load(ctx context.Context, have uint64) (uint64, *Catalog, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads++
	time.Sleep(f.slow)
	if f.down != nil {
		return 0, nil, f.down
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

// Guards against a change that takes longer than the limit, a process that is
// stale while the store is down and peers answer, and a paused process that
// acts on its old version.
func TestDistributor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fakeSources{store: version(1), peer: version(1)}
		h := NewHolder()
		d := NewDistributor(DistributorOptions{
			Store: f, Peers: f, Holder: h, PeerList: func() []string { return []string{"p", "gone"} },
		})
		done := make(chan error)
		go func() { done <- d.Serve(ctx) }()
		synctest.Wait()
		if !d.Ready() || h.Current().Version() != 1 {
			t.Fatalf("not ready, version %d", h.Current().Version())
		}
		f.set(func() { f.store = version(2) })
		time.Sleep(PollInterval + PollJitter)
		if h.Current().Version() != 2 {
			t.Fatal("change not adopted within one poll")
		}
		f.set(func() {
			f.down = storage.ErrUnavailable
			f.peer = version(3)
		})
		d.Seen(3, "p")
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
		f.set(func() { f.peer = nil })
		time.Sleep(FreshFor + time.Second)
		short, stop := context.WithTimeout(ctx, 10*time.Second)
		defer stop()
		f.set(func() { f.loads = 0 })
		if err := d.Refresh(short); resultcode.As(err).Code != resultcode.StaleCatalog {
			t.Fatalf("refresh: %v", err)
		}
		f.set(func() {
			// Twelve reads of the plain retry and one forced read at most.
			if f.loads == 0 || f.loads > 13 {
				t.Errorf("refresh read the store %d times", f.loads)
			}
			f.down = nil
			f.store = version(4)
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

// Guards against a confirmation that counts from the receipt of an answer: what
// the store said 4 s ago proves nothing about the time since.
func TestConfirmationCountsFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fakeSources{store: version(1), slow: 4 * time.Second}
		h := NewHolder()
		d := NewDistributor(DistributorOptions{Store: f, Peers: f, Holder: h, PeerList: func() []string { return nil }})
		done := make(chan error)
		go func() { done <- d.Serve(ctx) }()
		sent := time.Now()
		time.Sleep(f.slow + time.Millisecond)
		if h.Current().Version() != 1 || h.Fresh(sent.Add(FreshFor+time.Millisecond)) {
			t.Fatalf("version %d, adoption fresh beyond %v after the question", h.Current().Version(), FreshFor)
		}
		time.Sleep(f.slow)
		if now := sent.Add(f.slow + FreshFor); !h.Fresh(now) || h.Fresh(now.Add(time.Millisecond)) {
			t.Fatalf("confirmation fresh beyond %v after the question", FreshFor)
		}
		cancel()
		<-done
	})
}
