package placement

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of the newest observation in a moving average.
	smoothing = 0.15
	// minRatio and maxRatio bound the slowness and each observation of it, so that a
	// single outlier does not dominate.
	minRatio, maxRatio = 0.4, 8.0
	// slownessHalfLife is the time in which the slowness of an endpoint without new
	// observations moves halfway to 1, on a logarithmic scale.
	slownessHalfLife = 3 * time.Second
)

// Flight is a request in flight at an endpoint, from Send to End.
type Flight struct {
	endpoint *endpoint
	service  *service
	// load is what the request adds to the endpoint's load until it ends; its Prefill
	// is zero once the request has started.
	load   Load
	work   *Work
	sentAt time.Time
	// prefillAhead is the number of other requests' prompt tokens that the endpoint had
	// yet to read at Send; uncached is that of this request.
	prefillAhead int
	uncached     int
	// fetchMS is the expected time of a fetch of cached parts in milliseconds.
	fetchMS float64
	// expected is Choice.Expected.
	expected time.Duration
	started  bool
	ended    bool
}

// Send records that a request is sent to the chosen endpoint. The Flight has no effect
// if the endpoint has been removed since it was chosen.
func (f *Fleet) Send(now time.Time, w *Work, c Choice) *Flight {
	e := f.endpoints[c.Endpoint.ID]
	if e == nil {
		return &Flight{ended: true, started: true}
	}
	s := f.services[e.Service]
	flight := &Flight{
		endpoint: e, service: s, work: w, sentAt: now,
		prefillAhead: c.Load.Prefill, uncached: c.Uncached, fetchMS: s.fetchTimeMS(e, c.Fetched), expected: c.Expected,
	}
	flight.load = Load{Running: 1}
	if w.Streaming {
		flight.load.Memory = w.PromptTokens + w.OutputTokens
		flight.load.Prefill = c.Uncached
		f.unstatedPromptTokens += c.Uncached
		flight.load.Tight = w.strictness(s.strictestPauseMS)
		s.strict.sent(flight.load.Tight)
		f.place(now, e, w, now.Add(c.Expected), c.Load.Memory)
	}
	e.ownLoad.add(flight.load, 1)
	return flight
}

// place records that the shared parts of a request are in the cache of its endpoint from a time
// on; inUse is the number of tokens that other requests hold.
func (f *Fleet) place(now time.Time, e *endpoint, w *Work, readAt time.Time, inUse int) {
	for _, p := range w.SharedParts() {
		if e.cache.touch(p, readAt, inUse) {
			f.recordPlacement(Placement{Process: e.process, Part: p, At: now})
		}
	}
}

// Move moves a request that has not ended to the current process of its endpoint: it was sent
// to that process under the entry of the one before.
func (f *Fleet) Move(now time.Time, fl *Flight) {
	if fl.ended || f.endpoints[fl.endpoint.ID] == nil {
		return
	}
	e := f.endpoints[fl.endpoint.ID]
	fl.endpoint.ownLoad.add(fl.load, -1)
	fl.endpoint = e
	if fl.work.Streaming {
		readAt := fl.sentAt.Add(fl.expected)
		if fl.started {
			readAt = now
		}
		f.place(now, e, fl.work, readAt, e.ownLoad.Memory)
	}
	e.ownLoad.add(fl.load, 1)
}

// Started records the first event, or the head of a plain response. Only the first call
// counts.
func (fl *Flight) Started(now time.Time) {
	if fl.started {
		return
	}
	fl.started = true
	tookMS := float64(now.Sub(fl.sentAt)) / float64(time.Millisecond)
	fl.updateEstimates(now, tookMS)
	fl.endpoint.ownLoad.add(Load{Prefill: fl.load.Prefill}, -1)
	fl.load.Prefill = 0
}

// updateEstimates updates the speed estimates from the time to the first event or to
// the head of a plain response, tookMS.
func (fl *Flight) updateEstimates(now time.Time, tookMS float64) {
	if !fl.work.Streaming {
		expected := max(float64(fl.expected)/float64(time.Millisecond), 1)
		fl.endpoint.observeSlowness(now, tookMS/expected)
		fl.service.plainMS += smoothing * (tookMS/fl.endpoint.slowness - fl.service.plainMS)
		return
	}
	tokens := float64(fl.prefillAhead + fl.uncached)
	emptyPromptMS := float64(emptyPromptTime.Milliseconds())
	if fl.uncached >= minPromptForSpeed && fl.prefillAhead <= fl.uncached {
		fl.service.ownSpeed.observe(tokens / max(tookMS-emptyPromptMS-fl.fetchMS, 1))
		fl.service.combineSpeeds()
	}
	if speed := fl.service.prefillSpeed(); speed.Weight >= minKnownWeight {
		expected := (tokens/speed.Rate+emptyPromptMS)*fl.endpoint.slowness + fl.fetchMS
		fl.endpoint.observeSlowness(now, tookMS/expected)
	}
}

// observeSlowness takes the ratio of an observed to an expected time into account.
func (e *endpoint) observeSlowness(now time.Time, ratio float64) {
	ratio = min(max(ratio, minRatio), maxRatio)
	e.decaySlowness(now)
	e.slowness = math.Exp(math.Log(e.slowness) + smoothing*(math.Log(ratio)))
	e.slowness = min(max(e.slowness, minRatio), maxRatio)
	e.slownessAt = now
}

// decaySlowness moves the slowness towards 1 for the time since its last update.
func (e *endpoint) decaySlowness(now time.Time) {
	if e.slownessAt.IsZero() {
		return
	}
	halfLives := float64(now.Sub(e.slownessAt)) / float64(slownessHalfLife)
	e.slowness = math.Exp(math.Log(e.slowness) * math.Pow(0.5, halfLives))
	e.slownessAt = now
}

// ElapsedRatio returns the time since Send relative to the expected time to the first
// event or to the plain response, or to emptyPromptTime if that is longer.
func (fl *Flight) ElapsedRatio(now time.Time) float64 {
	return float64(now.Sub(fl.sentAt)) / max(float64(fl.expected), float64(emptyPromptTime))
}

// End records the end of the request, whatever its result. If the request had not
// started and is later than expected, its time counts as an observation, since the start
// would have taken at least as long. Otherwise only the fast starts of a slow endpoint
// would count. Calls after the first one have no effect.
func (fl *Flight) End(now time.Time) {
	if fl.ended {
		return
	}
	fl.ended = true
	if ratio := fl.ElapsedRatio(now); !fl.started && ratio > 1 {
		fl.endpoint.observeSlowness(now, ratio)
	}
	if fl.work.Streaming {
		fl.service.strict.ended(fl.load.Tight, fl.uncached, now.Sub(fl.sentAt))
	}
	fl.endpoint.ownLoad.add(fl.load, -1)
}
