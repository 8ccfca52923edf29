package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"sync"
)

// HashKey returns the hash of an API key as ClientAccount.KeyHashes contains it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Index provides lookups in one catalog version. It is immutable and safe for
// concurrent use.
type Index struct {
	catalog  *Catalog
	profiles map[string]*Profile
	services map[string]*Service
	// accounts maps the hash of an API key to the client account that owns it.
	accounts map[string]*ClientAccount
	// encoded returns the document as JSON. It encodes it once, when a peer first
	// requests it.
	encoded func() ([]byte, error)
}

// NewIndex returns an index of c, which must not change afterwards.
func NewIndex(c *Catalog) *Index {
	x := &Index{
		catalog:  c,
		profiles: make(map[string]*Profile, len(c.Profiles)),
		services: make(map[string]*Service, len(c.Services)),
		accounts: make(map[string]*ClientAccount, len(c.ClientAccounts)),
		encoded:  sync.OnceValues(func() ([]byte, error) { return Encode(c) }),
	}
	for i := range c.Profiles {
		x.profiles[c.Profiles[i].Name] = &c.Profiles[i]
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.ClientAccounts {
		account := &c.ClientAccounts[i]
		for _, hash := range account.KeyHashes {
			x.accounts[hash] = account
		}
	}
	return x
}

// Catalog returns the indexed document.
func (x *Index) Catalog() *Catalog { return x.catalog }

// Version returns the version of the indexed document.
func (x *Index) Version() uint64 { return x.catalog.Version }

// Profile returns the profile with the given name, or false if there is none.
func (x *Index) Profile(name string) (*Profile, bool) {
	p, ok := x.profiles[name]
	return p, ok
}

// Service returns the plain service with the given name, or false if there is none.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Authenticate returns the client account that owns the API key, or false if none
// does. The lookup is by hash and the stored hash is compared in constant time, so
// that the response time reveals nothing about stored keys.
func (x *Index) Authenticate(key string) (*ClientAccount, bool) {
	hash := HashKey(key)
	account, ok := x.accounts[hash]
	if !ok {
		return nil, false
	}
	for _, stored := range account.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(stored), []byte(hash)) == 1 {
			return account, true
		}
	}
	return nil, false
}

// MayUse reports whether the account may use the profile. An account that lists no
// profiles may use all.
func (a *ClientAccount) MayUse(profile string) bool {
	return len(a.Profiles) == 0 || slices.Contains(a.Profiles, profile)
}

// EffectiveWeight returns the weight of the account in its tier, which is 1 if none is set.
func (a *ClientAccount) EffectiveWeight() int {
	return max(a.Weight, 1)
}
