package crashes

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func request(id uint64) Suspect { return Suspect{ID: id} }

func part(id uint64) Suspect { return Suspect{IsPart: true, ID: id} }

func crash(endpoint uint64, after time.Duration, suspects ...Suspect) Crash {
	return Crash{Endpoint: endpoint, At: start.Add(after), Suspects: suspects}
}

// refused reports whether a request is refused by a gateway that tries no suspect again.
func refused(t *Table, after time.Duration, suspects ...Suspect) bool {
	return t.Check(start.Add(after), suspects, 1, func(Suspect) bool { return false }).Refused
}

// exchange applies the statement of one table to another.
func exchange(from, to *Table, after time.Duration) {
	now := start.Add(after)
	s := from.Statement(now, 2)
	for _, c := range s.Cleared {
		to.RecordCleared(c)
	}
	for _, c := range s.Crashes {
		to.Record(c)
	}
	for _, c := range s.Standing {
		to.RecordStanding(now, c)
	}
	for _, c := range s.Trials {
		to.RecordTrials(now, c.Suspect, c.Count)
	}
}

// Guards against a request that goes on crashing endpoints because it is sent
// again by this gateway or by others.
func TestRequestThatBrokeThreeEndpointsIsCondemned(t *testing.T) {
	local, peer := New(), New()
	local.RecordLocal(crash(10, 0, request(1)))
	local.RecordLocal(crash(11, time.Second, request(1)))
	if refused(local, time.Second, request(1)) {
		t.Fatal("condemned after two endpoints")
	}
	peer.RecordLocal(crash(12, 2*time.Second, request(1)))
	exchange(peer, local, 2*time.Second)
	if !refused(local, 2*time.Second, request(1)) {
		t.Fatal("not condemned after three endpoints")
	}
	if refused(local, 2*time.Second, request(2)) || refused(local, 2*time.Second, part(1)) {
		t.Fatal("a request without crashes is condemned")
	}
}

// Guards against condemning a request because one endpoint breaks often, or because
// responses were lost although the request itself succeeds.
func TestSoundRequestsAreNotCondemned(t *testing.T) {
	c := New()
	for i := range 10 {
		c.RecordLocal(crash(10, time.Duration(i)*time.Second, request(1)))
	}
	if refused(c, 10*time.Second, request(1)) {
		t.Fatal("condemned for one endpoint that broke often")
	}
	c.RecordLocal(crash(11, 11*time.Second, request(1)))
	c.RecordSuccess([]Suspect{request(1)})
	c.RecordLocal(crash(12, 12*time.Second, request(1)))
	if refused(c, 12*time.Second, request(1)) {
		t.Fatal("condemned although it succeeded in between")
	}
}

// Guards against condemning what stood in one failure of many endpoints at once, such as
// those of a rack.
func TestEndpointsThatFailTogetherCountOnce(t *testing.T) {
	c := New()
	for i := range 20 {
		c.RecordLocal(crash(uint64(10+i), time.Duration(i)*10*time.Millisecond, part(1)))
	}
	if refused(c, time.Second, part(1)) {
		t.Fatal("condemned by endpoints that failed within 200 ms")
	}
}

// Guards against a request that crashes any number of endpoints in one round because it is
// repeated at once, and against a wait for requests that only share a part with it, that
// stood in a single crash, or that were answered since.
func TestRepeatedRequestWaitsUntilACrashWouldCount(t *testing.T) {
	table := New()
	pause := func(after time.Duration, suspects ...Suspect) time.Duration {
		return table.Check(start.Add(after), suspects, 1, func(Suspect) bool { return false }).Pause
	}
	table.RecordLocal(crash(10, 0, request(1), part(5)))
	if p := pause(10*time.Millisecond, request(1), part(5)); p != 0 {
		t.Errorf("a request of one crash waits %v", p)
	}
	table.Record(crash(11, 50*time.Millisecond, request(1), part(5)))
	if p, want := pause(60*time.Millisecond, request(1), part(5)), roundGap-10*time.Millisecond; p != want {
		t.Errorf("a request of two crashes waits %v, want %v", p, want)
	}
	if p := pause(60*time.Millisecond, request(2), part(5)); p != 0 {
		t.Errorf("a request with a part of two crashes waits %v", p)
	}
	if p := pause(50*time.Millisecond+roundGap, request(1), part(5)); p != 0 {
		t.Errorf("a request waits %v although a further crash is a round of its own", p)
	}
	table.RecordSuccess([]Suspect{request(1)})
	if p := pause(60*time.Millisecond, request(1)); p != 0 {
		t.Errorf("a request that was answered waits %v", p)
	}
}

// Guards against suspects and reports that grow without limit in an outage, and against
// suspects of several crashes that the others push out.
func TestBounds(t *testing.T) {
	c := New()
	for i := range 2 {
		c.RecordLocal(crash(uint64(i), time.Duration(i)*time.Second, part(7)))
	}
	for i := range 3 * maxSuspects {
		c.RecordLocal(crash(uint64(100+i), time.Second, request(uint64(i))))
	}
	for i := range 3 * maxStanding {
		for n := range 2 {
			c.RecordLocal(crash(uint64(100+n), time.Duration(n)*time.Second, request(uint64(100_000+i))))
		}
	}
	if c.suspects.Len() > maxSuspects || c.standing.Len() > maxStanding || len(c.reports) > maxReports {
		t.Fatalf("%d suspects, %d standing, %d reports", c.suspects.Len(), c.standing.Len(), len(c.reports))
	}
	s := c.Statement(start, 2)
	stated := len(s.Cleared)
	for _, list := range [][]Crash{s.Crashes, s.Standing} {
		for _, crash := range list {
			stated += len(crash.Suspects)
		}
	}
	if stated > maxStated {
		t.Fatalf("%d suspects in one statement", stated)
	}
	value, err := c.Encode(start, true)
	if err != nil || len(value) > 64<<10 {
		t.Fatalf("%d bytes to store, %v", len(value), err)
	}
	c.Statement(start, 2)
	for range reportRepeat {
		c.Statement(start, 2)
	}
	for len(c.reports) > 0 {
		before := len(c.reports)
		for range reportRepeat {
			c.Statement(start, 2)
		}
		if len(c.reports) >= before {
			t.Fatalf("%d reports are never stated", before)
		}
	}
}

// Guards against refusing sound requests that share a rare part with those that crash
// endpoints: the rare part stood in every crash, too. Guards as well against letting on
// what holds both.
func TestPartsOfTheSameCrashesAreToldApart(t *testing.T) {
	c := New()
	for i := range 3 {
		c.RecordLocal(crash(uint64(i), time.Duration(i)*time.Second, request(uint64(i)), part(0xb), part(0xdead)))
	}
	if !refused(c, 3*time.Second, request(9), part(0xb), part(0xdead)) {
		t.Fatal("a request with both parts is not refused")
	}
	for _, p := range []uint64{0xb, 0xdead} {
		if refused(c, 3*time.Second, request(9), part(p)) {
			t.Fatalf("a request with part %x alone is refused", p)
		}
	}
	c.RecordLocal(crash(3, 4*time.Second, request(10), part(0xdead)))
	if !refused(c, 4*time.Second, request(11), part(0xdead)) {
		t.Fatal("the part at fault is not refused after it crashed an endpoint without the other")
	}
	if refused(c, 4*time.Second, request(11), part(0xb)) {
		t.Fatal("the sound part is refused after the other crashed an endpoint without it")
	}
}

// Guards against a verdict that stays after the suspect proved sound, here or at a peer,
// and against one that a peer which has not heard of that brings back.
func TestSuspectThatProvesSoundComesBack(t *testing.T) {
	a, b, lagging := New(), New(), New()
	for i := range 3 {
		c := crash(uint64(i), time.Duration(i)*time.Second, part(1))
		a.RecordLocal(c)
		b.Record(c)
		lagging.Record(c)
	}
	if !refused(a, 3*time.Second, part(1)) || !refused(b, 3*time.Second, part(1)) {
		t.Fatal("not condemned")
	}
	changes := a.RecordSuccess([]Suspect{part(1)})
	if len(changes) != 1 || changes[0].Rounds != 0 {
		t.Fatalf("changes %v", changes)
	}
	exchange(a, b, 3*time.Second)
	exchange(lagging, b, 4*time.Second)
	if refused(a, 4*time.Second, part(1)) || refused(b, 4*time.Second, part(1)) {
		t.Fatal("still refused, or again, after an answer to the end")
	}
	exchange(b, lagging, 5*time.Second)
	if refused(lagging, 5*time.Second, part(1)) {
		t.Fatal("the lagging peer is not told again")
	}
}

// Guards against a condemned suspect that is never tried again, and against more trials
// than the platform allows.
func TestCondemnedSuspectIsTriedWithSingleRequests(t *testing.T) {
	c := New()
	for i := range 3 {
		c.RecordLocal(crash(uint64(i), time.Duration(i)*time.Second, part(1)))
	}
	try := func(after time.Duration) bool {
		v := c.Check(start.Add(after), []Suspect{request(9), part(1)}, 5, func(Suspect) bool { return true })
		if v.Trial {
			c.BeginTrial(start.Add(after), v.Suspect)
		}
		return v.Trial
	}
	trials := 0
	for i := range 10_000 {
		after := 10*time.Second + time.Duration(i)*100*time.Millisecond
		if !try(after) {
			continue
		}
		trials++
		if try(after + time.Millisecond) {
			t.Fatal("two trials at the same time")
		}
		c.RecordLocal(crash(uint64(100+i), after+200*time.Millisecond, request(9), part(1)))
	}
	if trials != maxTrials {
		t.Fatalf("%d trials, want %d", trials, maxTrials)
	}
	if c.Check(start.Add(time.Hour), []Suspect{part(1)}, 5, func(Suspect) bool { return true }); !refused(c, time.Hour, part(1)) {
		t.Fatal("not refused after the last trial")
	}
}

// Guards against verdicts that are lost when all gateways restart at once, and against
// trials that a restart allows again.
func TestStoredSuspects(t *testing.T) {
	c := New()
	for i := range 3 {
		c.RecordLocal(crash(uint64(i), time.Duration(i)*time.Second, request(uint64(i)), part(0xdead)))
	}
	c.BeginTrial(start.Add(10*time.Second), part(0xdead))
	if !c.Unstored(false) {
		t.Fatal("nothing to store after three crashes")
	}
	value, err := c.Encode(start.Add(10*time.Second), false)
	if err != nil {
		t.Fatal(err)
	}
	restarted := New()
	if _, err := restarted.Load(start.Add(time.Minute), value); err != nil {
		t.Fatal(err)
	}
	if !refused(restarted, time.Minute, part(0xdead)) || restarted.record(part(0xdead)).trial.count != 1 {
		t.Fatal("the stored verdict or its trial is lost")
	}
	old := New()
	if _, err := old.Load(start.Add(condemnedTTL+time.Hour), value); err != nil || refused(old, condemnedTTL+time.Hour, part(0xdead)) {
		t.Fatalf("a verdict of the day before counts, error %v", err)
	}
	for _, invalid := range []string{"{", `{"suspects":[{"id":"x","last_unix":1800000000}]}`} {
		if _, err := New().Load(start, []byte(invalid)); err == nil {
			t.Errorf("%s is accepted", invalid)
		}
	}
}

// Guards against a crash of few suspects that is counted in each gateway's own way: whatever
// the order in which the statements of three gateways arrive, all refuse the same.
func TestOrderOfStatementsDoesNotMatter(t *testing.T) {
	crashes := []Crash{
		crash(1, 0, part(1), part(2)), crash(2, time.Second, part(1)), crash(3, 1100*time.Millisecond, part(1), part(2)),
		crash(4, 3*time.Second, part(1), part(2)),
	}
	for first := range crashes {
		c := New()
		for _, other := range slices.Concat(crashes[first:], crashes[:first]) {
			c.Record(other)
			c.Record(other)
		}
		if !refused(c, 4*time.Second, part(1)) || refused(c, 4*time.Second, part(2)) {
			t.Errorf("from crash %d on: part 1 refused %v, part 2 refused %v", first, refused(c, 4*time.Second, part(1)), refused(c, 4*time.Second, part(2)))
		}
	}
}
