package dispatch

import (
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/router/recovery"
)

// failures counts the failures that a fleet is told of.
type failures struct {
	Fleet
	n int
}

func (f *failures) Failed(time.Time, Target) { f.n++ }

// Guards against a refusal, or an attempt that the router gave up, that also counts
// as a failure of the endpoint when its stream ends: a burst of refusals ejected
// endpoints.
func TestEndAfterLastFrameIsNoFailure(t *testing.T) {
	fleet := &failures{}
	f := &flight{
		Dispatcher: New(Options{Fleet: fleet}),
		machine:    recovery.New(recovery.Options{Idempotent: true}),
	}
	action := f.streamEnded(&call{ended: true}, streamEvent{stream: &stream{}, end: endBroken})
	if fleet.n != 0 || action.Kind != (recovery.Action{}).Kind {
		t.Errorf("%d failures, action %v", fleet.n, action.Kind)
	}
	f.streamEnded(&call{}, streamEvent{stream: &stream{}, end: endBroken})
	if fleet.n != 1 {
		t.Errorf("%d failures of a broken stream", fleet.n)
	}
}
