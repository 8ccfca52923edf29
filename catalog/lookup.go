package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"sync"
)

// HashKey returns the hash of an API key in the form of ClientAccount.KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Index answers lookups on one catalog version. It is immutable and safe for
// concurrent use.
type Index struct {
	catalog  *Catalog
	profiles map[string]*Profile
	services map[string]*Service
	accounts map[string]*ClientAccount
	// encoded is the document as JSON, made when a peer first asks for it.
	encoded func() ([]byte, error)
}

// NewIndex builds the lookups of c, which must not change afterwards.
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

// Profile returns the profile of that name.
func (x *Index) Profile(name string) (*Profile, bool) {
	p, ok := x.profiles[name]
	return p, ok
}

// Service returns the plain service of that name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Authenticate returns the client account that owns the API key. The lookup is
// by hash and the stored hash is compared in constant time, so that timing
// tells nothing about stored keys.
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

// MayUse reports whether the account may use the profile.
func (a *ClientAccount) MayUse(profile string) bool {
	return len(a.Profiles) == 0 || slices.Contains(a.Profiles, profile)
}

// Share returns the account's weight, at least 1.
func (a *ClientAccount) Share() int {
	return max(a.Weight, 1)
}
