package relay

import (
	"context"
	"time"
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
)

// streamName returns the name of a stream that may be resumed: the id of the caller's attempt
// that brought its first event, or will. It is empty for other requests, and for a taken-up
// stream whose caller does not name it.
func (x *exchange) streamName() string {
	switch {
	case x.route == nil || !x.route.Resumable:
		return ""
	case x.fields.LastEventID != "":
		return x.fields.Resumes
	}
	return x.fields.ID
}

// resolveVersion determines the version at which a stream that the caller takes up may go
// on. It returns false if that is not known; other requests need none.
func (x *exchange) resolveVersion(ctx context.Context, service string) bool {
	if !x.route.Resumable || x.fields.LastEventID == "" {
		return true
	}
	until := time.Now().Add(versionWait)
	for {
		left := time.Duration(0)
		if x.fields.HasDeadline {
			left = x.fields.TimeLeft - time.Since(x.arrived)
		}
		if version, source, known := x.options.Placer.ResolveStream(service, x.streamName(), left); known {
			x.continues = &version
			x.record.TakenUpVersion, x.record.VersionSource = version, source
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
	x.options.Placer.StreamBegan(x.streamName(), version)
}
