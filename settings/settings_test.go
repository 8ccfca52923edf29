package settings_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/settings"
)

const smallRouter = `{"role":"router","name":"r1","region":"breizh","availability_zone":"vannes",
"listen":{"callers":"127.0.0.1:0","peers":"127.0.0.1:0","admin":"127.0.0.1:0"},
"platform":{"table_url":"http://10.0.0.1:7000"},"agents":["10.0.0.9:8081"]}`

const smallAgent = `{"role":"agent","name":"a1","region":"breizh","availability_zone":"vannes",
"listen":{"peers":"[::1]:8081","admin":"[::1]:8082"},
"platform":{"table_url":"http://10.0.0.1:7000","objects_url":"http://10.0.0.1:7001"},
"endpoint":{"kind":"engine","url":"http://127.0.0.1:9000","models":["braise-8b"]}}`

// Guards against a default in effect that is not the documented one.
func TestDefaultsAreApplied(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.json")
	if err := os.WriteFile(path, []byte(smallRouter), 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := settings.LoadRouter(path)
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Limits{MaxOpenRequests: 2000, MaxBodyBytes: 4 << 20, BodyTimeoutMS: 10000, DrainTimeoutMS: 660000}
	if diff := cmp.Diff(want, r.Limits); diff != "" {
		t.Error(diff)
	}
	if r.Log != (settings.Log{Level: "info", Format: "json"}) {
		t.Errorf("log = %+v", r.Log)
	}
	a, err := settings.DecodeAgent([]byte(smallAgent))
	if err != nil {
		t.Fatal(err)
	}
	if a.Queue.MaxItems != 512 || a.Concurrency.Max != 256 || a.DrainTimeout() != 11*time.Minute {
		t.Errorf("agent defaults = %+v %+v", a.Queue, a.Concurrency)
	}
}

// Guards against a check that stops at the first fault, or that accepts a field which
// encoding/json alone would ignore or match in spite of another case.
func TestCheckReportsEveryFault(t *testing.T) {
	data, err := os.ReadFile("testdata/faulty-agent.json")
	if err != nil {
		t.Fatal(err)
	}
	role, err := settings.Check(bytes.NewReader(data))
	if role != settings.RoleAgent {
		t.Errorf("role = %q", role)
	}
	if resultcode.As(err).Code != resultcode.InvalidSettings {
		t.Errorf("error = %v", err)
	}
	var faults settings.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("error has no faults: %v", err)
	}
	goldie.New(t).Assert(t, "faulty-agent", []byte(faults.Error()+"\n"))
}

// Guards against documents that are accepted although their meaning is ambiguous, such
// as those with duplicate fields, because encoding/json can decode them.
func TestUnclearDocumentsAreRefused(t *testing.T) {
	for name, doc := range map[string]string{
		"duplicate field": strings.Replace(smallRouter, `"region"`, `"name":"r2","region"`, 1),
		"invalid UTF-8":   strings.Replace(smallRouter, "vannes", "vannes\xff", 1),
		"trailing data":   smallRouter + "{}",
		"not an object":   `["router"]`,
		"unknown role":    `{"role":"referee"}`,
		"role absent":     `{}`,
		"syntax":          "{\n\"role\":",
		"too large":       `"` + strings.Repeat("x", settings.MaxFileBytes) + `"`,
		"null":            strings.Replace(smallRouter, `["10.0.0.9:8081"]`, `null`, 1),
	} {
		if _, err := settings.Check(strings.NewReader(doc)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := settings.DecodeAgent([]byte(smallRouter)); err == nil {
		t.Error("router settings accepted for an agent")
	}
}

// Guards against a change of the published schema that goes unnoticed because no golden
// file changes with it.
func TestSchemaGolden(t *testing.T) {
	for _, role := range []settings.Role{settings.RoleRouter, settings.RoleAgent} {
		text, err := settings.Schema(role)
		if err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, string(role)+".schema", text)
	}
}

// Guards against a panic on any input, and against settings that pass the check but are
// refused or changed when they are encoded and decoded again.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(smallRouter))
	f.Add([]byte(smallAgent))
	f.Add([]byte(`{"role":"agent","concurrency":{"min":5},"operators":[{"name":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		role, err := settings.Check(bytes.NewReader(data))
		if err != nil {
			return
		}
		if role == settings.RoleRouter {
			first, _ := settings.DecodeRouter(data)
			again, err := settings.DecodeRouter(encode(t, first))
			if err != nil || !cmp.Equal(first, again) {
				t.Fatalf("changed: %v\n%s", err, cmp.Diff(first, again))
			}
			return
		}
		first, _ := settings.DecodeAgent(data)
		again, err := settings.DecodeAgent(encode(t, first))
		if err != nil || !cmp.Equal(first, again) {
			t.Fatalf("changed: %v\n%s", err, cmp.Diff(first, again))
		}
	})
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
