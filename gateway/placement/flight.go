package placement

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of the newest observation.
	smoothing = 0.15
	// minRatio and maxRatio bound one observation of slowness, so that a single
	// outlier does not decide.
	minRatio, maxRatio = 0.4, 8.0
	// slownessHalfLife is the time in which the slowness of an endpoint without
	// new observations moves half way to 1.
	slownessHalfLife = 3 * time.Second
)

// Flight is a request at an endpoint, from its send to its end.
type Flight struct {
	endpoint *endpoint
	service  *service
	load     Load
	work     *Work
	sentAt   time.Time
	ahead    int
	uncached int
	// fetch is the expected time of a fetch in milliseconds.
	fetch    float64
	expected time.Duration
	started  bool
	ended    bool
}

// Send notes that a request goes to the chosen endpoint.
func (f *Fleet) Send(now time.Time, w *Work, c Choice) *Flight {
	e := f.endpoints[c.Endpoint.ID]
	if e == nil {
		return &Flight{ended: true, started: true}
	}
	s := f.services[e.Service]
	flight := &Flight{
		endpoint: e, service: s, work: w, sentAt: now,
		ahead: c.Load.Prefill, uncached: c.Uncached, fetch: s.fetchTime(e, c.Fetched), expected: c.Expected,
	}
	flight.load = Load{Running: 1}
	if w.Streaming {
		flight.load.Memory = w.PromptTokens + w.OutputTokens
		flight.load.Prefill = c.Uncached
		f.unstated += c.Uncached
		flight.load.Tight = w.strictness(s.strictestPause)
		s.strict.sent(flight.load.Tight)
		for _, p := range w.shared() {
			if e.cache.use(p, now.Add(c.Expected), c.Load.Memory) {
				f.notePlacement(Placement{Endpoint: e.hash, Part: p, At: now})
			}
		}
	}
	e.own.add(flight.load, 1)
	return flight
}

// Started notes the first event, or the head of a plain answer.
func (fl *Flight) Started(now time.Time) {
	if fl.started {
		return
	}
	fl.started = true
	took := float64(now.Sub(fl.sentAt)) / float64(time.Millisecond)
	fl.learn(now, took)
	fl.endpoint.own.add(Load{Prefill: fl.load.Prefill}, -1)
	fl.load.Prefill = 0
}

func (fl *Flight) learn(now time.Time, took float64) {
	if !fl.work.Streaming {
		expected := max(float64(fl.expected)/float64(time.Millisecond), 1)
		fl.endpoint.observe(now, took/expected)
		fl.service.plainTime += smoothing * (took/fl.endpoint.slowness - fl.service.plainTime)
		return
	}
	read := float64(fl.ahead + fl.uncached)
	begin := float64(startTime.Milliseconds())
	if fl.uncached >= minPromptForRate && fl.ahead <= fl.uncached {
		fl.service.ownSpeed.observe(read / max(took-begin-fl.fetch, 1))
		fl.service.combine()
	}
	if speed := fl.service.prefill(); speed.Weight >= knownFrom {
		expected := (read/speed.Rate+begin)*fl.endpoint.slowness + fl.fetch
		fl.endpoint.observe(now, took/expected)
	}
}

func (e *endpoint) observe(now time.Time, ratio float64) {
	ratio = min(max(ratio, minRatio), maxRatio)
	e.decay(now)
	e.slowness = math.Exp(math.Log(e.slowness) + smoothing*(math.Log(ratio)))
	e.slowness = min(max(e.slowness, minRatio), maxRatio)
	e.seenAt = now
}

func (e *endpoint) decay(now time.Time) {
	if e.seenAt.IsZero() {
		return
	}
	halves := float64(now.Sub(e.seenAt)) / float64(slownessHalfLife)
	e.slowness = math.Exp(math.Log(e.slowness) * math.Pow(0.5, halves))
	e.seenAt = now
}

// Ratio returns the time since the send relative to what was expected.
func (fl *Flight) Ratio(now time.Time) float64 {
	return float64(now.Sub(fl.sentAt)) / max(float64(fl.expected), float64(startTime))
}

// End notes the end of the request, however it ended. One that had not started
// by then shows how long a start takes at least; without it, only the fast starts
// of a slow endpoint would count.
func (fl *Flight) End(now time.Time) {
	if fl.ended {
		return
	}
	fl.ended = true
	if ratio := fl.Ratio(now); !fl.started && ratio > 1 {
		fl.endpoint.observe(now, ratio)
	}
	if fl.work.Streaming {
		fl.service.strict.ended(fl.load.Tight, fl.uncached, now.Sub(fl.sentAt))
	}
	fl.endpoint.own.add(fl.load, -1)
}
