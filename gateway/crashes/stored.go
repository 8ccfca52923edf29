package crashes

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// maxStored bounds the suspects in the store; those with the most rounds are kept.
const maxStored = 64

// storedSuspects is the JSON form of the suspects in the store.
type storedSuspects struct {
	Suspects []storedSuspect `json:"suspects"`
}

type storedSuspect struct {
	Part bool `json:"part"`
	// ID is in hexadecimal, as are the endpoint processes in Rounds.
	ID string `json:"id"`
	// Rounds holds the endpoint processes that crashed in each round.
	Rounds [][]string `json:"rounds"`
	Trials int        `json:"trials,omitempty"`
	// LastUnix is the time of the last crash in Unix seconds.
	LastUnix int64 `json:"last_unix"`
}

// setUnstored records that the store lacks a change of a suspect.
func (t *Table) setUnstored(s Suspect) {
	if len(t.unstored) < maxStanding {
		t.unstored[s] = struct{}{}
	}
}

// Unstored reports whether the store lacks something that this gateway observed itself: a
// change of a suspect of several crashes or, with single set, any crash.
func (t *Table) Unstored(single bool) bool { return len(t.unstored) > 0 || single && t.unstoredCrash }

// Load adds the suspects in the store to the table. The value is that of Encode, or empty.
// It returns the suspects whose state changes, and an error if the value, or a suspect in
// it, cannot be decoded; the other suspects are added all the same.
func (t *Table) Load(now time.Time, value []byte) ([]Change, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var stored struct {
		Suspects []json.RawMessage `json:"suspects"`
	}
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, fmt.Errorf("decode stored suspects: %w", err)
	}
	var changes []Change
	var failed error
	for _, text := range stored.Suspects[:min(len(stored.Suspects), maxStored)] {
		loaded, err := t.loadSuspect(now, text)
		changes, failed = append(changes, loaded...), errors.Join(failed, err)
	}
	return changes, failed
}

// loadSuspect adds one of the suspects in the store.
func (t *Table) loadSuspect(now time.Time, text []byte) ([]Change, error) {
	var s storedSuspect
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("decode stored suspect: %w", err)
	}
	if now.Sub(time.Unix(s.LastUnix, 0)) > condemnedTTL {
		return nil, nil
	}
	id, err := strconv.ParseUint(s.ID, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("decode stored suspect: %w", err)
	}
	suspect := Suspect{IsPart: s.Part, ID: id}
	changes := t.loadRounds(now, suspect, s.Rounds)
	t.RecordTrials(now, suspect, s.Trials)
	t.recordStored(suspect, s)
	return changes, nil
}

// recordStored records that the store holds a suspect, and whether it lacks something of it.
func (t *Table) recordStored(s Suspect, stored storedSuspect) {
	r := t.record(s)
	if r == nil {
		return
	}
	r.stored = true
	if len(r.sightings) > 0 && r.rounds() <= len(stored.Rounds) && r.trial.count == stored.Trials {
		delete(t.unstored, s)
	}
}

// loadRounds adds the rounds of a stored suspect, whose times are not known, as the latest
// ones before now.
func (t *Table) loadRounds(now time.Time, s Suspect, rounds [][]string) []Change {
	var changes []Change
	rounds = rounds[max(len(rounds)-maxCrashes, 0):]
	for i, endpoints := range rounds {
		at := now.Add(-time.Duration(len(rounds)-i) * roundGap)
		for _, hex := range endpoints {
			endpoint, err := strconv.ParseUint(hex, 16, 64)
			if err != nil {
				continue
			}
			changes = append(changes, t.Record(Crash{Endpoint: endpoint, At: at, Suspects: []Suspect{s}})...)
		}
	}
	return changes
}

// Encode returns the suspects to keep in the store: those of several crashes or, with single
// set, all. They count as stored unless NotStored follows.
func (t *Table) Encode(now time.Time, single bool) ([]byte, error) {
	var stored storedSuspects
	add := func(s Suspect, r *record) {
		if r == nil || len(r.sightings) == 0 || r.expired(now) {
			return
		}
		r.stored = true
		stored.Suspects = append(stored.Suspects, storedSuspect{
			Part: s.IsPart, ID: strconv.FormatUint(s.ID, 16), Rounds: r.storedRounds(), Trials: r.trial.count,
			// The time of day, which processes share; the sightings have only the steady clock.
			LastUnix: now.Round(0).Add(-now.Sub(r.lastAt())).Unix(),
		})
	}
	t.eachStanding(add)
	if single {
		for _, s := range t.suspects.Keys() {
			add(s, t.record(s))
		}
	}
	slices.SortStableFunc(stored.Suspects, func(a, b storedSuspect) int { return len(b.Rounds) - len(a.Rounds) })
	stored.Suspects = stored.Suspects[:min(len(stored.Suspects), maxStored)]
	clear(t.unstored)
	t.unstoredCrash = false
	return json.Marshal(stored)
}

// NotStored records that what Encode returned did not reach the store.
func (t *Table) NotStored() {
	t.unstoredCrash = true
	t.eachStanding(func(s Suspect, _ *record) { t.setUnstored(s) })
}

// storedRounds returns the endpoint processes of each round.
func (r *record) storedRounds() [][]string {
	var rounds [][]string
	var last time.Time
	for _, s := range r.sightings {
		if len(rounds) == 0 || s.at.Sub(last) >= roundGap {
			rounds = append(rounds, nil)
			last = s.at
		}
		rounds[len(rounds)-1] = append(rounds[len(rounds)-1], strconv.FormatUint(s.endpoint, 16))
	}
	return rounds
}
