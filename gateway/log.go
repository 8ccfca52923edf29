package gateway

import (
	"math"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
)

// usualProtocol is the version of HTTP that callers are expected to speak; the log names
// others.
const usualProtocol = "HTTP/1.1"

// logRecord logs a finished request and its attempts.
func logRecord(log zerolog.Logger, r relay.Record) {
	event := log.Info().
		Str("id", r.ID).
		Str("route", r.Route).
		Str("service", r.Service).
		Str("account", r.Account).
		Int("rank", r.Priority.Rank).
		Int("route_rank", r.Priority.RouteRank).
		Int64("config", r.ConfigVersion).
		Str("result", r.Result).
		Int("status", r.Status).
		Int64("left_ms", ms(r.TimeLeft)).
		Int64("first_ms", ms(r.TimeToFirstByte)).
		Int64("total_ms", ms(r.Total))
	if r.CallerProtocol != "" && r.CallerProtocol != usualProtocol {
		event = event.Str("protocol", r.CallerProtocol)
	}
	if r.Code != 0 {
		event = event.Uint32("code", uint32(r.Code))
	}
	if r.Cause != "" {
		event = event.Str("cause", r.Cause)
	}
	if r.RetryAfter > 0 {
		event = event.Int64("retry_after_ms", ms(r.RetryAfter))
	}
	if r.Paused > 0 {
		event = event.Int64("paused_ms", ms(r.Paused))
	}
	if r.LastEventID != "" {
		event = event.Str("resumes", r.Resumes).Str("last_event", r.LastEventID).Str("stream", r.Stream).
			Str("taken_up_version", r.TakenUpVersion).Str("version_source", string(r.VersionSource))
	}
	if r.Events > 0 {
		event = event.Int("events", r.Events).Int64("max_pause_ms", ms(r.MaxPause))
	}
	if r.Broken() || r.Result == relay.Condemned || r.Result == relay.CrashSuspect {
		event = event.Str("fingerprint", hex(uint64(r.Fingerprint))).Array("parts", partIDs(r.Parts))
	}
	if r.Refusal != nil && r.Result == relay.Condemned {
		event = event.Dict("condemned", zerolog.Dict().
			Bool("part", r.Refusal.Suspect.IsPart).Str("suspect", hex(r.Refusal.Suspect.ID)).Int("rounds", r.Refusal.CrashRounds))
	}
	if r.Refusal != nil && r.Refusal.Choice != nil {
		c := r.Refusal.Choice
		refused := zerolog.Dict().
			Str("endpoint", c.Endpoint.ID).
			Int64("expected_ms", ms(c.Expected)).
			Int64("wait_ms", ms(c.Wait)).
			Int("running", c.Load.Running).
			Int("prefill", c.Load.Prefill).
			Int64("load_age_ms", ms(c.LoadAge)).
			Float64("share", hundredths(r.Refusal.RefusedShare))
		if s := r.Refusal.AccountShare; s.Standing != "" {
			refused = refused.Str("account_standing", s.Standing).
				Float64("account_level", hundredths(s.Level)).Float64("account_demand", hundredths(s.Demand))
		}
		event = event.Dict("refused", refused)
	}
	if len(r.Attempts) > 0 {
		attempts := zerolog.Arr()
		for _, a := range r.Attempts {
			attempt := zerolog.Dict().
				Str("endpoint", a.Endpoint).
				Str("version", a.Version).
				Int64("born", a.Born).
				Int64("conn_ms", ms(a.ConnAge)).
				Str("result", a.Result).
				Int64("expected_ms", ms(a.Expected)).
				Int64("took_ms", ms(a.Duration)).
				Int("uncached", a.UncachedTokens).
				Int("fetched", a.FetchedTokens).
				Int("running", a.Load.Running).
				Float64("tight", a.Load.Tight).
				Int("prefill", a.Load.Prefill).
				Int64("load_age_ms", ms(a.LoadAge))
			if a.Process != 0 {
				attempt = attempt.Int64("process", a.Process)
			}
			if r.Resumable {
				attempt = attempt.Str("process_state", a.ProcessState.String())
			}
			if a.OtherZone != "" {
				attempt = attempt.Str("other_zone", a.OtherZone)
			}
			if a.FetchedFrom != "" {
				attempt = attempt.Str("fetched_from", a.FetchedFrom)
			}
			if a.Framing != "" && (a.Broken || a.Framing == upstream.FramedByClose) {
				attempt = attempt.Str("framing", string(a.Framing))
			}
			if a.Broken {
				attempt = attempt.Bool("head", a.HeadReceived).Int("events", a.Events).Int("partial_bytes", a.PartialEventBytes)
			}
			attempts = attempts.Dict(attempt)
		}
		event = event.Array("attempts", attempts)
	}
	event.Msg("request")
}

// hundredths rounds to two decimals.
func hundredths(x float64) float64 { return math.Round(x*100) / 100 }

func ms(d time.Duration) int64 { return d.Milliseconds() }

// maxLoggedParts bounds the parts of a prompt in one line.
const maxLoggedParts = 16

// partIDs returns the ids of the first maxLoggedParts parts of a prompt.
func partIDs(parts []placement.Part) *zerolog.Array {
	ids := zerolog.Arr()
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		ids = ids.Str(hex(p.ID))
	}
	return ids
}

func hex(n uint64) string { return strconv.FormatUint(n, 16) }
