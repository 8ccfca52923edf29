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

// interleavedTable is the table as the catalog store calls it. Before each call an
// outage may begin or another operator may act, so that operators interleave within
// one put.
type interleavedTable struct {
	sim *simulation
}

func (t interleavedTable) Get(_ context.Context, key string) (storage.Row, error) {
	t.sim.interleave()
	return t.sim.table.get(key)
}

func (t interleavedTable) Put(_ context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error) {
	t.sim.interleave()
	return t.sim.table.put(key, value, expected)
}

func (t interleavedTable) List(_ context.Context, prefix, after string, limit int) ([]storage.Row, string, error) {
	t.sim.interleave()
	return t.sim.table.list(prefix, after, limit)
}

func (v interleavedTable) DeleteBatch(context.Context, []storage.Row) error {
	return storage.ErrUnavailable
}

// catalogMember distributes catalog versions in one process in the same way as
// catalog.Updater.
type catalogMember struct {
	*process
	name      string
	holder    *catalog.Holder
	scheduler *catalog.UpdateScheduler
	highest   uint64
}

func newCatalogMember(p *process, name string) *catalogMember {
	m := &catalogMember{process: p, name: name, holder: catalog.NewHolder(), scheduler: catalog.NewUpdateScheduler(uint64(p.incarnation))}
	m.poll()
	return m
}

func (m *catalogMember) have() uint64 { return m.holder.Current().Version() }

func (m *catalogMember) poll() {
	m.start()
	m.deliver(max(500*time.Millisecond, m.scheduler.NextAt().Sub(m.clock())), m.poll)
}

// receiveVersion handles the catalog version in a message from another process.
func (m *catalogMember) receiveVersion(version uint64, from string) {
	m.scheduler.VersionSeen(m.clock(), m.have(), version, from)
	m.start()
}

// start sends the queries for catalog versions that are due.
func (m *catalogMember) start() {
	for _, query := range m.scheduler.Next(m.clock(), m.have(), []string{"agent0", "agent1", "router0"}) {
		inbox := m.inbox()
		m.sim.after(callLatency, func() { m.runQuery(query, inbox) })
	}
}

// runQuery answers a query at the store or the peer; inbox delivers the answer to the
// querying process.
func (m *catalogMember) runQuery(query catalog.Query, inbox func(time.Duration, func())) {
	var version uint64
	var c *catalog.Catalog
	var err error
	if query.Source == catalog.FromStore {
		version, c, err = m.sim.changes.store.Load(context.Background(), m.have())
	} else if peer := m.sim.peer(query.Peer); peer != nil && !peer.pausedUntil.After(m.sim.now) {
		c = peer.holder.Current().Catalog()
		version = c.Version
	} else {
		err = errors.New("no answer")
	}
	inbox(callLatency, func() {
		decision := m.scheduler.HandleResult(m.clock(), m.have(), catalog.QueryResult{Query: query, Version: version, Failed: err != nil})
		if decision.Adopt && c != nil {
			if m.holder.Adopt(query.Sent, c) && query.Source == catalog.FromPeer {
				situationCounts["version from a peer"]++
			}
		}
		if decision.Confirm {
			m.holder.Confirm(query.Sent, version)
		}
	})
}

func (sim *simulation) members() []*catalogMember {
	var all []*catalogMember
	for _, a := range sim.agents {
		all = append(all, a.member)
	}
	for _, r := range sim.routers {
		all = append(all, r.member)
	}
	return all
}

func (sim *simulation) peer(name string) *catalogMember {
	for _, m := range sim.members() {
		if m.name == name {
			return m
		}
	}
	return nil
}

// operatorChange is a change and the results of its puts as reported to operators.
type operatorChange struct {
	change catalog.Change
	// version is set once a put was accepted.
	version uint64
	// refused states that a put was reported to have no effect, and unclear that
	// another put of the same change may still take effect.
	refused, unclear bool
	// rebased states that puts of the change had different base versions.
	rebased bool
	// open states that a put of the change is in progress.
	open bool
}

// catalogOracle checks the catalog in all processes against the changes that
// operators submitted.
type catalogOracle struct {
	store *catalog.Store
	// readVersions is the latest version that each of the two operators has read.
	readVersions [2]uint64
	puts         []*operatorChange
	// contents maps each version to its content, which must be the same in every
	// process.
	contents map[uint64]string
	depth    int
}

func (o *catalogOracle) init(sim *simulation) {
	o.store = catalog.NewStore(interleavedTable{sim})
	o.contents = map[uint64]string{}
	first := &catalog.Catalog{Profiles: []catalog.Profile{{Name: "p0"}, {Name: "p1"}}}
	c := &operatorChange{change: catalog.Change{ID: "first", By: "op", Catalog: first}}
	o.puts = append(o.puts, c)
	if _, err := o.store.Put(context.Background(), sim.now, c.change); err != nil {
		sim.t.Fatal(err)
	}
	c.version = 1
	o.readVersions = [2]uint64{1, 1}
}

// interleave may begin an outage or let another operator act within a put of the
// first one.
func (sim *simulation) interleave() {
	if sim.changes.depth != 1 || sim.faultsEnded {
		return
	}
	switch sim.draw(16, "interleave") {
	case 14:
		sim.outage()
	case 15:
		sim.operate()
	}
}

// operate lets one operator read the version, retry a put or put a new change.
func (sim *simulation) operate() {
	o := &sim.changes
	o.depth++
	defer func() { o.depth-- }()
	op := sim.draw(2, "operator")
	switch sim.draw(4, "kind") {
	case 0:
		if version, _, err := o.store.Load(context.Background(), 0); err == nil {
			o.readVersions[op] = max(o.readVersions[op], version)
		}
	case 1:
		p := o.puts[sim.draw(len(o.puts), "repeated")]
		if sim.draw(2, "base") == 1 && p.change.Base != o.readVersions[op] {
			p.change.Base = o.readVersions[op]
			p.rebased = true
		}
		o.put(sim, p, op)
	default:
		profile := catalog.Profile{Name: fmt.Sprint("p", sim.draw(2, "profile")), Target: catalog.Target{WholeMS: len(o.puts)}}
		p := &operatorChange{change: catalog.Change{ID: fmt.Sprint("c", len(o.puts)), By: fmt.Sprint("op", op), Base: o.readVersions[op], Profile: &profile}}
		o.puts = append(o.puts, p)
		o.put(sim, p, op)
	}
}

// put performs one put and checks that a change that was accepted before is recognised.
// Two overlapping puts of the same change may have different results.
func (o *catalogOracle) put(sim *simulation, p *operatorChange, op int) {
	before, overlaps := p.version, p.open
	p.unclear = p.unclear || overlaps
	p.open = true
	c, err := o.store.Put(context.Background(), sim.now, p.change)
	p.open = overlaps
	if err == nil {
		if p.version != 0 && p.version != c.Version {
			sim.t.Fatalf("change %s applied as version %d and %d", p.change.ID, p.version, c.Version)
		}
		if before != 0 {
			situationCounts["change recognised"]++
		} else if !p.unclear && c.Version != p.change.Base+1 {
			sim.t.Fatalf("change %s based on version %d created version %d", p.change.ID, p.change.Base, c.Version)
		}
		situationCounts["change accepted"]++
		p.version = c.Version
		o.readVersions[op] = max(o.readVersions[op], c.Version)
		return
	}
	if resultcode.As(err).EffectiveExecution() == resultcode.Unknown {
		situationCounts["change outcome unknown"]++
		p.unclear = true
		return
	}
	p.refused = true
	var conflict *catalog.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	situationCounts["change refused with a difference"]++
	if before != 0 {
		sim.t.Fatalf("change %s was accepted as version %d and then refused: %v", p.change.ID, before, err)
	}
	if !p.rebased && !overlaps {
		p.unclear = false
	}
	o.readVersions[op] = max(o.readVersions[op], conflict.Current)
}

// putAfterFaults puts a change after all faults have ended and checks that it is
// accepted.
func (o *catalogOracle) putAfterFaults(sim *simulation) {
	version, _, err := o.store.Load(context.Background(), 0)
	if err != nil {
		sim.t.Fatal(err)
	}
	profile := catalog.Profile{Name: "p0", Target: catalog.Target{WholeMS: len(o.puts)}}
	p := &operatorChange{change: catalog.Change{ID: fmt.Sprint("c", len(o.puts)), By: "op", Base: version, Profile: &profile}}
	o.puts = append(o.puts, p)
	o.put(sim, p, 0)
	if p.version != version+1 {
		sim.t.Fatalf("change %s not accepted without faults", p.change.ID)
	}
}

// check verifies that no process goes back to an older version and that all processes
// have the same content for a version.
func (o *catalogOracle) check(sim *simulation) {
	for _, m := range sim.members() {
		c := m.holder.Current().Catalog()
		if c.Version < m.highest {
			sim.t.Fatalf("%s went back from version %d to %d", m.name, m.highest, c.Version)
		}
		m.highest = c.Version
		mark := fmt.Sprint(c.ChangeID, c.Profiles)
		if known, ok := o.contents[c.Version]; ok && known != mark {
			sim.t.Fatalf("version %d has the contents %s and %s", c.Version, known, mark)
		}
		o.contents[c.Version] = mark
	}
}

// checkEnd verifies that the changes in force are the accepted ones, in their order,
// and possibly some with an unclear outcome, and that every process has the last
// version.
func (o *catalogOracle) checkEnd(sim *simulation) {
	history, err := o.store.History(context.Background(), catalog.HistoryVersions)
	if err != nil {
		sim.t.Fatal(err)
	}
	version, c, err := o.store.Load(context.Background(), 0)
	if err != nil {
		sim.t.Fatal(err)
	}
	inForce := map[string]uint64{}
	profiles := map[string]catalog.Profile{}
	for i, e := range history {
		if e.Version != version-uint64(i) || inForce[e.ChangeID] != 0 {
			sim.t.Fatalf("history %+v does not match version %d or repeats a change", history, version)
		}
		inForce[e.ChangeID] = e.Version
	}
	for _, p := range o.puts {
		got := inForce[p.change.ID]
		if p.version != 0 && got != p.version || p.version == 0 && p.refused && !p.unclear && got != 0 {
			sim.t.Fatalf("change %s: reported as version %d, refused %v; history has version %d", p.change.ID, p.version, p.refused, got)
		}
		if p.change.Profile != nil && got > inForce[fmt.Sprint("c", profiles[p.change.Profile.Name].Target.WholeMS)] {
			profiles[p.change.Profile.Name] = *p.change.Profile
		}
	}
	for _, p := range c.Profiles {
		if want, ok := profiles[p.Name]; ok && p != want {
			sim.t.Fatalf("profile %+v in version %d, last accepted change %+v", p, version, want)
		}
	}
	for _, m := range sim.members() {
		if m.have() != version {
			sim.t.Fatalf("%s has version %d, in force %d", m.name, m.have(), version)
		}
	}
}
