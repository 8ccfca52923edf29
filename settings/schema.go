package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"sync"

	generator "github.com/invopop/jsonschema"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// roleSchema is the JSON Schema of the settings of one role: tree provides the
// defaults, text is published and compiled validates documents.
type roleSchema struct {
	tree     *generator.Schema
	text     []byte
	compiled *jsonschema.Schema
}

// loadSchemas generates and compiles the schemas of all roles on first use.
var loadSchemas = sync.OnceValues(func() (map[Role]*roleSchema, error) {
	router, err := newRoleSchema(Router{}, "pistachiowind router settings")
	if err != nil {
		return nil, err
	}
	agent, err := newRoleSchema(Agent{}, "pistachiowind agent settings")
	if err != nil {
		return nil, err
	}
	return map[Role]*roleSchema{RoleRouter: router, RoleAgent: agent}, nil
})

// Schema returns the JSON Schema (draft 2020-12) of the settings file of a role as
// indented JSON. Relations between fields, which a schema cannot express, are stated
// in the descriptions of the fields. An unknown role yields an error.
func Schema(role Role) ([]byte, error) {
	s, err := schemaFor(role)
	if err != nil {
		return nil, err
	}
	return bytes.Clone(s.text), nil
}

func schemaFor(role Role) (*roleSchema, error) {
	schemas, err := loadSchemas()
	if err != nil {
		return nil, err
	}
	s, ok := schemas[role]
	if !ok {
		return nil, fmt.Errorf("no settings schema for role %q", role)
	}
	return s, nil
}

func newRoleSchema(v any, title string) (*roleSchema, error) {
	reflector := generator.Reflector{Anonymous: true, DoNotReference: true}
	tree := reflector.Reflect(v)
	tree.Title = title
	text, err := json.MarshalIndent(tree, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode settings schema: %w", err)
	}
	compiled, err := compileSchema(text)
	if err != nil {
		return nil, fmt.Errorf("compile settings schema: %w", err)
	}
	return &roleSchema{tree: tree, text: append(text, '\n'), compiled: compiled}, nil
}

func compileSchema(text []byte) (*jsonschema.Schema, error) {
	const resource = "settings.json"
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	c.RegisterFormat(&jsonschema.Format{Name: "ip-port", Validate: checkIPPort})
	c.RegisterFormat(&jsonschema.Format{Name: "http-url", Validate: checkHTTPURL})
	c.AssertFormat()
	if err := c.AddResource(resource, doc); err != nil {
		return nil, err
	}
	return c.Compile(resource)
}

var errIPPort = errors.New("an IP address and port, such as 10.0.0.7:8080 or [fd00::7]:8080")

func checkIPPort(v any) error {
	s, ok := v.(string)
	if !ok {
		return nil
	}
	if _, err := netip.ParseAddrPort(s); err != nil {
		return errIPPort
	}
	return nil
}

var errHTTPURL = errors.New("an absolute http or https URL without credentials, query or fragment")

func checkHTTPURL(v any) error {
	s, ok := v.(string)
	if !ok {
		return nil
	}
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || u.Hostname() == "" {
		return errHTTPURL
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return errHTTPURL
	}
	if u.User != nil || u.RawQuery != "" || u.ForceQuery || u.Fragment != "" {
		return errHTTPURL
	}
	return nil
}

// applyDefaults sets absent fields of doc to the defaults in the schema. An absent
// object is created, with the defaults of its fields, unless it has required fields.
func applyDefaults(s *generator.Schema, doc map[string]any) {
	if s.Properties == nil {
		return
	}
	for p := s.Properties.Oldest(); p != nil; p = p.Next() {
		value, present := doc[p.Key]
		if !present && p.Value.Default != nil {
			doc[p.Key] = p.Value.Default
			continue
		}
		if !present && p.Value.Type == "object" && len(p.Value.Required) == 0 {
			value = map[string]any{}
			doc[p.Key] = value
		}
		if object, ok := value.(map[string]any); ok {
			applyDefaults(p.Value, object)
		}
	}
}
