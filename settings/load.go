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

// MaxFileBytes bounds a settings file.
const MaxFileBytes = 1 << 20

// LoadRouter reads and checks the router settings at path and sets defaults.
// The error carries resultcode.InvalidSettings; a failed check wraps Faults.
func LoadRouter(path string) (Router, error) {
	data, err := readFile(path)
	if err != nil {
		return Router{}, err
	}
	return DecodeRouter(data)
}

// LoadAgent is LoadRouter for agent settings.
func LoadAgent(path string) (Agent, error) {
	data, err := readFile(path)
	if err != nil {
		return Agent{}, err
	}
	return DecodeAgent(data)
}

// DecodeRouter checks router settings, see LoadRouter.
func DecodeRouter(data []byte) (Router, error) {
	var s Router
	err := decode(data, RoleRouter, &s, func(c *checker) { c.router(s) })
	return s, err
}

// DecodeAgent checks agent settings, see LoadRouter.
func DecodeAgent(data []byte) (Agent, error) {
	var s Agent
	err := decode(data, RoleAgent, &s, func(c *checker) { c.agent(s) })
	return s, err
}

// Check reads settings of either role from r and returns the role. The error
// is as for LoadRouter.
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
		fault.Value = show(value)
	}
	return "", invalid(Faults{fault})
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
		return nil, invalid(Faults{{Allowed: fmt.Sprintf("at most %d bytes", MaxFileBytes)}})
	}
	return data, nil
}

// invalid sorts the faults by field, since the schema check visits fields in
// random order.
func invalid(f Faults) error {
	slices.SortStableFunc(f, func(a, b Fault) int { return strings.Compare(a.Field, b.Field) })
	return resultcode.Wrap(resultcode.InvalidSettings, f, "the settings have faults (%d)", len(f))
}

// decode checks data against the role's schema and the relations in check,
// and decodes it with defaults into target.
func decode(data []byte, role Role, target any, check func(*checker)) error {
	object, err := parse(data)
	if err != nil {
		return err
	}
	schema, err := schemaOf(role)
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
	// Fields of a wrong type already have a fault; json.Unmarshal decodes the
	// others, so that the relations between them are checked as well.
	err = json.Unmarshal(complete, target)
	if err != nil && len(faults) == 0 {
		return resultcode.Wrap(resultcode.InvalidSettings, err, "decode settings")
	}
	c := &checker{faults: faults}
	check(c)
	if len(c.faults) > 0 {
		return invalid(c.faults)
	}
	return nil
}

// parse decodes data as one JSON object. Invalid UTF-8 and duplicate fields,
// which encoding/json accepts, are refused.
func parse(data []byte) (map[string]any, error) {
	if !utf8.Valid(data) {
		return nil, invalid(Faults{{Allowed: "valid UTF-8"}})
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, resultcode.Wrap(resultcode.InvalidSettings, err, "parse settings as JSON%s", position(data, err))
	}
	object, ok := doc.(map[string]any)
	if !ok {
		return nil, invalid(Faults{{Value: show(doc), Allowed: "a JSON object"}})
	}
	if faults := duplicates(json.NewDecoder(bytes.NewReader(data)), ""); len(faults) > 0 {
		return nil, invalid(faults)
	}
	return object, nil
}

// position returns the line of a syntax error.
func position(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) || syntax.Offset > int64(len(data)) {
		return ""
	}
	return fmt.Sprintf(", line %d", 1+bytes.Count(data[:syntax.Offset], []byte("\n")))
}

// duplicates reads one value from d, which holds valid JSON, and returns the
// fields that occur more than once in their object.
func duplicates(d *json.Decoder, path string) Faults {
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
			field := join(path, name)
			if seen[name] {
				faults = append(faults, Fault{Field: field, Allowed: "once in its object"})
			}
			seen[name] = true
			faults = append(faults, duplicates(d, field)...)
		}
		_, _ = d.Token()
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			faults = append(faults, duplicates(d, fmt.Sprintf("%s[%d]", path, i))...)
		}
		_, _ = d.Token()
	}
	return faults
}
