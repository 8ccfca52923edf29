package telemetry_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiowind/pistachiowind/telemetry"
)

// Guards against a process that blocks because its log is not read, and against
// lines that are lost without being counted.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := telemetry.NewBoundedWriter(10_000, time.Now)
		for i := range 5000 {
			fmt.Fprintf(w, "line %d\n", i)
		}
		var out bytes.Buffer
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := w.Serve(ctx, &out); err == nil {
			t.Error("Serve returned no error for a cancelled context")
		}
		written := strings.Count(out.String(), "\n")
		if uint64(written)+w.Dropped() != 5000 || written == 0 || w.Dropped() == 0 {
			t.Errorf("%d lines written, %d dropped; want 5000 in total and some of each", written, w.Dropped())
		}
	})
}

// Guards against a burst of log lines that takes CPU time from requests.
func TestBoundedWriterLimitsTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := telemetry.NewBoundedWriter(100, time.Now)
		for range 3 {
			for range 150 {
				fmt.Fprintln(w, "line")
			}
			time.Sleep(time.Second)
		}
		if w.Dropped() != 150 {
			t.Errorf("%d lines dropped, want 150", w.Dropped())
		}
	})
}
