package gateway

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiowind/pistachiowind/gateway/crashes"
	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
)

// beginTime is how long after its first bytes an answer that breaks may still have crashed
// its endpoint through a part of its prompt: such a part does so as the answer begins.
const beginTime = 500 * time.Millisecond

// suspectsOf returns what may crash the endpoint of a request: the request itself and the
// parts that other requests may share.
func suspectsOf(w *placement.Work, f crashes.Fingerprint) []crashes.Suspect {
	shared := w.SharedParts()
	suspects := make([]crashes.Suspect, 0, 1+len(shared))
	suspects = append(suspects, crashes.Suspect{ID: uint64(f)})
	for _, p := range shared {
		suspects = append(suspects, crashes.Suspect{IsPart: true, ID: p.ID})
	}
	return suspects
}

// processHash returns the hash of an endpoint process.
func processHash(i registry.Incarnation) uint64 { return placement.ProcessHash(i.ID, i.Born) }

// process returns the hash of the process that the attempt was sent to. One that came after the
// listed process, and is not listed itself, is told apart by the refused connections before it.
func (a *placedAttempt) process() uint64 {
	listed := processHash(a.incarnation)
	if a.refusals == 0 {
		return listed
	}
	h := xxhash.New()
	// Writes to a hash do not fail.
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, listed))
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(a.refusals)))
	return h.Sum64()
}

// checkSuspects returns the verdict on a request. The mutex is held.
func (d *dispatcher) checkSuspects(now time.Time, suspects []crashes.Suspect) crashes.Verdict {
	return d.crashes.Check(now, suspects, len(d.alivePeers)+1, d.triesSuspect)
}

// triesSuspect reports whether this gateway, rather than a peer, tries a condemned suspect
// again. One that has lost its peers tries none, as they may do so. The mutex is held.
func (d *dispatcher) triesSuspect(s crashes.Suspect) bool {
	if d.isolated {
		return false
	}
	rank := func(address string) uint64 {
		return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(address), s.ID))
	}
	own := rank(d.settings.Listen.Peers)
	return !slices.ContainsFunc(d.alivePeers, func(peer string) bool { return rank(peer) > own })
}

// setAlivePeers sets the addresses of the peers with a recent statement, and whether this
// gateway has lost most of its peers.
func (d *dispatcher) setAlivePeers(alive []string, isolated bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.alivePeers, d.isolated = alive, isolated
}

// recordBroken records an attempt whose connection broke. The parts of its prompt are no
// suspects if its answer had begun some time before. The mutex is held.
func (d *dispatcher) recordBroken(now time.Time, a *placedAttempt) {
	suspects := a.suspects
	if a.started && now.Sub(a.startedAt) >= beginTime {
		suspects = suspects[:1]
	}
	if a.isCurrent() {
		d.recordProcessEnd(a.incarnation.ID, now)
	}
	d.onSuspects(d.crashes.RecordLocal(crashes.Crash{Endpoint: a.process(), At: now, Suspects: suspects}))
}

// addCrashes adds the crashes and the suspects to a statement.
func (d *dispatcher) addCrashes(now time.Time, s *wire.Statement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	statement := d.crashes.Statement(now, len(d.alivePeers)+1)
	s.Crashes = encodeCrashes(now, statement.Crashes)
	s.Standing = encodeCrashes(now, statement.Standing)
	for _, c := range statement.Cleared {
		s.Cleared = append(s.Cleared, &wire.Suspect{Id: c.ID, Part: c.IsPart})
	}
	for _, t := range statement.Trials {
		s.Tried = append(s.Tried, &wire.Suspect{Id: t.Suspect.ID, Part: t.Suspect.IsPart, Trials: uint32(t.Count)})
	}
}

func encodeCrashes(now time.Time, list []crashes.Crash) []*wire.Crash {
	var encoded []*wire.Crash
	for _, c := range list {
		w := &wire.Crash{Endpoint: c.Endpoint, AgoMs: uint64(max(now.Sub(c.At), 0).Milliseconds())}
		for _, s := range c.Suspects {
			if s.IsPart {
				w.Parts = append(w.Parts, s.ID)
			} else {
				w.Requests = append(w.Requests, s.ID)
			}
		}
		encoded = append(encoded, w)
	}
	return encoded
}

func decodeCrash(now time.Time, w *wire.Crash) crashes.Crash {
	// A faulty peer must not make the time overflow.
	ago := time.Duration(min(w.AgoMs, uint64(maxCrashAge.Milliseconds()))) * time.Millisecond
	c := crashes.Crash{Endpoint: w.Endpoint, At: now.Add(-ago)}
	for _, id := range w.Requests {
		c.Suspects = append(c.Suspects, crashes.Suspect{ID: id})
	}
	for _, id := range w.Parts {
		c.Suspects = append(c.Suspects, crashes.Suspect{IsPart: true, ID: id})
	}
	return c
}

// maxCrashAge bounds the age of a crash in a peer's statement.
const maxCrashAge = 30 * 24 * time.Hour

// applyCrashes applies the crashes and the suspects in a peer's statement. The mutex is
// held.
func (d *dispatcher) applyCrashes(now time.Time, s *wire.Statement) {
	for _, c := range s.Cleared {
		d.onSuspects(d.crashes.RecordCleared(crashes.Suspect{IsPart: c.Part, ID: c.Id}))
	}
	for _, c := range s.Crashes {
		crash := decodeCrash(now, c)
		d.recordProcessEnd(d.fleet.ProcessName(crash.Endpoint), crash.At)
		d.onSuspects(d.crashes.Record(crash))
	}
	for _, c := range s.Standing {
		d.onSuspects(d.crashes.RecordStanding(now, decodeCrash(now, c)))
	}
	for _, t := range s.Tried {
		d.crashes.RecordTrials(now, crashes.Suspect{IsPart: t.Part, ID: t.Id}, int(t.Trials))
	}
}

// condemnedSuspects returns the number of condemned requests and parts.
func (d *dispatcher) condemnedSuspects() (requests, parts int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes.Condemned()
}

// refuseCondemned returns the refusal of a request with a condemned suspect.
func refuseCondemned(v crashes.Verdict) *relay.Refusal {
	return &relay.Refusal{Reason: relay.Condemned, RetryAfter: condemnedRetryAfter, Suspect: v.Suspect, CrashRounds: v.Rounds}
}

// logSuspects logs the suspects whose state changes.
func (g *Gateway) logSuspects(changes []crashes.Change) {
	for _, c := range changes {
		message := "suspected of crashing endpoints"
		switch {
		case c.Rounds == 0:
			message = "no longer suspected of crashing endpoints"
		case c.Condemned:
			message = "condemned for crashing endpoints"
		}
		g.log.Info().Bool("part", c.Suspect.IsPart).Str("suspect", hex(c.Suspect.ID)).Int("rounds", c.Rounds).
			Bool("by_peer", c.ByPeer).Msg(message)
	}
}

func (g *Gateway) logTrial(request string, v crashes.Verdict) {
	g.log.Info().Str("id", request).Bool("part", v.Suspect.IsPart).Str("suspect", hex(v.Suspect.ID)).Int("rounds", v.Rounds).
		Msg("condemned suspect is tried with one request")
}
