// Package catalog manages the configuration that operators edit: profiles, client
// accounts, plain services and models. The catalog is one versioned document. It is
// validated as a whole and changed by conditional writes in the table service. Each
// process polls for the version in force and adopts a document only if its version
// is higher than the one in effect in that process.
package catalog

import "time"

// Priority tiers. A lower number is more urgent.
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

// Catalog is one version of the configuration document.
type Catalog struct {
	// Version increases by one with each accepted change. Zero means no catalog.
	Version uint64 `json:"version"`
	// ChangeID identifies the change that made this version, so that a put is
	// recognized when it is repeated after its response was lost.
	ChangeID string `json:"change_id,omitempty"`
	// ChangedBy is the operator who made the change.
	ChangedBy string    `json:"changed_by,omitempty"`
	ChangedAt time.Time `json:"changed_at,omitzero"`

	Profiles       []Profile       `json:"profiles"`
	ClientAccounts []ClientAccount `json:"client_accounts"`
	Services       []Service       `json:"services,omitempty"`
	// Models are the models that the routers place on endpoints; empty means that
	// the routers place none.
	Models []Model `json:"models,omitempty"`
}

// Model is a model that the routers place by ordering endpoints to load it.
type Model struct {
	Name string `json:"name"`
	// Version is the optional version in the name under which engines serve the
	// model.
	Version string `json:"version,omitempty"`
	// MinEndpoints is the smallest number of endpoints that serve the model at any
	// time, at least 1.
	MinEndpoints int `json:"min_endpoints"`
	// Tier is the priority tier of the most urgent requests for the model, with the
	// values of Profile.Tier.
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
	// Class groups profiles in reports; empty means that the profile is a class of
	// its own with the profile's name.
	Class string `json:"class,omitempty"`
	// Tier is the priority tier: 0 urgent, 1 standard, 2 batch.
	Tier int `json:"tier"`
	// Target is the latency that requests should meet.
	Target Target `json:"target"`
	// Idempotent means that a request may safely run more than once.
	Idempotent bool   `json:"idempotent"`
	Limits     Limits `json:"limits,omitzero"`
}

// Target is a latency target in milliseconds. Zero means no target.
type Target struct {
	// FirstTokenMS is the time from the router's receipt of the request to the first
	// token, or to the response headers of a plain service.
	FirstTokenMS int `json:"first_token_ms,omitempty"`
	// InterTokenMS is the time between two tokens, to be met by 95 in 100 tokens.
	InterTokenMS int `json:"inter_token_ms,omitempty"`
	// WholeMS is the time to the end of the response.
	WholeMS int `json:"whole_ms,omitempty"`
}

// Limits bounds the requests of a profile. A zero time means the default, see
// DefaultMaxWait and DefaultMaxRun.
type Limits struct {
	// MaxWaitMS is the longest wait before the request starts at an endpoint.
	MaxWaitMS int `json:"max_wait_ms,omitempty"`
	// MaxRunMS is the longest time for the whole response.
	MaxRunMS int `json:"max_run_ms,omitempty"`
	// MaxOpenPerAccount is the largest number of open requests of one client account
	// with the profile at one router; zero means no such limit.
	MaxOpenPerAccount int `json:"max_open_per_account,omitempty"`
}

// ClientAccount is a customer of the site with its API keys.
type ClientAccount struct {
	Name string `json:"name"`
	// KeyHashes are SHA-256 hashes of API keys in lower-case hexadecimal.
	KeyHashes []string `json:"key_hashes"`
	// DefaultProfile is the profile of model requests that name none.
	DefaultProfile string `json:"default_profile"`
	// Profiles lists the profiles that the account may use; empty means all.
	Profiles []string `json:"profiles,omitempty"`
	// Weight is the weight of the account in the fair share within a tier; zero
	// means 1.
	Weight int `json:"weight,omitempty"`
}

// Service is a plain HTTP service that the router serves under /services/NAME/.
type Service struct {
	Name string `json:"name"`
	// DefaultProfile is the profile of requests that name none.
	DefaultProfile string `json:"default_profile"`
}

const (
	// DefaultMaxWait applies to profiles without limits.max_wait_ms.
	DefaultMaxWait = 30 * time.Second
	// DefaultMaxRun applies to profiles without limits.max_run_ms.
	DefaultMaxRun = 10 * time.Minute
)

// MaxWait returns the longest wait before a request starts at an endpoint. If the
// profile sets no limit, a request of the standard or batch tier does not wait
// longer than its target for the first token: an early refusal lets the caller
// retry, while a late response takes the place of one that would be in time. An
// urgent request, or one without that target, then waits at most DefaultMaxWait.
func (p Profile) MaxWait() time.Duration {
	switch {
	case p.Limits.MaxWaitMS > 0:
		return time.Duration(p.Limits.MaxWaitMS) * time.Millisecond
	case p.Tier != TierUrgent && p.Target.FirstTokenMS > 0:
		return time.Duration(p.Target.FirstTokenMS) * time.Millisecond
	}
	return DefaultMaxWait
}

// MaxRun returns the longest time for the whole response; DefaultMaxRun if the profile
// sets no limit.
func (p Profile) MaxRun() time.Duration {
	if p.Limits.MaxRunMS > 0 {
		return time.Duration(p.Limits.MaxRunMS) * time.Millisecond
	}
	return DefaultMaxRun
}

// ClassName returns the class, or the name of the profile if no class is set.
func (p Profile) ClassName() string {
	if p.Class == "" {
		return p.Name
	}
	return p.Class
}
