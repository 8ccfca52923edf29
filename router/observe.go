package router

import (
	"sync/atomic"
	"time"

	"github.com/pistachiowind/pistachiowind/burn"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

// requestObserver records requests in the metrics and the burn report. It
// implements ingress.Observer.
type requestObserver struct {
	metrics  *telemetry.Router
	recorder *burn.Recorder
	// inDispatch counts the requests in dispatch by tier.
	inDispatch [catalog.TierCount]atomic.Int64
}

// interTokenRecorder collects the times between tokens of a request in dispatch, for
// the burn report and for the metrics. It keeps the tier of the request, because the
// catalog may change the profile meanwhile.
type interTokenRecorder struct {
	burnTimes    *burn.InterTokenTimes
	metricCounts telemetry.InterTokenCounts
	tier         int
}

// Add implements dispatch.InterTokenRecorder.
func (r *interTokenRecorder) Add(d time.Duration) {
	r.burnTimes.Add(d)
	r.metricCounts.Add(d)
}

// DispatchStarted counts a request as in dispatch and prepares the collection of
// the times between its tokens.
func (o *requestObserver) DispatchStarted(req *dispatch.Request) {
	target := time.Duration(req.Profile.Target.InterTokenMS) * time.Millisecond
	o.inDispatch[req.Profile.Tier].Add(1)
	req.Trace.InterTokenTimes = &interTokenRecorder{burnTimes: burn.NewInterTokenTimes(target), tier: req.Profile.Tier}
}

// RequestEnded records a request that was dispatched, or refused at a limit on
// open requests.
func (o *requestObserver) RequestEnded(req *dispatch.Request, result *resultcode.Error) {
	sample := newSample(time.Now(), req, result)
	o.recorder.Record(time.Now(), sample)
	o.countRequest(req, sample)
	if times, ok := req.Trace.InterTokenTimes.(*interTokenRecorder); ok {
		o.inDispatch[times.tier].Add(-1)
		o.metrics.InterToken.Merge(&times.metricCounts, telemetry.ClassLabels{Class: sample.Class})
	}
}

// newSample describes an ended request for the burn report.
func newSample(now time.Time, req *dispatch.Request, result *resultcode.Error) burn.Sample {
	t := &req.Trace
	s := burn.Sample{
		Profile:   req.Profile.Name,
		Class:     req.Profile.ClassName(),
		Tier:      req.Profile.Tier,
		Target:    req.Profile.Target,
		Execution: resultcode.Ran,
		Started:   t.Started,
		Queue:     t.Queued,
		Whole:     now.Sub(req.Received),
		Endpoint:  t.Endpoint,
	}
	if times, ok := t.InterTokenTimes.(*interTokenRecorder); ok {
		s.InterToken = times.burnTimes
	}
	if !t.FirstToken.IsZero() {
		s.FirstToken = t.FirstToken.Sub(req.Received)
	}
	if result != nil {
		s.Code = result.Code
		s.Execution = result.EffectiveExecution()
	}
	return s
}

func (o *requestObserver) countRequest(req *dispatch.Request, s burn.Sample) {
	class := telemetry.ClassLabels{Class: s.Class}
	account := telemetry.AccountLabels{Account: req.Account.Name}
	m := o.metrics
	m.Requests.Add(1, telemetry.RequestLabels{Class: s.Class, Tier: s.Tier, Code: s.Code, Execution: s.Execution})
	m.AccountRequests.Add(1, account)
	if s.Code/1000 == 2 {
		m.AccountRefused.Add(1, account)
	}
	m.Whole.Record(s.Whole, class)
	if s.Started {
		m.Queue.Record(s.Queue, class)
	}
	if s.FirstToken > 0 {
		m.FirstToken.Record(s.FirstToken, class)
	}
	m.Tokens.Add(int64(req.Trace.Tokens), class)
	if req.Trace.WastedTokens > 0 {
		m.WastedTokens.Add(int64(req.Trace.WastedTokens), class)
	}
	if met, counts := s.TargetMet(); counts {
		o.countTarget(met, class)
	}
}

func (o *requestObserver) countTarget(met bool, class telemetry.ClassLabels) {
	if met {
		o.metrics.TargetMet.Add(1, class)
		return
	}
	o.metrics.TargetMissed.Add(1, class)
}

// RequestRefused counts a request that was refused before its profile was known
// or its body was accepted.
func (o *requestObserver) RequestRefused(result *resultcode.Error) {
	o.metrics.Requests.Add(1, telemetry.RequestLabels{Code: result.Code, Execution: result.EffectiveExecution()})
}
