package relay

import (
	"context"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/versions"
)

const (
	// versionWait is how long a stream that a caller takes up waits for its version: the
	// gateway at which it broke off may state it in this moment.
	versionWait = 300 * time.Millisecond
	// versionPollInterval is how often the version is asked for meanwhile.
	versionPollInterval = 20 * time.Millisecond
	// versionRetryAfter is the Retry-After of a stream whose version is not known. What is
	// not known after versionWait is learnt with the next changes of the site, if at all.
	versionRetryAfter = time.Second
	// keepWait is how long the first answer to a taken-up stream waits until other gateways can
	// tell what its attempt took up, and keepPollInterval how often that is asked.
	keepWait         = 100 * time.Millisecond
	keepPollInterval = 5 * time.Millisecond
)

// TakeUp is an attempt of a caller that takes a stream up.
type TakeUp struct {
	Attempt string
	// Resumes is the attempt that the caller names; empty if it names none.
	Resumes string
	// TimeLeft is the time until the deadline of the caller.
	TimeLeft time.Duration
	// Arrived is when the request arrived.
	Arrived time.Time
}

// TakenUp is where a taken-up stream may go on.
type TakenUp struct {
	Service string
	// Known is set if the version at which the stream began is known.
	Version string
	Known   bool
	// Stream is the attempt that began the stream, and Source how its version was found, for
	// the log.
	Stream string
	Source versions.Source
}

// takesUp reports whether the request takes up a stream that broke off.
func (x *exchange) takesUp() bool {
	return x.route != nil && x.route.Resumable && x.fields.LastEventID != ""
}

// attemptName returns the id by which a caller may name the attempt later. One without an id
// can only be named as it names the stream.
func (x *exchange) attemptName() string {
	if x.fields.ID == "" {
		return x.fields.Resumes
	}
	return x.fields.ID
}

// takeUp determines where a stream that the caller takes up may go on, and lets the Placer
// record the attempt. That precedes each answer: a caller may name an attempt that was refused.
func (x *exchange) takeUp() TakenUp {
	x.takeUpRecorded = true
	left := time.Duration(0)
	if x.fields.HasDeadline {
		left = x.fields.TimeLeft - time.Since(x.arrived)
	}
	t := x.options.Placer.TakeUp(x.route, TakeUp{Attempt: x.attemptName(), Resumes: x.fields.Resumes, TimeLeft: left, Arrived: x.arrived})
	x.record.Stream = t.Stream
	return t
}

// resolveStream determines the service of the request, and the version at which a stream that
// the caller takes up may go on. It returns false if that is not known; other requests need
// none.
func (x *exchange) resolveStream(ctx context.Context) bool {
	switch {
	case !x.route.Resumable:
		x.record.Service = x.options.PickService(x.route, "")
		return true
	case !x.takesUp():
		x.record.Service = x.options.PickService(x.route, x.fields.ID)
		return true
	}
	until := time.Now().Add(versionWait)
	for {
		t := x.takeUp()
		x.record.Service = t.Service
		if t.Known {
			x.continues = &t.Version
			x.record.TakenUpVersion, x.record.VersionSource = t.Version, t.Source
			return true
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return false
		}
		select {
		case <-ctx.Done():
		case <-time.After(versionPollInterval):
		}
	}
}

// recordVersion restricts a stream that has an event to the version that brought it.
func (x *exchange) recordVersion() {
	if !x.route.Resumable || x.streamBegan {
		return
	}
	version := x.attemptVersion
	x.continues, x.streamBegan = &version, true
	x.options.Placer.StreamBegan(x.attemptName(), x.record.Service, version)
	x.awaitKept()
}

// awaitKept waits for a moment until other gateways can tell what the attempt took up, so that
// the caller can name it although this gateway ends.
func (x *exchange) awaitKept() {
	if !x.takeUpRecorded {
		return
	}
	until := time.Now().Add(keepWait)
	for !x.options.Placer.TakeUpKept(x.attemptName()) && time.Now().Before(until) {
		select {
		case <-x.r.Context().Done():
			return
		case <-time.After(keepPollInterval):
		}
	}
}
