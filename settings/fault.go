package settings

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// maxShownBytes bounds the value shown in a fault.
const maxShownBytes = 80

// Fault is one field that does not pass the check.
type Fault struct {
	// Field is the path of the field, such as operators[0].key_hash. Empty
	// means the document.
	Field string `json:"field"`
	// Value is the field's value as JSON, shortened; empty when absent.
	Value string `json:"value,omitempty"`
	// Allowed says what the field must be.
	Allowed string `json:"allowed"`
}

// String returns the fault on one line.
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

// Faults is the error of a settings file that does not pass its check. It
// holds every fault, sorted by field.
type Faults []Fault

// Error returns one fault per line.
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

// schemaFaults flattens a validation error into one fault per field.
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
		return perName(field, k.Missing, "required")
	case *kind.AdditionalProperties:
		return perName(field, k.Properties, "no such field; see the schema")
	default:
		value := show(lookup(doc, ve.InstanceLocation))
		return Faults{{Field: field, Value: value, Allowed: allowed(ve.ErrorKind)}}
	}
}

func perName(parent string, names []string, allowed string) Faults {
	out := make(Faults, len(names))
	for i, name := range names {
		out[i] = Fault{Field: join(parent, name), Allowed: allowed}
	}
	return out
}

// allowed says what the schema keyword behind k accepts.
func allowed(k jsonschema.ErrorKind) string {
	switch k := k.(type) {
	case *kind.Type:
		return "type " + strings.Join(k.Want, " or ")
	case *kind.Enum:
		return "one of " + strings.Trim(show(k.Want), "[]")
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

func fieldPath(location []string) string {
	path := ""
	for _, part := range location {
		if _, err := strconv.Atoi(part); err == nil {
			path += "[" + part + "]"
			continue
		}
		path = join(path, part)
	}
	return path
}

func join(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func lookup(doc any, location []string) any {
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

func show(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	if len(b) > maxShownBytes {
		return strings.ToValidUTF8(string(b[:maxShownBytes]), "") + "..."
	}
	return string(b)
}
