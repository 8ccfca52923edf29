package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against endpoints that crash one after the other on requests that differ but share
// a part of their prompts, as in the incident BUDGET, and against refusing sound requests
// that share the other parts with them.
func TestRequestsWithADeadlyPartStopReachingEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const until = 30 * time.Second
		site := newCrashSite(1, 12, 5)
		site.deadlyFrom(4*time.Second, 0.8)
		site.run(until)
		site.check(t, until)
	})
}
