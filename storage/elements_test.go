package storage

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pistachiowind/pistachiowind/oddvalue"
)

const soundVM = `{"name":"vm-1","role":"agent","address":"10.0.0.9:8080","region":"r","availability_zone":"z","state":"live"}`

// Guards against one odd entry of the VM list that ends the processes which read it, stops
// them from following the list, or is taken for a VM.
func TestOddEntryOfTheVMListIsLeftOut(t *testing.T) {
	body := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	leftOut := 0
	list := NewVMList(Options{URL: server.URL, Client: http.DefaultClient}).WithLeftOut(func(string, error) { leftOut++ })
	for name, odd := range oddvalue.JSON(strings.ReplaceAll(soundVM, "vm-1", "odd")) {
		if !closed(odd) {
			// The list is cut off, or has data after its end: it is no answer of the platform.
			continue
		}
		body = `{"vms":[` + soundVM + `,` + odd + `,` + strings.ReplaceAll(soundVM, "vm-1", "vm-2") + `]}`
		vms, err := list.List(t.Context())
		if err != nil || len(vms) < 2 || vms[0].Name != "vm-1" || vms[len(vms)-1].Name != "vm-2" {
			t.Fatalf("%s: %v, %v", name, vms, err)
		}
		for _, vm := range vms {
			if vm.Name == "" || vm.Address != "10.0.0.9:8080" {
				t.Errorf("%s is taken for %+v", name, vm)
			}
		}
		if reported := leftOut; len(vms) == 2 {
			if _, err := list.List(t.Context()); err != nil || leftOut != reported {
				t.Errorf("%s: reported again, error %v", name, err)
			}
		}
	}
	if leftOut == 0 {
		t.Error("no entry was reported as left out")
	}
}

// closed reports whether all brackets and strings of a text end within it.
func closed(text string) bool {
	parts, err := split([]byte("[" + text + "]"))
	return err == nil && len(parts) == 1 && strings.Count(text, `"`)%2 == 0 && text != "\xff\x00"
}

// Guards against elements that are split at a bracket or comma inside a text, or lost.
func TestElements(t *testing.T) {
	for document, want := range map[string]string{
		`{"a":[1, "x,]}\"[" ,{"b":[2,3]},[]], "b":[9]}`: `[1,"x,]}\"[",{"b":[2,3]},[]]`,
		`{"b":[9]}`:           `null`,
		`null`:                `null`,
		` { "a" : [ ] } `:     `null`,
		`{"a":null}`:          `null`,
		`{"\"a":[7],"a":[8]}`: `[8]`,
	} {
		got, err := Elements([]byte(document), "a")
		raw := make([]json.RawMessage, len(got))
		for i, e := range got {
			raw[i] = e
		}
		text, _ := json.Marshal(raw)
		if err != nil || string(text) != want && !(want == "null" && len(got) == 0) {
			t.Errorf("%s: %s, %v, want %s", document, text, err, want)
		}
	}
	for _, document := range []string{``, `[]`, `{"a":3}`, `{"a":[1`, `{"a":[1]`, `{"a":[1]}]`, `{"a":"[1]"}`} {
		if got, err := Elements([]byte(document), "a"); err == nil {
			t.Errorf("%s: %q without an error", document, got)
		}
	}
}
