package catalog

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"unicode/utf8"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/storage"
)

// Bounds of a catalog. They limit the size of the lookup tables and of the row.
const (
	// MaxBytes is the largest encoded document. It must fit into one row.
	MaxBytes = storage.MaxValueBytes

	maxProfiles       = 256
	maxServices       = 256
	maxModels         = 64
	maxMinEndpoints   = 1024
	maxClientAccounts = 4096
	maxKeyHashes      = 16
	maxWeight         = 1000
	maxMilliseconds   = 24 * 60 * 60 * 1000
	maxOpenPerAccount = 1_000_000
	maxAuthorBytes    = 128
)

// namePattern permits only characters that are safe in HTTP headers, row keys and
// metric labels, where names occur.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

const allowedName = "1 to 64 of letters, digits, '.', '_', '-', starting with a letter or digit"

// FieldError describes a field that Validate refuses.
type FieldError struct {
	// Field is a path such as profiles[urgent].target.whole_ms.
	Field string
	// Value is the refused value.
	Value string
	// Allowed describes the values that are accepted.
	Allowed string
}

// Error returns a message with the field, its value and the accepted values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s is %s; allowed: %s", e.Field, e.Value, e.Allowed)
}

// Validate checks the catalog as a whole. It returns the first invalid field as a
// *resultcode.Error with InvalidCatalog and a *FieldError in its chain.
func Validate(c *Catalog) error {
	v := validator{profiles: map[string]bool{}, hashes: map[string]string{}}
	if err := v.checkCatalog(c); err != nil {
		return resultcode.Wrap(resultcode.InvalidCatalog, err, "catalog refused")
	}
	return nil
}

// validator holds the names and keys that other fields refer to or must not repeat.
type validator struct {
	profiles map[string]bool
	// hashes maps the hash of an API key to the client account that owns it.
	hashes map[string]string
}

func fieldError(field string, value any, allowed string) error {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = strconv.Quote(s)
	}
	return &FieldError{Field: field, Value: text, Allowed: allowed}
}

func checkName(field, name string) error {
	if !namePattern.MatchString(name) {
		return fieldError(field, name, allowedName)
	}
	return nil
}

func checkRange(field string, value, low, high int) error {
	if value < low || value > high {
		return fieldError(field, value, fmt.Sprintf("%d to %d", low, high))
	}
	return nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (v *validator) checkCatalog(c *Catalog) error {
	err := firstError(
		checkRange("number of profiles", len(c.Profiles), 1, maxProfiles),
		checkRange("number of client_accounts", len(c.ClientAccounts), 0, maxClientAccounts),
		checkRange("number of services", len(c.Services), 0, maxServices),
		checkRange("number of models", len(c.Models), 0, maxModels),
		checkChangeFields(c),
		v.checkProfiles(c.Profiles),
		v.checkAccounts(c.ClientAccounts),
		v.checkServices(c.Services),
		checkModels(c.Models),
	)
	if err != nil {
		return err
	}
	body, err := json.Marshal(c)
	if err != nil {
		return fieldError("catalog", err.Error(), "a document that can be encoded as JSON")
	}
	if len(body) > MaxBytes {
		return fieldError("size of the catalog", len(body), fmt.Sprintf("at most %d bytes", MaxBytes))
	}
	return nil
}

func checkChangeFields(c *Catalog) error {
	if len(c.ChangedBy) > maxAuthorBytes || !utf8.ValidString(c.ChangedBy) {
		return fieldError("changed_by", c.ChangedBy, fmt.Sprintf("at most %d bytes of UTF-8", maxAuthorBytes))
	}
	if c.ChangeID == "" {
		return nil
	}
	return checkName("change_id", c.ChangeID)
}

func (v *validator) checkProfiles(profiles []Profile) error {
	for _, p := range profiles {
		if err := checkName("profiles[].name", p.Name); err != nil {
			return err
		}
		if v.profiles[p.Name] {
			return fieldError("profiles[].name", p.Name, "a name that no other profile has")
		}
		v.profiles[p.Name] = true
		if err := checkProfile("profiles["+p.Name+"]", p); err != nil {
			return err
		}
	}
	return nil
}

func checkProfile(field string, p Profile) error {
	if p.Class != "" {
		if err := checkName(field+".class", p.Class); err != nil {
			return err
		}
	}
	return firstError(
		checkRange(field+".tier", p.Tier, TierUrgent, TierCount-1),
		checkTarget(field+".target", p.Target),
		checkLimits(field+".limits", p.Limits),
	)
}

func checkTarget(field string, t Target) error {
	err := firstError(
		checkRange(field+".first_token_ms", t.FirstTokenMS, 0, maxMilliseconds),
		checkRange(field+".inter_token_ms", t.InterTokenMS, 0, maxMilliseconds),
		checkRange(field+".whole_ms", t.WholeMS, 0, maxMilliseconds),
	)
	if err != nil || t.WholeMS == 0 {
		return err
	}
	return firstError(
		checkRange(field+".first_token_ms", t.FirstTokenMS, 0, t.WholeMS),
		checkRange(field+".inter_token_ms", t.InterTokenMS, 0, t.WholeMS),
	)
}

func checkLimits(field string, l Limits) error {
	err := firstError(
		checkRange(field+".max_wait_ms", l.MaxWaitMS, 0, maxMilliseconds),
		checkRange(field+".max_run_ms", l.MaxRunMS, 0, maxMilliseconds),
		checkRange(field+".max_open_per_account", l.MaxOpenPerAccount, 0, maxOpenPerAccount),
	)
	if err != nil || l.MaxRunMS == 0 {
		return err
	}
	return checkRange(field+".max_wait_ms", l.MaxWaitMS, 0, l.MaxRunMS)
}

func (v *validator) checkAccounts(accounts []ClientAccount) error {
	names := map[string]bool{}
	for _, a := range accounts {
		if err := checkName("client_accounts[].name", a.Name); err != nil {
			return err
		}
		if names[a.Name] {
			return fieldError("client_accounts[].name", a.Name, "a name that no other client account has")
		}
		names[a.Name] = true
		if err := v.checkAccount("client_accounts["+a.Name+"]", a); err != nil {
			return err
		}
	}
	return nil
}

func (v *validator) checkAccount(field string, a ClientAccount) error {
	err := firstError(
		checkRange(field+".weight", a.Weight, 0, maxWeight),
		checkRange("number of "+field+".key_hashes", len(a.KeyHashes), 0, maxKeyHashes),
		v.checkProfileExists(field+".default_profile", a.DefaultProfile),
		v.checkAllowedProfiles(field, a),
	)
	if err != nil {
		return err
	}
	for _, hash := range a.KeyHashes {
		if !keyHashPattern.MatchString(hash) {
			return fieldError(field+".key_hashes", hash, "64 lower-case hexadecimal digits")
		}
		if owner, taken := v.hashes[hash]; taken {
			return fieldError(field+".key_hashes", hash, "a hash that occurs once; it also belongs to "+owner)
		}
		v.hashes[hash] = a.Name
	}
	return nil
}

func (v *validator) checkAllowedProfiles(field string, a ClientAccount) error {
	listed := map[string]bool{}
	for _, name := range a.Profiles {
		if err := v.checkProfileExists(field+".profiles", name); err != nil {
			return err
		}
		if listed[name] {
			return fieldError(field+".profiles", name, "each name once")
		}
		listed[name] = true
	}
	if !a.MayUse(a.DefaultProfile) {
		return fieldError(field+".default_profile", a.DefaultProfile, "one of the account's profiles")
	}
	return nil
}

func (v *validator) checkProfileExists(field, name string) error {
	if !v.profiles[name] {
		return fieldError(field, name, "the name of a profile in the catalog")
	}
	return nil
}

func (v *validator) checkServices(services []Service) error {
	names := map[string]bool{}
	for _, s := range services {
		if err := checkName("services[].name", s.Name); err != nil {
			return err
		}
		if names[s.Name] {
			return fieldError("services[].name", s.Name, "a name that no other service has")
		}
		names[s.Name] = true
		if err := v.checkProfileExists("services["+s.Name+"].default_profile", s.DefaultProfile); err != nil {
			return err
		}
	}
	return nil
}

func checkModels(models []Model) error {
	ids := map[string]bool{}
	for _, m := range models {
		field := "models[" + m.ID() + "]"
		if err := checkName("models[].name", m.Name); err != nil {
			return err
		}
		if m.Version != "" {
			if err := checkName(field+".version", m.Version); err != nil {
				return err
			}
		}
		if ids[m.ID()] {
			return fieldError(field, m.ID(), "a name and version that no other model has")
		}
		ids[m.ID()] = true
		err := firstError(
			checkRange(field+".min_endpoints", m.MinEndpoints, 1, maxMinEndpoints),
			checkRange(field+".tier", m.Tier, TierUrgent, TierCount-1),
		)
		if err != nil {
			return err
		}
	}
	return nil
}
