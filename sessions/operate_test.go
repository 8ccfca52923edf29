package sessions

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/demo"
)

func TestTwoOperators(t *testing.T) {
	s := startSession(t, "Guards against an operator whose change overwrites another one that it did not see.",
		demo.SiteOptions{Engines: 1, Routers: 2})
	s.callAdmin(0, request("PUT /v1/profiles/chat", profileChange("first", 2500)))
	s.callAdmin(1, request("PUT /v1/profiles/chat", profileChange("second", 4000)))
	s.callAdmin(1, request("GET /v1/profiles/chat", ""))
	s.await("change in effect everywhere", func() bool {
		for _, v := range s.CatalogVersions() {
			if v != 2 {
				return false
			}
		}
		return true
	})
	s.addNote("catalog versions in effect: %v", s.CatalogVersions())
	s.checkGolden()
}

func profileChange(id string, firstTokenMS int) string {
	return fmt.Sprintf(`{"change_id":%q,"base_version":1,"profile":{"name":"chat","tier":1,"idempotent":true,`+
		`"target":{"first_token_ms":%d,"inter_token_ms":100},"limits":{"max_wait_ms":10000}}}`, id, firstTokenMS)
}

// callAdmin sends a request to the admin listener of a router with the operator's
// key.
func (s *session) callAdmin(router int, request string) {
	s.t.Helper()
	c := s.dial(fmt.Sprintf("router-%d, admin", router+1), s.Routers[router].AdminAddress())
	c.write(strings.Replace(request, demo.InsuranceKey, demo.OperatorKey, 1))
	c.readHead()
	c.readRest()
}

func TestRouterDrain(t *testing.T) {
	s := startSession(t, "Guards against a drain of a router that interrupts an open stream or takes new requests, and against a refusal without Retry-After.",
		demo.SiteOptions{Engines: 1, Routers: 2, EngineModel: slowEngine})
	release := s.standIns.holdStreams(2)
	open := s.send(0, chat(`"max_tokens":5,"stream":true`))
	text := open.readEvents(2)
	s.callAdmin(0, request("POST /v1/drain", ""))
	refused := s.dial("router-1", s.Routers[0].CallersAddress())
	s.await("refusal of new requests", func() bool { return s.modelsStatus(0) == 503 })
	refused.write(chat(`"max_tokens":5`))
	refused.readHead()
	refused.readRest()
	release()
	text += open.readRest()
	s.checkText(text, "hello", `"max_tokens":5`)
	s.call(1, chat(`"max_tokens":5`))
	s.await("end of the router", func() bool { return s.states.has("router-1", "router", "stopped") })
	s.checkGolden()
}

// modelsStatus requests the models of a router and returns the status; it is not recorded.
func (s *session) modelsStatus(router int) int {
	c := s.unrecorded(func() *caller { return s.send(router, request("GET /v1/models", "")) })
	defer c.conn.Close()
	return c.resp.StatusCode
}

func TestAgentDrain(t *testing.T) {
	s := startSession(t, "Guards against a drain of an agent that interrupts an open stream or gets new work.",
		demo.SiteOptions{Engines: 2, Routers: 1, EngineModel: slowEngine})
	release := s.standIns.holdStreams(2)
	open := s.send(0, chat(`"max_tokens":5,"stream":true`))
	text := open.readEvents(2)
	leaving := s.enginesWithStarted(1)[0]
	c := s.dial("agent of "+engineName(leaving)+", admin", s.Agents[leaving].AdminAddress())
	c.write(requestWith(demo.OperatorKey, "POST /v1/drain", ""))
	c.readHead()
	c.readRest()
	s.await("drain", func() bool { return s.Agents[leaving].Status().State == admin.StateDraining })
	// The router would spread these requests over both engines if the draining agent
	// accepted new work.
	var later []*caller
	for range 6 {
		c := s.send(0, chat(`"max_tokens":5,"stream":true`))
		c.readEvents(2)
		later = append(later, c)
	}
	release()
	text += open.readRest()
	s.checkText(text, "hello", `"max_tokens":5`)
	for _, c := range later {
		c.readRest()
	}
	s.await("end of the agent", func() bool { return s.states.has(engineName(leaving), "agent", "stopped") })
	s.checkGolden()
}
