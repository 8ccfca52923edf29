package catalog

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// maxDifferences is the largest number of differences in an error or a history
// entry.
const maxDifferences = 32

// Difference is one field that has different values in two documents. A profile,
// client account, service or model that one document lacks has the value "absent"
// there.
type Difference struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

const absent = "absent"

// DiffProfile compares two profiles field by field. A nil profile is absent; two nil
// profiles do not differ.
func DiffProfile(from, to *Profile) []Difference {
	switch {
	case from == nil && to == nil:
		return nil
	case from == nil:
		return []Difference{{Field: "profiles[" + to.Name + "]", From: absent, To: describe(*to)}}
	case to == nil:
		return []Difference{{Field: "profiles[" + from.Name + "]", From: describe(*from), To: absent}}
	}
	var d []Difference
	diffValue(&d, "profiles["+from.Name+"]", reflect.ValueOf(*from), reflect.ValueOf(*to))
	return d
}

// Diff compares the contents of two catalogs and returns at most 32 differences.
// Entries of the lists are matched by name; their order does not matter.
func Diff(from, to *Catalog) []Difference {
	var d []Difference
	diffNamed(&d, "profiles", from.Profiles, to.Profiles, func(p Profile) string { return p.Name })
	diffNamed(&d, "client_accounts", from.ClientAccounts, to.ClientAccounts, func(a ClientAccount) string { return a.Name })
	diffNamed(&d, "services", from.Services, to.Services, func(s Service) string { return s.Name })
	diffNamed(&d, "models", from.Models, to.Models, Model.ID)
	return d[:min(len(d), maxDifferences)]
}

func diffNamed[T any](d *[]Difference, list string, from, to []T, name func(T) string) {
	old := make(map[string]T, len(from))
	for _, x := range from {
		old[name(x)] = x
	}
	for _, x := range to {
		field := fmt.Sprintf("%s[%s]", list, name(x))
		before, ok := old[name(x)]
		if !ok {
			*d = append(*d, Difference{Field: field, From: absent, To: describe(x)})
			continue
		}
		delete(old, name(x))
		diffValue(d, field, reflect.ValueOf(before), reflect.ValueOf(x))
	}
	for _, x := range from {
		if _, removed := old[name(x)]; removed {
			*d = append(*d, Difference{Field: fmt.Sprintf("%s[%s]", list, name(x)), From: describe(x), To: absent})
		}
	}
}

// diffValue compares structs field by field and other values as a whole.
func diffValue(d *[]Difference, field string, from, to reflect.Value) {
	if from.Kind() != reflect.Struct || from.Type() == reflect.TypeFor[time.Time]() {
		if !sameValue(from, to) {
			*d = append(*d, Difference{Field: field, From: describe(from.Interface()), To: describe(to.Interface())})
		}
		return
	}
	for i := range from.NumField() {
		tag, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("json"), ",")
		diffValue(d, field+"."+tag, from.Field(i), to.Field(i))
	}
}

// sameValue reports whether two values are equal. A nil and an empty slice count as
// equal, because their JSON forms mean the same.
func sameValue(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

const maxDescribedBytes = 200

func describe(v any) string {
	s := fmt.Sprintf("%+v", v)
	if len(s) > maxDescribedBytes {
		s = strings.ToValidUTF8(s[:maxDescribedBytes], "") + "..."
	}
	return s
}
