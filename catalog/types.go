// Package catalog holds what operators decide: profiles, client accounts and
// plain services. The catalog is one versioned document. It is validated as a
// whole, changed by conditional write in the table service, and adopted by each
// process only when its version is higher than the one in force there.
package catalog

import "time"

// Tiers of priority. A lower number is more urgent.
const (
	// TierUrgent work is never refused or preempted in favour of other tiers.
	TierUrgent = 0
	// TierStandard is ordinary interactive work.
	TierStandard = 1
	// TierBatch is work that may wait, with a guaranteed minimum of service.
	TierBatch = 2
	// TierCount is the number of tiers.
	TierCount = 3
)

// Catalog is one version of the operators' document.
type Catalog struct {
	// Version rises by one with each accepted change. Zero means no catalog.
	Version uint64 `json:"version"`
	// ChangeID identifies the change that made this version, so that a repeated
	// put whose first answer was lost is recognised.
	ChangeID  string    `json:"change_id,omitempty"`
	ChangedBy string    `json:"changed_by,omitempty"`
	ChangedAt time.Time `json:"changed_at,omitzero"`

	Profiles       []Profile       `json:"profiles"`
	ClientAccounts []ClientAccount `json:"client_accounts"`
	Services       []Service       `json:"services,omitempty"`
	// Models are placed by the routers; empty means that no model is placed.
	Models []Model `json:"models,omitempty"`
}

// Model is a model that the routers load at endpoints by order.
type Model struct {
	Name string `json:"name"`
	// Version is part of the name under which engines serve it; empty means none.
	Version string `json:"version,omitempty"`
	// MinEndpoints is the number of endpoints that always serve it, at least 1.
	MinEndpoints int `json:"min_endpoints"`
	// Tier is the priority of its most urgent use.
	Tier int `json:"tier"`
}

// ID returns the name under which engines serve the model: "name" or
// "name:version".
func (m Model) ID() string {
	if m.Version == "" {
		return m.Name
	}
	return m.Name + ":" + m.Version
}

// Profile is a named class of service that callers choose.
type Profile struct {
	Name string `json:"name"`
	// Class groups profiles in reports; empty means the profile's name.
	Class string `json:"class,omitempty"`
	// Tier is the priority: 0 urgent, 1 standard, 2 batch.
	Tier int `json:"tier"`
	// Target states the latency that requests should meet.
	Target Target `json:"target"`
	// Idempotent states that running a request twice does no harm.
	Idempotent bool   `json:"idempotent"`
	Limits     Limits `json:"limits,omitzero"`
}

// Target is a latency target in milliseconds. Zero means no target.
type Target struct {
	// FirstTokenMS is the time from the router's receipt to the first token, or
	// to the head of a service's answer.
	FirstTokenMS int `json:"first_token_ms,omitempty"`
	// InterTokenMS is the time between tokens, met by 95 in 100 of them.
	InterTokenMS int `json:"inter_token_ms,omitempty"`
	// WholeMS is the time to the end of the answer.
	WholeMS int `json:"whole_ms,omitempty"`
}

// Limits bound what one request may use. Zero values take the defaults of
// DefaultMaxWait and DefaultMaxRun.
type Limits struct {
	// MaxWaitMS is the longest wait before the request starts at an endpoint.
	MaxWaitMS int `json:"max_wait_ms,omitempty"`
	// MaxRunMS is the longest time for the whole answer.
	MaxRunMS int `json:"max_run_ms,omitempty"`
	// MaxOpenPerAccount bounds open requests of one client account at one
	// router; zero means no bound of its own.
	MaxOpenPerAccount int `json:"max_open_per_account,omitempty"`
}

// ClientAccount is a customer of the site with its API keys.
type ClientAccount struct {
	Name string `json:"name"`
	// KeyHashes are SHA-256 hashes of API keys in lower-case hexadecimal.
	KeyHashes []string `json:"key_hashes"`
	// DefaultProfile is used for model requests that name none.
	DefaultProfile string `json:"default_profile"`
	// Profiles lists the profiles that the account may use; empty means all.
	Profiles []string `json:"profiles,omitempty"`
	// Weight is the account's share inside a tier; zero means 1.
	Weight int `json:"weight,omitempty"`
}

// Service is a plain service that the router serves under /services/NAME/.
type Service struct {
	Name string `json:"name"`
	// DefaultProfile is used for calls that name none.
	DefaultProfile string `json:"default_profile"`
}

const (
	// DefaultMaxWait applies to profiles without limits.max_wait_ms.
	DefaultMaxWait = 30 * time.Second
	// DefaultMaxRun applies to profiles without limits.max_run_ms.
	DefaultMaxRun = 10 * time.Minute
)

// MaxWait returns the longest wait before the start at an endpoint. Without an
// explicit limit, a request below urgent does not wait longer than its target
// for the first token: an early refusal lets its caller come back, while a late
// answer takes the place of one that would be in time.
func (p Profile) MaxWait() time.Duration {
	switch {
	case p.Limits.MaxWaitMS > 0:
		return time.Duration(p.Limits.MaxWaitMS) * time.Millisecond
	case p.Tier != TierUrgent && p.Target.FirstTokenMS > 0:
		return time.Duration(p.Target.FirstTokenMS) * time.Millisecond
	}
	return DefaultMaxWait
}

// MaxRun returns the longest time for the whole answer.
func (p Profile) MaxRun() time.Duration {
	if p.Limits.MaxRunMS > 0 {
		return time.Duration(p.Limits.MaxRunMS) * time.Millisecond
	}
	return DefaultMaxRun
}

// ClassName returns the class, or the profile's name when no class is set.
func (p Profile) ClassName() string {
	if p.Class == "" {
		return p.Name
	}
	return p.Class
}
