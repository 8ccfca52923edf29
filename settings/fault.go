package settings

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// maxShownBytes is the length at which the value in a fault is truncated.
const maxShownBytes = 80

// Fault describes one field that does not pass the check.
type Fault struct {
	// Field is the path of the field, such as operators[0].key_hash. It is empty if
	// the fault concerns the whole document.
	Field string `json:"field"`
	// Value is the value of the field as JSON, truncated; empty if the field is
	// absent.
	Value string `json:"value,omitempty"`
	// Allowed describes the values that are accepted.
	Allowed string `json:"allowed"`
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	field := f.Field
	if field == "" {
		field = "document"
	}
	if f.Value == "" {
		return fmt.Sprintf("%s: allowed: %s", field, f.Allowed)
	}
	return fmt.Sprintf("%s: value %s, allowed: %s", field, f.Value, f.Allowed)
}

// Faults is the error for a settings file that does not pass the check. It contains
// all faults, sorted by field.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

func (f Faults) has(field string) bool {
	for i := range f {
		if f[i].Field == field {
			return true
		}
	}
	return false
}

// schemaFaults converts a validation error, which is a tree, into a flat list with
// one fault per field.
func schemaFaults(doc any, ve *jsonschema.ValidationError) Faults {
	if len(ve.Causes) > 0 {
		var out Faults
		for _, cause := range ve.Causes {
			out = append(out, schemaFaults(doc, cause)...)
		}
		return out
	}
	field := fieldPath(ve.InstanceLocation)
	switch k := ve.ErrorKind.(type) {
	case *kind.Required:
		return faultPerField(field, k.Missing, "required")
	case *kind.AdditionalProperties:
		return faultPerField(field, k.Properties, "no such field; see the schema")
	default:
		value := formatValue(valueAt(doc, ve.InstanceLocation))
		return Faults{{Field: field, Value: value, Allowed: describeAllowed(ve.ErrorKind)}}
	}
}

func faultPerField(parent string, names []string, allowed string) Faults {
	out := make(Faults, len(names))
	for i, name := range names {
		out[i] = Fault{Field: joinPath(parent, name), Allowed: allowed}
	}
	return out
}

// describeAllowed describes the values that the violated schema keyword accepts.
func describeAllowed(k jsonschema.ErrorKind) string {
	switch k := k.(type) {
	case *kind.Type:
		return "type " + strings.Join(k.Want, " or ")
	case *kind.Enum:
		return "one of " + strings.Trim(formatValue(k.Want), "[]")
	case *kind.Format:
		return k.Err.Error()
	case *kind.Pattern:
		return "text that matches " + k.Want
	case *kind.Minimum:
		return "at least " + k.Want.RatString()
	case *kind.Maximum:
		return "at most " + k.Want.RatString()
	case *kind.MinLength:
		return fmt.Sprintf("at least %d characters", k.Want)
	case *kind.MaxLength:
		return fmt.Sprintf("at most %d characters", k.Want)
	case *kind.MaxItems:
		return fmt.Sprintf("at most %d items", k.Want)
	case *kind.UniqueItems:
		return fmt.Sprintf("different items; items %d and %d are equal", k.Duplicates[0], k.Duplicates[1])
	default:
		return "the schema's " + strings.Join(k.KeywordPath(), ".")
	}
}

// fieldPath returns the path of a field in the form of Fault.Field.
func fieldPath(location []string) string {
	path := ""
	for _, part := range location {
		if _, err := strconv.Atoi(part); err == nil {
			path += "[" + part + "]"
			continue
		}
		path = joinPath(path, part)
	}
	return path
}

func joinPath(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

// valueAt returns the value at a location in a decoded JSON document; nil if there is
// none.
func valueAt(doc any, location []string) any {
	for _, part := range location {
		switch at := doc.(type) {
		case map[string]any:
			doc = at[part]
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(at) {
				return nil
			}
			doc = at[i]
		}
	}
	return doc
}

// formatValue returns v as JSON, truncated to maxShownBytes.
func formatValue(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	if len(b) > maxShownBytes {
		return strings.ToValidUTF8(string(b[:maxShownBytes]), "") + "..."
	}
	return string(b)
}
