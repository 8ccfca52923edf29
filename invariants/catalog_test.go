package invariants

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/storage"
)

// storeView is the table as one process calls it. Other operators may act
// between any two calls of one put.
type storeView struct {
	w *world
}

func (v storeView) Get(_ context.Context, key string) (storage.Row, error) {
	v.w.interleave()
	return v.w.table.get(key)
}

func (v storeView) Put(_ context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error) {
	v.w.interleave()
	return v.w.table.put(key, value, expected)
}

func (v storeView) List(_ context.Context, prefix, after string, limit int) ([]storage.Row, string, error) {
	v.w.interleave()
	return v.w.table.list(prefix, after, limit)
}

func (v storeView) DeleteBatch(context.Context, []storage.Row) error {
	return storage.ErrUnavailable
}

// member is the catalog side of a process, driven as catalog.Distributor does.
type member struct {
	*process
	name         string
	holder       *catalog.Holder
	distribution *catalog.UpdateScheduler
	highest      uint64
}

func newMember(p *process, name string) *member {
	m := &member{process: p, name: name, holder: catalog.NewHolder(), distribution: catalog.NewUpdateScheduler(uint64(p.incarnation))}
	m.poll()
	return m
}

func (m *member) have() uint64 { return m.holder.Current().Version() }

func (m *member) poll() {
	m.start()
	m.deliver(max(500*time.Millisecond, m.distribution.NextAt().Sub(m.clock())), m.poll)
}

// hear takes the version that a message of another process carries.
func (m *member) hear(version uint64, from string) {
	m.distribution.VersionSeen(m.clock(), m.have(), version, from)
	m.start()
}

// start sends the questions that are due.
func (m *member) start() {
	for _, ask := range m.distribution.Next(m.clock(), m.have(), []string{"agent0", "agent1", "router0"}) {
		inbox := m.inbox()
		m.w.after(latency, func() { m.ask(ask, inbox) })
	}
}

// ask runs at the store or the peer; inbox leads back to the asking process.
func (m *member) ask(ask catalog.Query, inbox func(time.Duration, func())) {
	var version uint64
	var c *catalog.Catalog
	var err error
	if ask.Source == catalog.FromStore {
		version, c, err = m.w.site.store.Load(context.Background(), m.have())
	} else if peer := m.w.peer(ask.Peer); peer != nil && !peer.pausedUntil.After(m.w.now) {
		c = peer.holder.Current().Catalog()
		version = c.Version
	} else {
		err = errors.New("no answer")
	}
	inbox(latency, func() {
		verdict := m.distribution.HandleResult(m.clock(), m.have(), catalog.QueryResult{Query: ask, Version: version, Failed: err != nil})
		if verdict.Adopt && c != nil {
			if m.holder.Adopt(ask.Sent, c) && ask.Source == catalog.FromPeer {
				reached["version from a peer"]++
			}
		}
		if verdict.Confirm {
			m.holder.Confirm(ask.Sent, version)
		}
	})
}

func (w *world) members() []*member {
	var all []*member
	for _, a := range w.agents {
		all = append(all, a.member)
	}
	for _, r := range w.routers {
		all = append(all, r.member)
	}
	return all
}

func (w *world) peer(name string) *member {
	for _, m := range w.members() {
		if m.name == name {
			return m
		}
	}
	return nil
}

// put is what operators have been told about one change.
type put struct {
	change catalog.Change
	// version is set once a put was accepted.
	version uint64
	// refused states that a put was told to have no effect, and unclear that
	// another put of the same change may still have one.
	refused, unclear bool
	// rebased states that puts of the change had different bases.
	rebased bool
	open    bool
}

type catalogOracle struct {
	store *catalog.Store
	// seen is the version that each of the two operators has read.
	seen [2]uint64
	puts []*put
	// marks has the content of each version, which is the same everywhere.
	marks map[uint64]string
	depth int
}

func (o *catalogOracle) init(w *world) {
	o.store = catalog.NewStore(storeView{w})
	o.marks = map[uint64]string{}
	first := &catalog.Catalog{Profiles: []catalog.Profile{{Name: "p0"}, {Name: "p1"}}}
	c := &put{change: catalog.Change{ID: "first", By: "op", Catalog: first}}
	o.puts = append(o.puts, c)
	if _, err := o.store.Put(context.Background(), w.now, c.change); err != nil {
		w.t.Fatal(err)
	}
	c.version = 1
	o.seen = [2]uint64{1, 1}
}

// interleave lets another operator act inside a call of the first one.
func (w *world) interleave() {
	if w.site.depth != 1 || w.healed {
		return
	}
	switch w.draw(16, "interleave") {
	case 14:
		w.outage()
	case 15:
		w.operate()
	}
}

// operate lets one operator read the version, repeat a put, or put a new change.
func (w *world) operate() {
	o := &w.site
	o.depth++
	defer func() { o.depth-- }()
	op := w.draw(2, "operator")
	switch w.draw(4, "kind") {
	case 0:
		if version, _, err := o.store.Load(context.Background(), 0); err == nil {
			o.seen[op] = max(o.seen[op], version)
		}
	case 1:
		p := o.puts[w.draw(len(o.puts), "repeated")]
		if w.draw(2, "base") == 1 && p.change.Base != o.seen[op] {
			p.change.Base = o.seen[op]
			p.rebased = true
		}
		o.put(w, p, op)
	default:
		profile := catalog.Profile{Name: fmt.Sprint("p", w.draw(2, "profile")), Target: catalog.Target{WholeMS: len(o.puts)}}
		p := &put{change: catalog.Change{ID: fmt.Sprint("c", len(o.puts)), By: fmt.Sprint("op", op), Base: o.seen[op], Profile: &profile}}
		o.puts = append(o.puts, p)
		o.put(w, p, op)
	}
}

// put makes one put and checks that an accepted change is recognised. Two puts of
// one change that overlap may be told different things.
func (o *catalogOracle) put(w *world, p *put, op int) {
	before, overlaps := p.version, p.open
	p.unclear = p.unclear || overlaps
	p.open = true
	c, err := o.store.Put(context.Background(), w.now, p.change)
	p.open = overlaps
	if err == nil {
		if p.version != 0 && p.version != c.Version {
			w.t.Fatalf("change %s applied as version %d and %d", p.change.ID, p.version, c.Version)
		}
		if before != 0 {
			reached["change recognised"]++
		} else if !p.unclear && c.Version != p.change.Base+1 {
			w.t.Fatalf("change %s based on version %d made version %d", p.change.ID, p.change.Base, c.Version)
		}
		reached["change accepted"]++
		p.version = c.Version
		o.seen[op] = max(o.seen[op], c.Version)
		return
	}
	if resultcode.As(err).Verdict() == resultcode.Unknown {
		reached["change outcome unknown"]++
		p.unclear = true
		return
	}
	p.refused = true
	var conflict *catalog.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	reached["change refused with a difference"]++
	if before != 0 {
		w.t.Fatalf("change %s was accepted as version %d and then refused: %v", p.change.ID, before, err)
	}
	if !p.rebased && !overlaps {
		p.unclear = false
	}
	o.seen[op] = max(o.seen[op], conflict.Current)
}

// last has a change accepted after all faults have ended.
func (o *catalogOracle) last(w *world) {
	version, _, err := o.store.Load(context.Background(), 0)
	if err != nil {
		w.t.Fatal(err)
	}
	profile := catalog.Profile{Name: "p0", Target: catalog.Target{WholeMS: len(o.puts)}}
	p := &put{change: catalog.Change{ID: fmt.Sprint("c", len(o.puts)), By: "op", Base: version, Profile: &profile}}
	o.puts = append(o.puts, p)
	o.put(w, p, 0)
	if p.version != version+1 {
		w.t.Fatalf("change %s not accepted without faults", p.change.ID)
	}
}

// check verifies that no process falls back to an older version and that all
// have the same content for a version.
func (o *catalogOracle) check(w *world) {
	for _, m := range w.members() {
		c := m.holder.Current().Catalog()
		if c.Version < m.highest {
			w.t.Fatalf("%s fell from version %d to %d", m.name, m.highest, c.Version)
		}
		m.highest = c.Version
		mark := fmt.Sprint(c.ChangeID, c.Profiles)
		if known, ok := o.marks[c.Version]; ok && known != mark {
			w.t.Fatalf("version %d is %s and %s", c.Version, known, mark)
		}
		o.marks[c.Version] = mark
	}
}

// checkEnd verifies that the accepted changes, and only those that may be, are in
// force in their order, and that every process has the last version.
func (o *catalogOracle) checkEnd(w *world) {
	history, err := o.store.History(context.Background(), catalog.HistoryVersions)
	if err != nil {
		w.t.Fatal(err)
	}
	version, c, err := o.store.Load(context.Background(), 0)
	if err != nil {
		w.t.Fatal(err)
	}
	inForce := map[string]uint64{}
	profiles := map[string]catalog.Profile{}
	for i, e := range history {
		if e.Version != version-uint64(i) || inForce[e.ChangeID] != 0 {
			w.t.Fatalf("history %+v of version %d", history, version)
		}
		inForce[e.ChangeID] = e.Version
	}
	for _, p := range o.puts {
		got := inForce[p.change.ID]
		if p.version != 0 && got != p.version || p.version == 0 && p.refused && !p.unclear && got != 0 {
			w.t.Fatalf("change %s: told version %d, refused %v; history has version %d", p.change.ID, p.version, p.refused, got)
		}
		if p.change.Profile != nil && got > inForce[fmt.Sprint("c", profiles[p.change.Profile.Name].Target.WholeMS)] {
			profiles[p.change.Profile.Name] = *p.change.Profile
		}
	}
	for _, p := range c.Profiles {
		if want, ok := profiles[p.Name]; ok && p != want {
			w.t.Fatalf("profile %+v in version %d, last accepted change %+v", p, version, want)
		}
	}
	for _, m := range w.members() {
		if m.have() != version {
			w.t.Fatalf("%s has version %d, in force %d", m.name, m.have(), version)
		}
	}
}
