package burn_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/pistachiowind/pistachiowind/burn"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

var chatTarget = catalog.Target{FirstTokenMS: 1500, InterTokenMS: 44}

func chat(firstToken time.Duration) burn.Sample {
	return burn.Sample{
		Profile: "chat", Class: "interactive", Tier: 1, Target: chatTarget,
		Execution: resultcode.Ran, Started: true, Queue: firstToken / 2,
		FirstToken: firstToken, Whole: 2 * firstToken, Endpoint: "engine-1",
	}
}

// transfer returns a copy of the snapshot that went through its JSON form.
func transfer(t rapid.TB, s *burn.Snapshot) *burn.Snapshot {
	b, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var out burn.Snapshot
	if err := json.Unmarshal(b, &out); err != nil {
		t.Fatal(err)
	}
	return &out
}

// Guards against requests that are wrongly counted towards or excluded from
// attainment.
func TestOutcome(t *testing.T) {
	slow := burn.NewInterTokenTimes(44 * time.Millisecond)
	for i := range 100 {
		slow.Add(time.Duration(39+i/94*10) * time.Millisecond)
	}
	for name, c := range map[string]struct {
		change      func(*burn.Sample)
		met, counts bool
	}{
		"within target":         {func(*burn.Sample) {}, true, true},
		"late first token":      {func(s *burn.Sample) { s.FirstToken = 1501 * time.Millisecond }, false, true},
		"6 in 100 tokens late":  {func(s *burn.Sample) { s.InterToken = slow }, false, true},
		"refused":               {func(s *burn.Sample) { s.Code = resultcode.QueueFull }, false, true},
		"malformed by caller":   {func(s *burn.Sample) { s.Code = resultcode.MalformedBody }, false, false},
		"cancelled by caller":   {func(s *burn.Sample) { s.Code = resultcode.CallerCancelled }, false, false},
		"profile has no target": {func(s *burn.Sample) { s.Target = catalog.Target{} }, false, false},
	} {
		s := chat(time.Second)
		c.change(&s)
		if met, counts := s.TargetMet(); met != c.met || counts != c.counts {
			t.Errorf("%s: TargetMet = %v, %v; want %v, %v", name, met, counts, c.met, c.counts)
		}
	}
}

// Guards against requests that are lost, counted twice or kept too long when fine
// steps are merged into long steps and the ring buffers wrap around.
func TestWindowsAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		r := burn.NewRecorder("r1", start)
		var times []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			gap := rapid.OneOf(rapid.IntRange(0, 90), rapid.IntRange(0, 9000)).Draw(t, "gap")
			now = now.Add(time.Duration(gap) * time.Second)
			r.Record(now, chat(time.Second))
			times = append(times, now)
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "end")) * time.Second)
		for i, w := range transfer(t, r.Snapshot(now)).Windows {
			var least, most int64
			slack := burn.Step
			if i == 0 {
				slack = time.Minute
			}
			for _, at := range times {
				age := now.Sub(at)
				if age <= burn.Windows[i] {
					least++
				}
				if age < burn.Windows[i]+slack {
					most++
				}
			}
			var got int64
			for _, row := range w.Rows {
				got += row.Requests
			}
			if got < least || got > most {
				t.Fatalf("window %v: %d requests, want %d to %d", burn.Windows[i], got, least, most)
			}
		}
	})
}

// Guards against a merged report of several recorders that differs from the report
// of one recorder with all requests.
func TestMergeEqualsOneRecorder(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 11))
	one := burn.NewRecorder("all", start)
	parts := []*burn.Recorder{burn.NewRecorder("r1", start), burn.NewRecorder("r2", start)}
	now := start
	for i := range 4000 {
		now = now.Add(time.Duration(random.IntN(6000)) * time.Millisecond)
		s := chat(time.Duration(random.IntN(2000)) * time.Millisecond)
		s.Profile = fmt.Sprint("p", i%5)
		s.InterToken = burn.NewInterTokenTimes(0)
		s.InterToken.Add(time.Duration(random.IntN(80)) * time.Millisecond)
		s.Code = []resultcode.Code{0, 0, 0, resultcode.QueueFull, resultcode.EndpointFailed}[random.IntN(5)]
		one.Record(now, s)
		parts[i%2].Record(now, s)
	}
	want := burn.NewReport(now, []burn.Source{{Router: "all", Snapshot: one.Snapshot(now)}})
	got := burn.NewReport(now, []burn.Source{
		{Router: "r1", Snapshot: transfer(t, parts[0].Snapshot(now))},
		{Router: "r2", Snapshot: transfer(t, parts[1].Snapshot(now))},
	})
	if diff := cmp.Diff(want.Windows, got.Windows); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(want.Series, got.Series); diff != "" {
		t.Error(diff)
	}
}

// sampleReport returns a report of two routers that could be read, one that could
// not be reached and one with another snapshot format.
func sampleReport(t *testing.T) *burn.Report {
	random := rand.New(rand.NewPCG(1, 2))
	now := start
	r1, r2 := burn.NewRecorder("router-a1", start), burn.NewRecorder("router-b1", start.Add(5*time.Hour))
	for i := range 6000 {
		now = now.Add(4 * time.Second)
		s := chat(time.Duration(200+random.ExpFloat64()*300) * time.Millisecond)
		s.InterToken = burn.NewInterTokenTimes(44 * time.Millisecond)
		s.InterToken.Add(time.Duration(15+random.ExpFloat64()*8) * time.Millisecond)
		s.Endpoint = fmt.Sprint("engine-", i%4)
		switch {
		case i%10 == 3:
			s.Profile, s.Class, s.Tier, s.Target = "history", "batch", 2, catalog.Target{}
		case i%10 == 4:
			s.Profile, s.Class, s.Tier = "contract-questions", "urgent", 0
		case i%10 == 5 && i > 4000:
			s.Code, s.Execution, s.Started, s.FirstToken, s.Endpoint = resultcode.TargetOutOfReach, resultcode.NotRun, false, 0, ""
		case i%40 == 7:
			s.Code, s.Execution = resultcode.EndpointFailed, resultcode.Unknown
		}
		r1.Record(now, s)
	}
	r2.Record(now, chat(time.Second))
	other := r1.Snapshot(now)
	other.Format = 2
	return burn.NewReport(now, []burn.Source{
		{Router: "router-b1", Snapshot: transfer(t, r2.Snapshot(now))},
		{Router: "router-a1", Snapshot: transfer(t, r1.Snapshot(now))},
		{Router: "router-c1", Err: errors.New("connection refused")},
		{Router: "router-d1", Snapshot: other},
	})
}

// Guards against a router that cannot be read being shown as idle, and against
// unintended changes of the table, JSON and HTML forms.
func TestRenderedReports(t *testing.T) {
	report := sampleReport(t)
	if len(report.Missing) != 2 || len(report.Routers) != 2 {
		t.Errorf("routers %v, missing %v; want 2 of each", report.Routers, report.Missing)
	}
	var table, html bytes.Buffer
	if err := report.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	if err := report.WriteHTML(&html); err != nil {
		t.Fatal(err)
	}
	g := goldie.New(t)
	g.Assert(t, "report.txt", table.Bytes())
	g.AssertJson(t, "report.json", report)
	g.Assert(t, "report.html", html.Bytes())
	for _, reference := range []string{"src=", "href=", "url(", "@import"} {
		if strings.Contains(html.String(), reference) {
			t.Errorf("page refers to other files with %s", reference)
		}
	}
}

// Guards against a report without data that shows zero or full attainment, and
// against unescaped markup in names from the catalog.
func TestReportWithoutDataAndWithMarkup(t *testing.T) {
	empty := burn.NewReport(start, nil)
	var out bytes.Buffer
	if err := empty.WriteHTML(&out); err != nil {
		t.Fatal(err)
	}
	r := burn.NewRecorder("r<script>", start)
	s := chat(time.Second)
	s.Class, s.Profile, s.Code = "<script>", "<script>", resultcode.MalformedBody
	r.Record(start, s)
	report := burn.NewReport(start, []burn.Source{{Router: "r<script>", Snapshot: r.Snapshot(start)}})
	if line := report.Windows[0].Classes[0]; line.Attainment != nil || line.Requests != 1 {
		t.Errorf("line %+v; want no attainment and 1 request", line)
	}
	out.Reset()
	if err := report.WriteHTML(&out); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "<script>") {
		t.Error("markup in names is not escaped")
	}
}

// Guards against memory that grows with the number of profile, class and endpoint
// names.
func TestRowsAreBounded(t *testing.T) {
	r := burn.NewRecorder("r1", start)
	for i := range 3000 {
		s := chat(time.Second)
		s.Profile, s.Class, s.Endpoint = fmt.Sprint("p", i), fmt.Sprint("c", i), fmt.Sprint("e", i)
		r.Record(start, s)
	}
	snapshot := r.Snapshot(start)
	w := snapshot.Windows[0]
	if len(w.Rows) != 65 || len(w.Endpoints) != 1025 || len(snapshot.Series) != 65 {
		t.Errorf("%d rows, %d endpoints, %d series; want 65, 1025, 65", len(w.Rows), len(w.Endpoints), len(snapshot.Series))
	}
	names := map[string]bool{}
	for _, c := range snapshot.Series {
		if names[c.Class] {
			t.Errorf("two series of class %s", c.Class)
		}
		names[c.Class] = true
	}
	var requests int64
	for _, row := range w.Rows {
		requests += row.Requests
	}
	if requests != 3000 {
		t.Errorf("rows hold %d requests, want 3000", requests)
	}
}

// BenchmarkSnapshot measures the time to create and encode a snapshot, and reports its
// size, at 20 profiles and 600 endpoints after 6 h.
func BenchmarkSnapshot(b *testing.B) {
	r := burn.NewRecorder("r1", start)
	random := rand.New(rand.NewPCG(3, 4))
	now := start
	for i := range 50_000 {
		now = now.Add(432 * time.Millisecond)
		s := chat(time.Duration(random.ExpFloat64()*400) * time.Millisecond)
		s.Profile, s.Endpoint = fmt.Sprint("profile-", i%20), fmt.Sprint("engine-", i%600)
		s.InterToken = burn.NewInterTokenTimes(44 * time.Millisecond)
		for range 10 {
			s.InterToken.Add(time.Duration(random.ExpFloat64()*20) * time.Millisecond)
		}
		r.Record(now, s)
	}
	for b.Loop() {
		text, err := json.Marshal(r.Snapshot(now))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(text)), "JSON-bytes")
	}
}

// BenchmarkRecord measures the time and allocations to record one request with 100
// inter-token times.
func BenchmarkRecord(b *testing.B) {
	r := burn.NewRecorder("r1", start)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s := chat(time.Duration(i%1000) * time.Millisecond)
		s.InterToken = burn.NewInterTokenTimes(44 * time.Millisecond)
		for range 100 {
			s.InterToken.Add(time.Duration(i%50) * time.Millisecond)
		}
		r.Record(start.Add(time.Duration(i)*75*time.Millisecond), s)
	}
}

// Guards against a data race between recording and snapshots.
func TestSnapshotsWhileRecording(t *testing.T) {
	r := burn.NewRecorder("r1", start)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20 {
			r.Snapshot(start.Add(time.Duration(i) * 10 * time.Minute))
		}
	}()
	for i := range 5000 {
		r.Record(start.Add(time.Duration(i)*3*time.Second), chat(time.Second))
	}
	<-done
	if rows := r.Snapshot(start.Add(4 * time.Hour)).Windows[2].Rows; rows[0].Requests != 5000 {
		t.Errorf("6-hour window holds %d requests, want 5000", rows[0].Requests)
	}
}

// Guards against a snapshot of another process that makes the report fail or
// panic.
func FuzzSnapshot(f *testing.F) {
	r := burn.NewRecorder("r1", start)
	r.Record(start, chat(time.Second))
	text, err := json.Marshal(r.Snapshot(start))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, data []byte) {
		var s burn.Snapshot
		if json.Unmarshal(data, &s) != nil {
			return
		}
		var out bytes.Buffer
		report := burn.NewReport(start, []burn.Source{{Router: "r1", Snapshot: &s}})
		if err := report.WriteHTML(&out); err != nil {
			t.Fatal(err)
		}
	})
}
