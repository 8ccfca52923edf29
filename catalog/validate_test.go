package catalog

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

func sampleCatalog() *Catalog {
	return &Catalog{
		Profiles: []Profile{
			{Name: "urgent", Target: Target{FirstTokenMS: 1500, InterTokenMS: 44}, Idempotent: true},
			{Name: "booking", Tier: TierStandard, Target: Target{WholeMS: 3000}},
		},
		ClientAccounts: []ClientAccount{{Name: "a", KeyHashes: []string{HashKey("k")}, DefaultProfile: "urgent"}},
		Services:       []Service{{Name: "ledger", DefaultProfile: "booking"}},
		Models:         []Model{{Name: "chat", Version: "2", MinEndpoints: 1}},
	}
}

// Guards against an invalid or inconsistent document that is accepted, and against a
// refusal that does not name the invalid field.
func TestValidateNamesTheFault(t *testing.T) {
	cases := []struct {
		field  string
		change func(*Catalog)
	}{
		{"number of profiles", func(c *Catalog) { c.Profiles = nil }},
		{"profiles[].name", func(c *Catalog) { c.Profiles[0].Name = "two words" }},
		{"profiles[].name", func(c *Catalog) { c.Profiles[1].Name = "urgent" }},
		{"profiles[urgent].tier", func(c *Catalog) { c.Profiles[0].Tier = 3 }},
		{"profiles[urgent].tier", func(c *Catalog) { c.Profiles[0].Tier = -1 }},
		{"profiles[urgent].target.first_token_ms", func(c *Catalog) { c.Profiles[0].Target.FirstTokenMS = -1 }},
		{"profiles[urgent].target.first_token_ms", func(c *Catalog) { c.Profiles[0].Target.WholeMS = 1499 }},
		{"profiles[booking].limits.max_wait_ms", func(c *Catalog) { c.Profiles[1].Limits = Limits{MaxWaitMS: 2, MaxRunMS: 1} }},
		{"client_accounts[].name", func(c *Catalog) { c.ClientAccounts = append(c.ClientAccounts, c.ClientAccounts[0]) }},
		{"client_accounts[a].default_profile", func(c *Catalog) { c.ClientAccounts[0].DefaultProfile = "none" }},
		{"client_accounts[a].default_profile", func(c *Catalog) { c.ClientAccounts[0].Profiles = []string{"booking"} }},
		{"client_accounts[a].profiles", func(c *Catalog) { c.ClientAccounts[0].Profiles = []string{"urgent", "urgent"} }},
		{"client_accounts[a].key_hashes", func(c *Catalog) { c.ClientAccounts[0].KeyHashes[0] = strings.Repeat("A", 64) }},
		{"client_accounts[b].key_hashes", func(c *Catalog) {
			c.ClientAccounts = append(c.ClientAccounts, ClientAccount{Name: "b", DefaultProfile: "urgent", KeyHashes: []string{HashKey("k")}})
		}},
		{"services[ledger].default_profile", func(c *Catalog) { c.Services[0].DefaultProfile = "none" }},
		{"models[].name", func(c *Catalog) { c.Models[0].Name = "a:b" }},
		{"models[chat:2 3].version", func(c *Catalog) { c.Models[0].Version = "2 3" }},
		{"models[chat:2]", func(c *Catalog) { c.Models = append(c.Models, c.Models[0]) }},
		{"models[chat:2].min_endpoints", func(c *Catalog) { c.Models[0].MinEndpoints = 0 }},
		{"models[chat:2].tier", func(c *Catalog) { c.Models[0].Tier = TierCount }},
	}
	if err := Validate(sampleCatalog()); err != nil {
		t.Fatal(err)
	}
	for _, k := range cases {
		c := sampleCatalog()
		k.change(c)
		checkRefused(t, Validate(c), k.field)
	}
}

func checkRefused(t *testing.T, err error, field string) {
	t.Helper()
	var fault *FieldError
	var coded *resultcode.Error
	if !errors.As(err, &fault) || !errors.As(err, &coded) || coded.Code != resultcode.InvalidCatalog {
		t.Fatalf("%s: error %v, want a field error with InvalidCatalog", field, err)
	}
	if fault.Field != field || fault.Value == "" || fault.Allowed == "" {
		t.Fatalf("error names %q (%s, allowed %s), want %q", fault.Field, fault.Value, fault.Allowed, field)
	}
}

// Guards against an accepted document that does not fit into its row.
func TestValidateBoundsTheSize(t *testing.T) {
	c := sampleCatalog()
	for i := range maxClientAccounts - 1 {
		name := strings.Repeat("x", 60) + string([]byte{byte('a' + i%26), byte('a' + i/26%26), byte('a' + i/676)})
		c.ClientAccounts = append(c.ClientAccounts, ClientAccount{Name: name, DefaultProfile: "urgent"})
	}
	checkRefused(t, Validate(c), "size of the catalog")
}

// Guards against a misspelled field that silently takes its default because Decode
// ignores unknown fields, against a DecodeStored that refuses unknown fields, and
// against documents from before models were added that are no longer valid.
func TestDecodeIsStrict(t *testing.T) {
	body, err := Encode(sampleCatalog())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(body); err != nil {
		t.Fatal(err)
	}
	older := sampleCatalog()
	older.Models = nil
	without, err := Encode(older)
	if err != nil || strings.Contains(string(without), "models") {
		t.Fatalf("catalog without models: %s, %v", without, err)
	}
	if _, err := Decode(without); err != nil {
		t.Fatal(err)
	}
	if d := Diff(older, sampleCatalog()); len(d) != 1 || d[0].Field != "models[chat:2]" {
		t.Errorf("differences %v after models were added", d)
	}
	misspelt := strings.Replace(string(body), `"idempotent"`, `"idempotant"`, 1)
	for _, bad := range []string{misspelt, string(body) + "{}", "", "null", string(body[:40])} {
		if _, err := Decode([]byte(bad)); err == nil {
			t.Errorf("%.60q accepted", bad)
		}
	}
	if _, err := DecodeStored([]byte(strings.Replace(string(body), "{", `{"later_field":1,`, 1))); err != nil {
		t.Errorf("stored document with a later field refused: %v", err)
	}
}

// Guards against a panic on any input, and against an accepted document that changes
// when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	body, err := Encode(sampleCatalog())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte(`{"profiles":[{"name":"a","tier":2}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := Decode(body)
		if err != nil {
			return
		}
		again, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		d, err := Decode(again)
		if err != nil {
			t.Fatalf("encoded form refused: %v", err)
		}
		if diff := Diff(c, d); len(diff) > 0 || !cmp.Equal(c.Version, d.Version) {
			t.Fatalf("document changed: %v", diff)
		}
	})
}
