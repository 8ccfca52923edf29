package resultcode_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// Guards against a number or name with two meanings, which programs that read the
// codes could not tell apart.
func TestCodesAreUniqueAndAscending(t *testing.T) {
	var last resultcode.Code
	names := map[string]bool{}
	for _, info := range resultcode.All() {
		if info.Code <= last {
			t.Errorf("code %d follows %d, want ascending codes", info.Code, last)
		}
		if names[info.Name] {
			t.Errorf("name %q occurs twice", info.Name)
		}
		names[info.Name] = true
		last = info.Code
	}
}

// Guards against an unexpected error that is reported as not run, although the
// request may have run.
func TestUnexpectedErrorIsUnknown(t *testing.T) {
	got := resultcode.As(errors.New("disk failure"))
	if got.EffectiveExecution() != resultcode.Unknown {
		t.Errorf("execution = %s, want unknown", got.EffectiveExecution())
	}
	wrapped := fmt.Errorf("outer: %w", resultcode.New(resultcode.QueueFull, "full"))
	if resultcode.As(wrapped).Code != resultcode.QueueFull {
		t.Error("a wrapped Error lost its code")
	}
}
