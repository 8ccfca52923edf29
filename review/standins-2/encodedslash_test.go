//go:build review2

package standins2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["encoded-slash"] = encodedSlash }

// probe is a request of a client, and what the pages allow for it.
type probe struct {
	path, key string
	// service is the service of the longest prefix that begins the path; empty if the route of
	// that prefix needs a key and the request has none.
	service string
}

// encodedSlash: the path of a request has an encoded slash (%2F), which is no slash (RFC 3986,
// section 2.2). ROUTE: the route is the one with the longest prefix that begins the path.
func encodedSlash(s *site) (bool, error) {
	c := config(1, []map[string]any{tenant("acme", "key-acme")})
	route := func(name, prefix, backend string, anonymous bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": "ledger.example", "prefix": prefix, "backend": backend, "anonymous": anonymous,
			"routeType": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "maxAttempts": 2, "priorityClass": 0,
		}
	}
	c["routes"] = []map[string]any{
		route("all", "/", "ledger", false),
		route("undo", "/debit/undo/", "reversal", false),
		route("open", "/open/", "notices", true),
	}
	c["backends"] = []map[string]any{
		{"name": "ledger", "healthCheck": "/healthz", "maxConnections": 110},
		{"name": "reversal", "healthCheck": "/healthz", "maxConnections": 110},
		{"name": "notices", "healthCheck": "/healthz", "maxConnections": 110},
	}
	if _, err := s.configure(c); err != nil {
		return false, err
	}
	serviceOf := make(map[string]string)
	for _, service := range []string{"ledger", "reversal", "notices"} {
		for i := range 2 {
			id := fmt.Sprintf("i-%s%d", service, i+1)
			serviceOf[id] = service
			if _, err := s.addReplica(id, service, 20*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	if err := s.addGateways(2); err != nil {
		return false, err
	}
	if err := s.startGateways(); err != nil {
		return false, err
	}
	probes := []probe{
		{"/debit/17", "key-acme", "ledger"},
		{"/debit/undo/17", "key-acme", "reversal"},
		{"/open/17", "", "notices"},
		{"/debit/17", "", ""},
	}
	if s.trouble {
		probes = append(probes,
			probe{"/debit/undo%2F17", "key-acme", "ledger"},
			probe{"/open%2F17", "key-acme", "ledger"},
			probe{"/open%2F17", "", ""},
		)
	}
	type sent struct {
		probe
		gateway string
		status  int
	}
	all := make(map[string]sent)
	for round := range 5 {
		for i, p := range probes {
			for _, g := range s.gateways {
				id := fmt.Sprintf("%08x%04x%s", round+1, i+1, g.name[len(g.name)-1:])
				status, err := s.sendRaw(g, id, p)
				if err != nil {
					return false, err
				}
				all[id] = sent{p, g.name, status}
			}
		}
	}
	wrong := 0
	ran := make(map[string]string)
	for _, x := range s.allRuns() {
		ran[x.id] = serviceOf[x.replica]
	}
	for id, a := range all {
		s.note("attempt %s to %s: POST %s, key %q: answer %d, run by service %q, allowed %q", id, a.gateway, a.path, a.key, a.status, ran[id], a.service)
		if ran[id] != "" && ran[id] != a.service {
			wrong++
		}
		if !s.trouble && ran[id] != a.service {
			return false, fmt.Errorf("%s was not served as expected", a.path)
		}
	}
	s.note("%d of %d attempts ran at a service to which no configuration allows them to go", wrong, len(all))
	return wrong > 0, nil
}

// sendRaw sends a request with its path as it stands.
func (s *site) sendRaw(g *gatewayProcess, id string, p probe) (int, error) {
	c, err := net.DialTimeout("tcp", g.callers(), time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return 0, err
	}
	key := ""
	if p.key != "" {
		key = "X-Api-Key: " + p.key + "\r\n"
	}
	const body = "amount=1"
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: ledger.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\n%sContent-Length: %d\r\n\r\n%s", p.path, id, key, len(body), body); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
