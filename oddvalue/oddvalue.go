// Package oddvalue makes documents and messages as a faulty writer leaves them, for tests of
// what reads them: a sound one with a single value replaced by one that is very deeply
// nested, too large, out of range or of another type.
package oddvalue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"iter"
	"math"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// depth is the number of nested arrays of a deep value: over the limit of encoding/json,
// 10,000, and within a row of 64 KiB.
const depth = 30_000

// jsonValues are the texts that replace a value of a JSON document.
var jsonValues = []string{
	`null`, `true`, `[]`, `{}`, `[[]]`, `""`, `"x"`, `"\u0000\ud800"`, `0`, `-1`, `0.5`, `1e18`, `1e300`, `-1e300`, `1e999`, `-1e999`,
	`2147483648`, `9223372036854775807`, `-9223372036854775808`, `18446744073709551616`,
	`"10.0.0.9:0"`, `"10.0.0.9:65536"`, `"10.0.0.9:-1"`, `"10.0.0.9:99999999999999999999"`, `"0.0.0.0:80"`, `":80"`, `"[::]:80"`, `"224.0.0.1:80"`,
	strings.Repeat("[", depth) + strings.Repeat("]", depth), strings.Repeat("[", depth), strings.Repeat(`{"a":`, depth/4),
	`"` + strings.Repeat("x", depth) + `"`,
}

// placeholder marks the value that is replaced. It is written without escapes.
const placeholder = "odd-value-placeholder"

// JSON yields variants of a JSON document, each with a name: every value in it replaced by
// each odd one, each object with one member more, and the document cut off. It panics if the
// document is not valid.
func JSON(document string) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for i := range countValues(document) {
			pattern, name := withPlaceholder(document, i)
			for _, value := range jsonValues {
				if !yield(fmt.Sprintf("%s = %.30s", name, value), strings.Replace(pattern, `"`+placeholder+`"`, value, 1)) {
					return
				}
			}
		}
		for _, c := range []struct{ name, text string }{
			{"an unknown deep member", strings.Replace(document, "{", `{"odd":`+jsonValues[len(jsonValues)-4]+`,`, 1)},
			{"a prefix", document[:len(document)/2]}, {"empty", ""}, {"no JSON", "\xff\x00"}, {"twice", document + document},
		} {
			if !yield(c.name, c.text) {
				return
			}
		}
	}
}

// countValues returns the number of values in a document, also nested ones.
func countValues(document string) int {
	n := 0
	walk(parse(document), "$", func(string) bool { n++; return false })
	return n
}

// withPlaceholder returns the document with its ith value replaced by the placeholder, and the
// path of the value.
func withPlaceholder(document string, i int) (text, path string) {
	replaced := walk(parse(document), "$", func(p string) bool {
		i--
		if i == -1 {
			path = p
		}
		return i == -1
	})
	out, err := json.Marshal(replaced)
	if err != nil {
		panic(err)
	}
	return string(out), path
}

func parse(document string) any {
	decoder := json.NewDecoder(strings.NewReader(document))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		panic(err)
	}
	return value
}

// walk calls replace for each value in a fixed order, and returns the value with the
// placeholder wherever it returns true.
func walk(value any, path string, replace func(path string) bool) any {
	if replace(path) {
		return placeholder
	}
	switch v := value.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			v[k] = walk(v[k], path+"."+k, replace)
		}
	case []any:
		for i := range v {
			v[i] = walk(v[i], fmt.Sprintf("%s[%d]", path, i), replace)
		}
	}
	return value
}

// unknownField is a field number that no message has.
const unknownField = 1000

// Message yields encoded variants of a protobuf message, each with a name: every field that is
// set, also in messages within it, replaced by each odd value of its kind, repeated fields
// made long, and the encoding cut off, followed by other bytes or by a deep unknown group.
func Message(sound proto.Message) iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		for i := 0; ; i++ {
			m := proto.Clone(sound)
			target := i
			name := ""
			if !replaceNth(m.ProtoReflect(), &target, &name) {
				break
			}
			// Fields with text that is not UTF-8 cannot be encoded, and so cannot arrive.
			if b, err := proto.Marshal(m); err == nil && !yield(name, b) {
				return
			}
		}
		b, err := proto.Marshal(sound)
		if err != nil {
			panic(err)
		}
		group := protowire.AppendTag(nil, unknownField, protowire.StartGroupType)
		for name, encoded := range map[string][]byte{
			"empty": {}, "a prefix": b[:len(b)/2], "other bytes": {0xff, 0xff, 0xff, 0xff},
			"a deep group": append(slices.Clone(b), bytes.Repeat(group, depth)...), "twice": append(slices.Clone(b), b...),
		} {
			if !yield(name, encoded) {
				return
			}
		}
	}
}

// replaceNth replaces the nth pair of field and odd value; false if there are fewer.
func replaceNth(m protoreflect.Message, n *int, name *string) bool {
	done := false
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !m.Has(field) {
			continue
		}
		switch {
		case field.IsMap():
		case field.IsList():
			done = replaceInList(m, field, n, name)
		case field.Message() != nil:
			done = replaceNth(m.Mutable(field).Message(), n, name)
		default:
			done = replaceScalar(field, n, name, func(v protoreflect.Value) { m.Set(field, v) })
		}
		if done {
			return true
		}
	}
	return false
}

// longList is the number of elements that replace those of a repeated field.
const longList = 2000

func replaceInList(m protoreflect.Message, field protoreflect.FieldDescriptor, n *int, name *string) bool {
	list := m.Mutable(field).List()
	for i := range list.Len() {
		if field.Message() != nil {
			if replaceNth(list.Get(i).Message(), n, name) {
				return true
			}
			continue
		}
		if replaceScalar(field, n, name, func(v protoreflect.Value) { list.Set(i, v) }) {
			return true
		}
	}
	if *n--; *n >= 0 {
		return false
	}
	*name = string(field.FullName()) + " made long"
	first := list.Get(0)
	for range longList {
		list.Append(first)
	}
	return true
}

func replaceScalar(field protoreflect.FieldDescriptor, n *int, name *string, set func(protoreflect.Value)) bool {
	for _, value := range scalars(field.Kind()) {
		if *n--; *n >= 0 {
			continue
		}
		*name = fmt.Sprintf("%s = %.30v", field.FullName(), value.Interface())
		set(value)
		return true
	}
	return false
}

// scalars are the odd values of a kind of field.
func scalars(kind protoreflect.Kind) []protoreflect.Value {
	switch kind {
	case protoreflect.BoolKind:
		return []protoreflect.Value{protoreflect.ValueOfBool(false)}
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return valuesOf(protoreflect.ValueOfInt32, 0, -1, math.MaxInt32, math.MinInt32)
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return valuesOf(protoreflect.ValueOfInt64, 0, -1, 1<<40, math.MaxInt64, math.MinInt64)
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return valuesOf(protoreflect.ValueOfUint32, 0, 1<<20, math.MaxUint32)
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return valuesOf(protoreflect.ValueOfUint64, 0, 1<<40, math.MaxInt64, math.MaxUint64)
	case protoreflect.FloatKind:
		return valuesOf(protoreflect.ValueOfFloat32, 0, -1, math.MaxFloat32, -math.MaxFloat32, float32(math.NaN()), float32(math.Inf(1)), float32(math.Inf(-1)))
	case protoreflect.DoubleKind:
		return valuesOf(protoreflect.ValueOfFloat64, 0, -1, math.MaxFloat64, -math.MaxFloat64, math.NaN(), math.Inf(1), math.Inf(-1))
	case protoreflect.StringKind:
		return valuesOf(protoreflect.ValueOfString, "", "\x00", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999", strings.Repeat("x", depth))
	case protoreflect.BytesKind:
		return valuesOf(protoreflect.ValueOfBytes, nil, []byte("\xff"), []byte(strings.Repeat("[", depth)), []byte("1e999"), bytes.Repeat([]byte("x"), depth))
	case protoreflect.EnumKind:
		return valuesOf(protoreflect.ValueOfEnum, -1, math.MaxInt32)
	}
	return nil
}

func valuesOf[T any](value func(T) protoreflect.Value, list ...T) []protoreflect.Value {
	out := make([]protoreflect.Value, 0, len(list))
	for _, v := range list {
		out = append(out, value(v))
	}
	return out
}
