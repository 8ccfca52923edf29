package fleet

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/oddvalue"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/router/membership"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Guards against an odd statement of one agent, in the answer to a probe or in a frame, that
// ends the router or takes the other agents out of use.
func TestOddStatementOfAnAgentHarmsNothing(t *testing.T) {
	serving := rpc.AgentState_AGENT_STATE_SERVING
	sound := func(agent string) *rpc.ProbeResponse {
		return &rpc.ProbeResponse{
			Agent: agent, CatalogVersion: 3, Models: []string{"m:1"}, Service: "s",
			Load: &rpc.Load{State: serving, Queued: 1, Running: 2, Limit: 8, TierDelayMs: []uint32{1, 2, 3}},
		}
	}
	for name, encoded := range oddvalue.Message(sound("odd-1")) {
		var odd rpc.ProbeResponse
		if proto.Unmarshal(encoded, &odd) != nil {
			continue
		}
		f := New(Options{Agents: []string{"10.0.0.1:1", "10.0.0.2:1"}, Seed: 1})
		f.recordProbe(membership.Probe{Name: "10.0.0.2:1"}, sound("sound-1"), nil)
		for range 3 {
			f.recordProbe(membership.Probe{Name: "10.0.0.1:1"}, &odd, nil)
			f.Load(time.Now(), dispatch.Target{Endpoint: "10.0.0.1:1", Incarnation: odd.GetAgent()}, odd.GetLoad())
		}
		f.members.ApplyList(time.Now(), f.fixedEntries())
		target, err := f.Select(time.Now(), dispatch.Query{Model: "m"})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if target.Endpoint == "10.0.0.1:1" {
			if target, err = f.Select(time.Now(), dispatch.Query{Model: "m", Excluded: []string{target.Endpoint}}); err != nil || target.Endpoint != "10.0.0.2:1" {
				t.Errorf("%s: the sound agent is not used: %+v, %v", name, target, err)
			}
		}
	}
}
