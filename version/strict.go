package version

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Decode decodes a document strictly. Unknown fields, duplicate fields and values of
// the wrong type are errors; all of them are returned together.
func Decode(data []byte) (Document, DocumentErrors) {
	var document Document
	problems := decodeStrict(data, &document)
	return document, problems
}

// decodeStrict decodes data into target, a pointer to a struct.
func decodeStrict(data []byte, target any) DocumentErrors {
	var syntax any
	if err := json.Unmarshal(data, &syntax); err != nil {
		return DocumentErrors{{Path: "$", Reason: syntaxReason(data, err)}}
	}
	c := &strictCheck{}
	c.value("", data, reflect.TypeOf(target).Elem())
	if len(c.problems) > 0 {
		return c.problems
	}
	if err := json.Unmarshal(data, target); err != nil {
		return DocumentErrors{{Path: "$", Reason: err.Error()}}
	}
	return nil
}

func syntaxReason(data []byte, err error) string {
	syntax, ok := err.(*json.SyntaxError)
	if !ok {
		return err.Error()
	}
	before := data[:min(int(syntax.Offset), len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	return fmt.Sprintf("line %d: %v", line, err)
}

// strictCheck checks a value that is known to be well-formed JSON against a Go type.
type strictCheck struct{ problems DocumentErrors }

func (c *strictCheck) addProblem(path, format string, args ...any) {
	if path == "" {
		path = "$"
	}
	c.problems = append(c.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

func (c *strictCheck) value(path string, data json.RawMessage, want reflect.Type) {
	if want.Kind() == reflect.Pointer {
		want = want.Elem()
	}
	if reflect.PointerTo(want).Implements(unmarshaler) {
		c.leaf(path, data, want)
		return
	}
	switch want.Kind() {
	case reflect.Struct:
		c.object(path, data, func(name string, field json.RawMessage) { c.field(path, name, field, want) })
	case reflect.Map:
		c.object(path, data, func(name string, item json.RawMessage) { c.value(join(path, name), item, want.Elem()) })
	case reflect.Slice:
		c.list(path, data, want.Elem())
	default:
		c.leaf(path, data, want)
	}
}

func (c *strictCheck) leaf(path string, data json.RawMessage, want reflect.Type) {
	if bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		c.addProblem(path, "must not be null")
		return
	}
	err := json.Unmarshal(data, reflect.New(want).Interface())
	if mismatch, ok := err.(*json.UnmarshalTypeError); ok {
		c.addProblem(path, "is a %s, must be a %s", mismatch.Value, kindName(want))
		return
	}
	if err != nil {
		c.addProblem(path, "%v", err)
	}
}

func kindName(want reflect.Type) string {
	switch want.Kind() {
	case reflect.Bool:
		return "boolean"
	case reflect.String:
		return "string"
	case reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}

func (c *strictCheck) list(path string, data json.RawMessage, want reflect.Type) {
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil || items == nil {
		c.addProblem(path, "must be a list")
		return
	}
	for i, item := range items {
		c.value(fmt.Sprintf("%s[%d]", path, i), item, want)
	}
}

func (c *strictCheck) object(path string, data json.RawMessage, each func(name string, value json.RawMessage)) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if opening, _ := decoder.Token(); opening != json.Delim('{') {
		c.addProblem(path, "must be an object")
		return
	}
	seen := map[string]bool{}
	for decoder.More() {
		token, _ := decoder.Token()
		name := token.(string)
		var value json.RawMessage
		if decoder.Decode(&value) != nil {
			return
		}
		if seen[name] {
			c.addProblem(join(path, name), "is given twice")
		}
		seen[name] = true
		each(name, value)
	}
}

func (c *strictCheck) field(path, name string, data json.RawMessage, owner reflect.Type) {
	for i := range owner.NumField() {
		if jsonName(owner.Field(i)) == name {
			c.value(join(path, name), data, owner.Field(i).Type)
			return
		}
	}
	c.addProblem(join(path, name), "is not a known field")
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
