package relay

import (
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/crashes"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
	"github.com/pistachiowind/pistachiowind/gateway/versions"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// Record is the log record of one finished request.
type Record struct {
	ID, Route, Service, Account string
	ConfigVersion               int64
	Priority                    routing.Priority
	// Result names the outcome, such as "delivered" or "no_endpoint".
	Result string
	Status int
	// Code is the result code of an error response of the gateway's own; zero
	// otherwise.
	Code resultcode.Code
	// Cause is the last error; empty if there was none.
	Cause    string
	Attempts []AttemptRecord
	// TimeToFirstByte is the time from the arrival of the request until the head of a
	// stream, or a whole plain response, is ready to be sent to the caller. It is zero
	// for error responses of the gateway and 5xx responses of endpoints. Total is the
	// time from the arrival to the end.
	TimeToFirstByte, Total time.Duration
	// TimeLeft is the time from the arrival to the deadline.
	TimeLeft   time.Duration
	RetryAfter time.Duration
	// Refusal holds the inputs of the decision to refuse the request; nil for other
	// results.
	Refusal *Refusal
	// Paused is the time that the request waited as Refusal.Pause asked.
	Paused time.Duration
	// Events is the number of writes of events to the caller; one write may hold
	// several events.
	Events int
	// MaxPause is the longest time between two such writes.
	MaxPause time.Duration
	// Resumable is true for a stream that may be resumed.
	Resumable bool
	// Resumes is the attempt that the caller names as it takes a stream up, and LastEventID the
	// last event that it has; empty for a new stream. Stream is the attempt that began the
	// stream, as far as that is known.
	Resumes, LastEventID, Stream string
	// TakenUpVersion is the version at which such a stream may go on, and VersionSource how it
	// was found; empty if it was not.
	TakenUpVersion string
	VersionSource  versions.Source
	// Fingerprint is the hash by which a request that crashes endpoints is recognised, and
	// Parts are the segments of its prompt.
	Fingerprint crashes.Fingerprint
	Parts       []placement.Part
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// CallerProtocol is the version of HTTP that the caller speaks, such as "HTTP/1.0".
	CallerProtocol string
}

// Broken reports whether an attempt of the request ended with the connection to its
// endpoint.
func (r *Record) Broken() bool {
	return slices.ContainsFunc(r.Attempts, func(a AttemptRecord) bool { return a.Broken })
}

// AttemptRecord is the part of a Record about one attempt.
type AttemptRecord struct {
	Endpoint string
	// OtherZone is the availability zone of the endpoint if the request left its own one;
	// empty otherwise.
	OtherZone string
	// Version is the version of the endpoint's software, and Born the start of its process in
	// Unix milliseconds, both as the directory showed them when it was chosen.
	Version string
	Born    int64
	// Process is the start of the endpoint's process as it stated it on the connection, in Unix
	// milliseconds; zero if it was not asked or did not state it.
	Process int64
	// ProcessState is what the endpoint stated of its process for this attempt. Only streams that
	// may be resumed need it; others are sent whatever is known.
	ProcessState upstream.ProcessState
	// ConnAge is how long the connection was open as the request was sent; valid with a
	// valid head of a response.
	ConnAge time.Duration
	// Expected is the estimated time to the first event or to the plain response.
	Expected time.Duration
	// UncachedTokens is the estimated number of prompt tokens that the endpoint has to
	// compute.
	UncachedTokens int
	// FetchedTokens is the expected number of prompt tokens that the endpoint fetches from
	// the cache of another one.
	FetchedTokens int
	// FetchedFrom is the address of that other endpoint; empty for no fetch.
	FetchedFrom string
	// Load is the load that was assumed of the endpoint. LoadAge is the time since a
	// peer last updated its part of it; zero if none ever did.
	Load    placement.Load
	LoadAge time.Duration
	// Duration is the duration of the attempt.
	Duration time.Duration
	// Result names the outcome of the attempt, such as "delivered" or "unanswered".
	Result string
	// HeadReceived is true if a valid head of a response arrived, and Events is the number
	// of writes of events to the caller in this attempt.
	HeadReceived bool
	Events       int
	// Broken is true if the attempt counts as one whose connection broke.
	Broken bool
	// Framing is how the endpoint marked the end of its response; empty without a valid head.
	Framing upstream.Framing
	// PartialEventBytes is the number of bytes of an incomplete event that were buffered when
	// the stream ended.
	PartialEventBytes int
}

// Observer receives the records of finished requests, for the log and the
// metrics. Its methods must not block.
type Observer interface {
	Finished(Record)
}
