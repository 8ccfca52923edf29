package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// MaxFileBytes is the largest size of a settings file.
const MaxFileBytes = 1 << 20

// LoadRouter reads the router settings file at path, checks it and applies the
// defaults. Errors carry the code resultcode.InvalidSettings. If the check fails, the
// error wraps Faults.
func LoadRouter(path string) (Router, error) {
	data, err := readFile(path)
	if err != nil {
		return Router{}, err
	}
	return DecodeRouter(data)
}

// LoadAgent does the same as LoadRouter for agent settings.
func LoadAgent(path string) (Agent, error) {
	data, err := readFile(path)
	if err != nil {
		return Agent{}, err
	}
	return DecodeAgent(data)
}

// DecodeRouter checks the content of a router settings file and applies the defaults.
// Errors are those of LoadRouter.
func DecodeRouter(data []byte) (Router, error) {
	var s Router
	err := decode(data, RoleRouter, &s, func(c *relationChecker) { c.checkRouter(s) })
	return s, err
}

// DecodeAgent does the same as DecodeRouter for agent settings.
func DecodeAgent(data []byte) (Agent, error) {
	var s Agent
	err := decode(data, RoleAgent, &s, func(c *relationChecker) { c.checkAgent(s) })
	return s, err
}

// Check reads the settings file of either role from r, checks it and returns the
// role. Errors are those of LoadRouter.
func Check(r io.Reader) (Role, error) {
	data, err := readLimited(r)
	if err != nil {
		return "", err
	}
	object, err := parse(data)
	if err != nil {
		return "", err
	}
	name, _ := object["role"].(string)
	switch role := Role(name); role {
	case RoleRouter:
		_, err = DecodeRouter(data)
		return role, err
	case RoleAgent:
		_, err = DecodeAgent(data)
		return role, err
	}
	fault := Fault{Field: "role", Allowed: `one of "router","agent"`}
	if value, present := object["role"]; present {
		fault.Value = formatValue(value)
	}
	return "", invalidSettings(Faults{fault})
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, resultcode.Wrap(resultcode.InvalidSettings, err, "open settings")
	}
	defer f.Close()
	return readLimited(f)
}

func readLimited(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxFileBytes+1))
	if err != nil {
		return nil, resultcode.Wrap(resultcode.InvalidSettings, err, "read settings")
	}
	if len(data) > MaxFileBytes {
		return nil, invalidSettings(Faults{{Allowed: fmt.Sprintf("at most %d bytes", MaxFileBytes)}})
	}
	return data, nil
}

// invalidSettings returns the error for a list of faults. It sorts them by field,
// because the schema check visits fields in random order.
func invalidSettings(f Faults) error {
	slices.SortStableFunc(f, func(a, b Fault) int { return strings.Compare(a.Field, b.Field) })
	return resultcode.Wrap(resultcode.InvalidSettings, f, "the settings have faults (%d)", len(f))
}

// decode checks data against the schema of the role, decodes it with the defaults
// into target and calls check, which checks the relations between fields.
func decode(data []byte, role Role, target any, check func(*relationChecker)) error {
	object, err := parse(data)
	if err != nil {
		return err
	}
	schema, err := schemaFor(role)
	if err != nil {
		return err
	}
	var faults Faults
	var ve *jsonschema.ValidationError
	if errors.As(schema.compiled.Validate(object), &ve) {
		faults = schemaFaults(object, ve)
	}
	applyDefaults(schema.tree, object)
	complete, err := json.Marshal(object)
	if err != nil {
		return resultcode.Wrap(resultcode.InvalidSettings, err, "encode settings")
	}
	// Fields of a wrong type already have a fault. json.Unmarshal skips them and
	// decodes the others, so that the relations between those are checked too.
	err = json.Unmarshal(complete, target)
	if err != nil && len(faults) == 0 {
		return resultcode.Wrap(resultcode.InvalidSettings, err, "decode settings")
	}
	c := &relationChecker{faults: faults}
	check(c)
	if len(c.faults) > 0 {
		return invalidSettings(c.faults)
	}
	return nil
}

// parse decodes data as a single JSON object. It refuses invalid UTF-8 and duplicate
// fields, which encoding/json accepts.
func parse(data []byte) (map[string]any, error) {
	if !utf8.Valid(data) {
		return nil, invalidSettings(Faults{{Allowed: "valid UTF-8"}})
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, resultcode.Wrap(resultcode.InvalidSettings, err, "parse settings as JSON%s", errorLine(data, err))
	}
	object, ok := doc.(map[string]any)
	if !ok {
		return nil, invalidSettings(Faults{{Value: formatValue(doc), Allowed: "a JSON object"}})
	}
	if faults := duplicateFields(json.NewDecoder(bytes.NewReader(data)), ""); len(faults) > 0 {
		return nil, invalidSettings(faults)
	}
	return object, nil
}

// errorLine returns a suffix for the error message with the line of a JSON syntax
// error; empty for other errors.
func errorLine(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) || syntax.Offset > int64(len(data)) {
		return ""
	}
	return fmt.Sprintf(", line %d", 1+bytes.Count(data[:syntax.Offset], []byte("\n")))
}

// duplicateFields reads one value from d, whose input is valid JSON, and returns a
// fault for each repetition of a field in an object.
func duplicateFields(d *json.Decoder, path string) Faults {
	token, err := d.Token()
	if err != nil {
		return nil
	}
	var faults Faults
	switch token {
	case json.Delim('{'):
		seen := map[string]bool{}
		for d.More() {
			key, _ := d.Token()
			name, _ := key.(string)
			field := joinPath(path, name)
			if seen[name] {
				faults = append(faults, Fault{Field: field, Allowed: "once in its object"})
			}
			seen[name] = true
			faults = append(faults, duplicateFields(d, field)...)
		}
		_, _ = d.Token()
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			faults = append(faults, duplicateFields(d, fmt.Sprintf("%s[%d]", path, i))...)
		}
		_, _ = d.Token()
	}
	return faults
}
