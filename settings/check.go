package settings

import (
	"fmt"
	"net/netip"
)

// checker adds the faults of relations between fields, which a schema cannot
// express, to those of the schema check.
type checker struct {
	faults Faults
}

// add records a fault of field unless it or one of the related fields already
// has one, because a value that could not be decoded says nothing.
func (c *checker) add(field string, value any, allowed string, related ...string) {
	for _, name := range append(related, field) {
		if c.faults.has(name) {
			return
		}
	}
	fault := Fault{Field: field, Allowed: allowed}
	if value != nil {
		fault.Value = show(value)
	}
	c.faults = append(c.faults, fault)
}

func (c *checker) router(s Router) {
	c.operators(s.Operators)
	c.listeners([]listener{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.admin", s.Listen.Admin},
	})
	if s.Platform.VMListURL == "" && len(s.Agents) == 0 {
		c.add("platform.vm_list_url", nil, "required when agents is empty", "platform", "agents")
	}
}

func (c *checker) agent(s Agent) {
	c.operators(s.Operators)
	c.listeners([]listener{
		{"listen.peers", s.Listen.Peers},
		{"listen.admin", s.Listen.Admin},
	})
	if s.Platform.ObjectsURL == "" {
		c.add("platform.objects_url", nil, "required for role agent", "platform")
	}
	c.endpoint(s.Endpoint)
	c.order("queue.max_items_per_account", s.Queue.MaxItemsPerAccount, "queue.max_items", s.Queue.MaxItems)
	c.order("concurrency.min", s.Concurrency.Min, "concurrency.initial", s.Concurrency.Initial)
	c.order("concurrency.initial", s.Concurrency.Initial, "concurrency.max", s.Concurrency.Max)
}

func (c *checker) endpoint(e Endpoint) {
	switch e.Kind {
	case KindEngine:
		if len(e.Models) == 0 {
			c.add("endpoint.models", nil, "at least one model for kind engine")
		}
		if e.Service != "" {
			c.add("endpoint.service", e.Service, "absent for kind engine")
		}
	case KindService:
		if e.Service == "" {
			c.add("endpoint.service", nil, "required for kind service")
		}
		if len(e.Models) > 0 {
			c.add("endpoint.models", e.Models, "absent for kind service")
		}
	}
}

// order requires that the value of low does not exceed that of high.
func (c *checker) order(low string, lowValue int, high string, highValue int) {
	if lowValue <= highValue {
		return
	}
	c.add(low, lowValue, fmt.Sprintf("at most %s, which is %d", high, highValue), high)
}

type listener struct {
	field   string
	address string
}

// listeners requires different addresses; port 0 never collides.
func (c *checker) listeners(all []listener) {
	seen := map[netip.AddrPort]string{}
	for _, l := range all {
		address, err := netip.ParseAddrPort(l.address)
		if err != nil || address.Port() == 0 {
			continue
		}
		if other, ok := seen[address]; ok {
			c.add(l.field, l.address, "an address other than that of "+other)
		}
		seen[address] = l.field
	}
}

// operators requires different names and keys, because a change of the catalog
// is recorded under the name that the key identifies.
func (c *checker) operators(all []Operator) {
	names := map[string]int{}
	hashes := map[string]int{}
	for i, o := range all {
		c.unique(names, i, "name", o.Name)
		c.unique(hashes, i, "key_hash", o.KeyHash)
	}
}

func (c *checker) unique(seen map[string]int, i int, field, value string) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		c.add(fmt.Sprintf("operators[%d].%s", i, field), value, fmt.Sprintf("different from operators[%d].%s", first, field))
		return
	}
	seen[value] = i
}
