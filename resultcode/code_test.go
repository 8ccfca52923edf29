package resultcode_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// Guards against two meanings for one number, which would mislead every
// program that reads the codes.
func TestCodesAreUniqueAndAscending(t *testing.T) {
	var last resultcode.Code
	names := map[string]bool{}
	for _, info := range resultcode.All() {
		if info.Code <= last {
			t.Errorf("code %d follows %d", info.Code, last)
		}
		if names[info.Name] {
			t.Errorf("name %q occurs twice", info.Name)
		}
		names[info.Name] = true
		last = info.Code
	}
}

// Guards against an unexpected error being reported as not run.
func TestUnexpectedErrorIsUnknown(t *testing.T) {
	got := resultcode.As(errors.New("disk on fire"))
	if got.Verdict() != resultcode.Unknown {
		t.Errorf("verdict = %s, want unknown", got.Verdict())
	}
	wrapped := fmt.Errorf("outer: %w", resultcode.New(resultcode.QueueFull, "full"))
	if resultcode.As(wrapped).Code != resultcode.QueueFull {
		t.Error("code lost in wrapping")
	}
}
