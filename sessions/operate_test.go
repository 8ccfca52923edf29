package sessions

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/demo"
)

func TestTwoOperators(t *testing.T) {
	s := begin(t, "Guards against an operator whose change overwrites another one that it did not see.",
		demo.SiteOptions{Engines: 1, Routers: 2})
	s.operate(0, request("PUT /v1/profiles/chat", change("first", 2500)))
	s.operate(1, request("PUT /v1/profiles/chat", change("second", 4000)))
	s.operate(1, request("GET /v1/profiles/chat", ""))
	s.await("change in effect everywhere", func() bool {
		for _, v := range s.CatalogVersions() {
			if v != 2 {
				return false
			}
		}
		return true
	})
	s.note("catalog versions in effect: %v", s.CatalogVersions())
	s.end()
}

func change(id string, firstTokenMS int) string {
	return fmt.Sprintf(`{"change_id":%q,"base_version":1,"profile":{"name":"chat","tier":1,"idempotent":true,`+
		`"target":{"first_token_ms":%d,"inter_token_ms":100},"limits":{"max_wait_ms":10000}}}`, id, firstTokenMS)
}

// operate sends a request to a router's admin listener.
func (s *session) operate(router int, request string) {
	s.t.Helper()
	c := s.dial(fmt.Sprintf("router-%d, admin", router+1), s.Routers[router].AdminAddress())
	c.write(strings.Replace(request, demo.InsuranceKey, demo.OperatorKey, 1))
	c.head()
	c.rest()
}

func TestRouterDrain(t *testing.T) {
	s := begin(t, "Guards against a drain of a router that interrupts an open stream or takes new requests, and against a refusal without Retry-After.",
		demo.SiteOptions{Engines: 1, Routers: 2, EngineModel: slowPace})
	release := s.standIns.holdStreams(2)
	open := s.send(0, chat(`"max_tokens":5,"stream":true`))
	text := open.events(2)
	s.operate(0, request("POST /v1/drain", ""))
	refused := s.dial("router-1", s.Routers[0].CallersAddress())
	s.await("refusal of new requests", func() bool { return s.probe(0) == 503 })
	refused.write(chat(`"max_tokens":5`))
	refused.head()
	refused.rest()
	release()
	text += open.rest()
	s.checkText(text, "hello", `"max_tokens":5`)
	s.call(1, chat(`"max_tokens":5`))
	s.await("end of the router", func() bool { return s.log.has("router-1", "router", "stopped") })
	s.end()
}

// probe asks a router for its models and returns the status; it is not recorded.
func (s *session) probe(router int) int {
	c := s.unrecorded(func() *caller { return s.send(router, request("GET /v1/models", "")) })
	defer c.conn.Close()
	return c.resp.StatusCode
}

func TestAgentDrain(t *testing.T) {
	s := begin(t, "Guards against a drain of an agent that interrupts an open stream or gets new work.",
		demo.SiteOptions{Engines: 2, Routers: 1, EngineModel: slowPace})
	release := s.standIns.holdStreams(2)
	open := s.send(0, chat(`"max_tokens":5,"stream":true`))
	text := open.events(2)
	leaving := s.serving(1)[0]
	c := s.dial("agent of "+engineName(leaving)+", admin", s.Agents[leaving].AdminAddress())
	c.write(requestWith(demo.OperatorKey, "POST /v1/drain", ""))
	c.head()
	c.rest()
	s.await("drain", func() bool { return s.Agents[leaving].Status().State == admin.StateDraining })
	// The router would spread these over both engines if the agent took them.
	var later []*caller
	for range 6 {
		c := s.send(0, chat(`"max_tokens":5,"stream":true`))
		c.events(2)
		later = append(later, c)
	}
	release()
	text += open.rest()
	s.checkText(text, "hello", `"max_tokens":5`)
	for _, c := range later {
		c.rest()
	}
	s.await("end of the agent", func() bool { return s.log.has(engineName(leaving), "agent", "stopped") })
	s.end()
}
