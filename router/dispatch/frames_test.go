package dispatch

import (
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/router/recovery"
)

// failures counts the failures reported to a fleet.
type failures struct {
	Fleet
	n int
}

func (f *failures) Failed(time.Time, Target) { f.n++ }

// Guards against counting the end of a stream after a refusal, or after the router
// abandoned the attempt, as a failure of the endpoint. A burst of refusals ejected
// endpoints this way.
func TestEndAfterLastFrameIsNoFailure(t *testing.T) {
	fleet := &failures{}
	f := &inFlightRequest{
		Dispatcher: New(Options{Fleet: fleet}),
		machine:    recovery.New(recovery.Options{Idempotent: true}),
	}
	action := f.streamEnded(&attempt{ended: true}, streamEvent{stream: &stream{}, end: endBroken})
	if fleet.n != 0 || action.Kind != (recovery.Action{}).Kind {
		t.Errorf("%d failures, action %v", fleet.n, action.Kind)
	}
	f.streamEnded(&attempt{}, streamEvent{stream: &stream{}, end: endBroken})
	if fleet.n != 1 {
		t.Errorf("%d failures after a broken stream", fleet.n)
	}
}
