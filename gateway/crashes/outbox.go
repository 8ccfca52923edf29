package crashes

import (
	"slices"
	"time"
)

const (
	// reportRepeat is the number of successive statements that include a crash or a cleared
	// suspect, so that the loss of a datagram does not lose it.
	reportRepeat = 3
	// maxReports bounds the crashes, and maxClearedReports the cleared suspects, that wait
	// to be stated; the oldest are dropped.
	maxReports        = 256
	maxClearedReports = 128
	// maxStated bounds the suspects in one statement, those in crashes and the cleared ones
	// together. A crash takes the room of crashRoom suspects besides its own ones.
	maxStated = 320
	crashRoom = 3
	// maxReportSuspects bounds the suspects in one reported crash.
	maxReportSuspects = 128
	// standingInterval and standingPerGateway determine how often a gateway states the
	// suspects of several crashes: each second, or as often as keeps the sum over all
	// gateways at about 20 a second, so that one that starts hears of them at once.
	standingInterval   = time.Second
	standingPerGateway = 50 * time.Millisecond
	// restateInterval is the least time between two statements that a suspect is cleared,
	// made because a peer still holds it for a suspect.
	restateInterval = time.Second
)

// outbox holds what is to be stated to the peers.
type outbox struct {
	reports []*report
	cleared []*clearedReport
	// urgent is set while there is something that the peers should know soon.
	urgent           bool
	standingStatedAt time.Time
}

type report struct {
	Crash
	stated int
}

type clearedReport struct {
	suspect Suspect
	stated  int
}

// addReport adds a crash, or its suspects to a crash of the same endpoint that was not
// stated yet.
func (o *outbox) addReport(c Crash) {
	o.urgent = true
	c.Suspects = slices.Clone(c.Suspects[:min(len(c.Suspects), maxReportSuspects)])
	for _, r := range o.reports {
		if r.Endpoint != c.Endpoint || r.stated > 0 || len(r.Suspects)+len(c.Suspects) > maxReportSuspects {
			continue
		}
		for _, s := range c.Suspects {
			if !slices.Contains(r.Suspects, s) {
				r.Suspects = append(r.Suspects, s)
			}
		}
		return
	}
	o.reports = append(o.reports, &report{Crash: c})
	o.reports = o.reports[max(len(o.reports)-maxReports, 0):]
}

func (o *outbox) addCleared(s Suspect, urgent bool) {
	o.urgent = o.urgent || urgent
	o.cleared = append(o.cleared, &clearedReport{suspect: s})
	o.cleared = o.cleared[max(len(o.cleared)-maxClearedReports, 0):]
}

// HasUnstated reports whether something new was not stated to the peers yet.
func (t *Table) HasUnstated() bool { return t.urgent }

// Trials is the number of trials of a condemned suspect.
type Trials struct {
	Suspect Suspect
	Count   int
}

// Statement is what a gateway states to its peers.
type Statement struct {
	// Crashes are those that this gateway observed lately, and Standing those of the
	// suspects of several crashes, whoever observed them.
	Crashes, Standing []Crash
	Cleared           []Suspect
	Trials            []Trials
}

// Statement returns what to state now, given the number of gateways.
func (t *Table) Statement(now time.Time, gateways int) Statement {
	var s Statement
	room := maxStated
	s.Cleared = t.takeCleared(&room)
	s.Crashes = t.takeReports(&room)
	if now.Sub(t.standingStatedAt) >= max(standingInterval, time.Duration(gateways)*standingPerGateway) {
		t.standingStatedAt = now
		t.expire(now)
		s.Standing, s.Trials = t.standingCrashes(&room)
	}
	t.urgent = false
	return s
}

func (o *outbox) takeCleared(room *int) []Suspect {
	var taken []Suspect
	for _, c := range o.cleared {
		if *room > 0 {
			taken = append(taken, c.suspect)
			c.stated++
			*room--
		}
	}
	o.cleared = slices.DeleteFunc(o.cleared, func(c *clearedReport) bool { return c.stated >= reportRepeat })
	return taken
}

func (o *outbox) takeReports(room *int) []Crash {
	var taken []Crash
	for _, r := range o.reports {
		if needed := crashRoom + len(r.Suspects); needed <= *room {
			taken = append(taken, r.Crash)
			r.stated++
			*room -= needed
		}
	}
	o.reports = slices.DeleteFunc(o.reports, func(r *report) bool { return r.stated >= reportRepeat })
	return taken
}

// standingCrashes returns the crashes of the standing suspects, and the trials of those
// that had some.
func (t *Table) standingCrashes(room *int) (crashes []Crash, trials []Trials) {
	byEndpoint := make(map[uint64]int)
	t.eachStanding(func(s Suspect, r *record) {
		needed := len(r.sightings)
		for _, seen := range r.sightings {
			if _, known := byEndpoint[seen.endpoint]; !known {
				needed += crashRoom
			}
		}
		if needed > *room {
			return
		}
		*room -= needed
		for _, seen := range r.sightings {
			i, known := byEndpoint[seen.endpoint]
			if !known {
				i = len(crashes)
				byEndpoint[seen.endpoint] = i
				crashes = append(crashes, Crash{Endpoint: seen.endpoint, At: seen.at})
			}
			crashes[i].Suspects = append(crashes[i].Suspects, s)
		}
		if r.trial.count > 0 {
			trials = append(trials, Trials{s, r.trial.count})
		}
	})
	return crashes, trials
}

// RecordStanding records a crash of the standing suspects of a peer. A suspect that is
// cleared here is stated to the peers once more.
func (t *Table) RecordStanding(now time.Time, c Crash) []Change {
	for _, s := range c.Suspects {
		r := t.record(s)
		if r == nil || !slices.Contains(r.cleared, c.Endpoint) || now.Sub(r.restatedAt) < restateInterval {
			continue
		}
		r.restatedAt = now
		t.addCleared(s, false)
	}
	return t.Record(c)
}
