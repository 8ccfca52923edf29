package storage

import (
	"bytes"
	"errors"
	"fmt"
)

// errNoArray is returned for a document without the array that is looked for.
var errNoArray = errors.New("no such array")

// Elements returns the JSON texts of the elements of an array that is a member of an object,
// without decoding them, so that one which cannot be decoded hides no other: encoding/json
// refuses a whole document for a number out of range or a value that is nested too deeply. A
// missing member, and null, have no elements.
func Elements(document []byte, member string) ([][]byte, error) {
	value, found, err := memberOf(document, member)
	if err != nil {
		return nil, fmt.Errorf("array %q: %w", member, err)
	}
	if !found || string(value) == "null" {
		return nil, nil
	}
	if len(value) == 0 || value[0] != '[' {
		return nil, fmt.Errorf("array %q: %w", member, errNoArray)
	}
	parts, err := split(value)
	if err != nil {
		return nil, fmt.Errorf("array %q: %w", member, err)
	}
	return parts, nil
}

// memberOf returns the text of a member of an object.
func memberOf(document []byte, member string) (value []byte, found bool, err error) {
	document = bytes.TrimSpace(document)
	if string(document) == "null" {
		return nil, false, nil
	}
	if len(document) == 0 || document[0] != '{' {
		return nil, false, errNoArray
	}
	members, err := split(document)
	if err != nil {
		return nil, false, err
	}
	name := fmt.Appendf(nil, "%q", member)
	for _, m := range members {
		rest, ok := bytes.CutPrefix(m, name)
		rest = bytes.TrimSpace(rest)
		if ok && len(rest) > 0 && rest[0] == ':' {
			value, found = bytes.TrimSpace(rest[1:]), true
		}
	}
	return value, found, nil
}

// split returns the texts between the commas of an array or object, which has to end with the
// text. It counts brackets of both kinds alike; what is between the commas is not checked.
func split(text []byte) ([][]byte, error) {
	var parts [][]byte
	depth, start, inString := 0, 1, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
			if depth > 0 {
				continue
			}
			if part := bytes.TrimSpace(text[start:i]); len(part) > 0 || len(parts) > 0 {
				parts = append(parts, part)
			}
			if len(bytes.TrimSpace(text[i+1:])) > 0 {
				return nil, errors.New("data after the end")
			}
			return parts, nil
		case c == ',' && depth == 1:
			parts = append(parts, bytes.TrimSpace(text[start:i]))
			start = i + 1
		}
	}
	return nil, errors.New("the text has no end")
}
