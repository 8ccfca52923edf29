package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
)

// Guards against a stream that goes to a process of another version than the one at which it
// was placed, as in the incident ORDER with endpoints that start again under their ids.
func TestStreamIsSentOnlyToAListedProcessOfItsVersion(t *testing.T) {
	listed := registry.Entry{ID: "e", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 4, Born: 7, Version: "v1"}
	later := listed
	later.Born, later.Version = 9, "v2"
	stated := func(born int64) upstream.Process {
		return upstream.Process{State: upstream.ProcessStated, Born: born, Asked: true}
	}
	kept := upstream.Process{State: upstream.ProcessStated, Born: 7}
	silent := upstream.Process{State: upstream.ProcessSilent, Asked: true}
	unanswered := upstream.Process{State: upstream.ProcessNoAnswer, Asked: true}
	other := upstream.Process{State: upstream.ProcessOfOther, Asked: true}
	for _, c := range []struct {
		name string
		// said is what endpoints said before, and then the one that the stream is for.
		said []upstream.Process
		// listedLater is set if the directory shows the later process before the last of them.
		listedLater, accepted bool
	}{
		{"the listed process", []upstream.Process{stated(7)}, false, true},
		{"a kept connection to it", []upstream.Process{stated(7), kept}, false, true},
		{"a process that is not listed", []upstream.Process{stated(9)}, false, false},
		{"a process of another version", []upstream.Process{stated(9)}, true, false},
		{"a kept connection to the process before", []upstream.Process{stated(7), kept}, true, false},
		{"no statement", []upstream.Process{silent}, false, true},
		{"no answer", []upstream.Process{unanswered}, false, true},
		{"no answer where processes are stated", []upstream.Process{stated(7), unanswered}, false, false},
		{"another endpoint", []upstream.Process{other}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher(Settings{AvailabilityZone: "z"}, rand.New(rand.NewPCG(1, 2)))
			put := func(e registry.Entry) {
				change, _ := d.registry.Put(e)
				d.applyChanges(time.Now(), []registry.Change{change})
			}
			put(listed)
			a := &placedAttempt{
				dispatcher: d, incarnation: listed.Incarnation(),
				choice: placement.Choice{Endpoint: placement.Endpoint{ID: "e", Service: "s", Version: "v1"}},
			}
			accepted := false
			for i, p := range c.said {
				if c.listedLater && i == len(c.said)-1 {
					put(later)
				}
				accepted = a.AcceptProcess(p)
			}
			if accepted != c.accepted {
				t.Errorf("accepted %v, want %v", accepted, c.accepted)
			}
		})
	}
}
