package relay

import (
	"strings"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
)

// pausingPlacer asks for a pause before it places the first attempt.
type pausingPlacer struct {
	*fakePlacer
	pause time.Duration
	asked int
}

func (p *pausingPlacer) Admit(w *placement.Work, r AdmissionRequest) (PlacedAttempt, *Refusal) {
	if p.asked++; p.asked == 1 {
		return nil, &Refusal{Reason: CrashSuspect, RetryAfter: p.pause, Pause: p.pause}
	}
	return p.fakePlacer.Admit(w, r)
}

// Guards against a request that is refused, or sent at once, where the Placer asks for a
// pause, and against one that waits beyond its time instead of being refused while that is
// true.
func TestPauseOfThePlacerIsKept(t *testing.T) {
	for name, c := range map[string]struct {
		pause  time.Duration
		status string
		asked  int
	}{
		"fits":   {50 * time.Millisecond, "HTTP/1.1 200", 2},
		"no fit": {time.Minute, "HTTP/1.1 429", 1},
	} {
		endpoint := newScriptedEndpoint(t, "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\nContent-Length: 2\r\n\r\nok")
		s := newHarness(t, testTable(), endpoint)
		placer := &pausingPlacer{fakePlacer: s.placer, pause: c.pause}
		s.relay.options.Placer = placer
		began := time.Now()
		response := s.call("GET /charge/1 HTTP/1.1\r\nHost: site.example\r\nId: r1\r\nKey: k1\r\nConnection: close\r\n\r\n")
		if !strings.HasPrefix(response, c.status) || placer.asked != c.asked {
			t.Errorf("%s: asked %d times, %q", name, placer.asked, response)
		}
		if c.asked > 1 && time.Since(began) < c.pause {
			t.Errorf("%s: sent before the pause had ended", name)
		}
	}
}
