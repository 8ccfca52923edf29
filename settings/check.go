package settings

import (
	"fmt"
	"net/netip"
)

// relationChecker checks the relations between fields, which the schema cannot
// express. It adds the faults that it finds to those of the schema check.
type relationChecker struct {
	faults Faults
}

// addFault records a fault of field, unless the field or one of the related fields
// already has one: a value that could not be decoded must not cause further faults.
func (c *relationChecker) addFault(field string, value any, allowed string, related ...string) {
	for _, name := range append(related, field) {
		if c.faults.has(name) {
			return
		}
	}
	fault := Fault{Field: field, Allowed: allowed}
	if value != nil {
		fault.Value = formatValue(value)
	}
	c.faults = append(c.faults, fault)
}

func (c *relationChecker) checkRouter(s Router) {
	c.checkOperators(s.Operators)
	c.checkListeners([]listener{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.admin", s.Listen.Admin},
	})
	if s.Platform.VMListURL == "" && len(s.Agents) == 0 {
		c.addFault("platform.vm_list_url", nil, "required when agents is empty", "platform", "agents")
	}
}

func (c *relationChecker) checkAgent(s Agent) {
	c.checkOperators(s.Operators)
	c.checkListeners([]listener{
		{"listen.peers", s.Listen.Peers},
		{"listen.admin", s.Listen.Admin},
	})
	if s.Platform.ObjectsURL == "" {
		c.addFault("platform.objects_url", nil, "required for role agent", "platform")
	}
	c.checkEndpoint(s.Endpoint)
	c.checkOrder("queue.max_items_per_account", s.Queue.MaxItemsPerAccount, "queue.max_items", s.Queue.MaxItems)
	c.checkOrder("concurrency.min", s.Concurrency.Min, "concurrency.initial", s.Concurrency.Initial)
	c.checkOrder("concurrency.initial", s.Concurrency.Initial, "concurrency.max", s.Concurrency.Max)
}

func (c *relationChecker) checkEndpoint(e Endpoint) {
	switch e.Kind {
	case KindEngine:
		if len(e.Models) == 0 {
			c.addFault("endpoint.models", nil, "at least one model for kind engine")
		}
		if e.Service != "" {
			c.addFault("endpoint.service", e.Service, "absent for kind engine")
		}
	case KindService:
		if e.Service == "" {
			c.addFault("endpoint.service", nil, "required for kind service")
		}
		if len(e.Models) > 0 {
			c.addFault("endpoint.models", e.Models, "absent for kind service")
		}
	}
}

// checkOrder requires that the value of the field low does not exceed that of high.
func (c *relationChecker) checkOrder(low string, lowValue int, high string, highValue int) {
	if lowValue <= highValue {
		return
	}
	c.addFault(low, lowValue, fmt.Sprintf("at most %s, which is %d", high, highValue), high)
}

// listener is a field with a listening address.
type listener struct {
	field   string
	address string
}

// checkListeners requires that all listening addresses differ. Port 0 may occur more
// than once, because the kernel chooses a free port for each.
func (c *relationChecker) checkListeners(all []listener) {
	seen := map[netip.AddrPort]string{}
	for _, l := range all {
		address, err := netip.ParseAddrPort(l.address)
		if err != nil || address.Port() == 0 {
			continue
		}
		if other, ok := seen[address]; ok {
			c.addFault(l.field, l.address, "an address other than that of "+other)
		}
		seen[address] = l.field
	}
}

// checkOperators requires that names and keys of operators are unique, because a
// change of the catalog is recorded under the name that the key identifies.
func (c *relationChecker) checkOperators(all []Operator) {
	names := map[string]int{}
	hashes := map[string]int{}
	for i, o := range all {
		c.checkUnique(names, i, "name", o.Name)
		c.checkUnique(hashes, i, "key_hash", o.KeyHash)
	}
}

// checkUnique requires that the value of a field of operator i differs from those
// seen before, which map to the index of their operator.
func (c *relationChecker) checkUnique(seen map[string]int, i int, field, value string) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		c.addFault(fmt.Sprintf("operators[%d].%s", i, field), value, fmt.Sprintf("different from operators[%d].%s", first, field))
		return
	}
	seen[value] = i
}
