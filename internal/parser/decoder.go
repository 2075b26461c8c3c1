package parser

import (
	"encoding"
	"encoding/json"
	"reflect"

	"github.com/tailscale/hujson"
)

// decoder decodes a parsed settings file into Settings by reflection. Unlike
// json.Unmarshal, it reports every problem with its line and field.
type decoder struct {
	file string
	data []byte
	// lines holds the line of each field that the file sets, by path.
	lines   map[string]int
	invalid InvalidList
}

// report adds a problem to the list.
func (d *decoder) report(field string, line int, problem string) {
	d.invalid = append(d.invalid, &Invalid{
		File:    d.file,
		Line:    line,
		Field:   field,
		Problem: problem,
	})
}

// decode decodes the value at a path into target, which is a section or a single
// setting.
func (d *decoder) decode(path string, value hujson.Value, target reflect.Value) {
	line := lineAt(d.data, value.StartOffset)
	d.lines[path] = line
	if !isSection(target.Type()) {
		d.decodeLeaf(path, line, value, target)
		return
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.report(path, line, "must be an object")
		return
	}
	d.decodeSection(path, object, target)
}

// decodeSection decodes an object field by field. Unknown and duplicate fields are
// reported and skipped.
func (d *decoder) decodeSection(path string, object *hujson.Object, target reflect.Value) {
	fields := fieldsByName(target.Type())
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		field := joinPath(path, name)
		line := lineAt(d.data, member.Name.StartOffset)
		index, known := fields[name]
		switch {
		case !known:
			d.report(field, line, "unknown field")
		case seen[name]:
			d.report(field, line, "given twice")
		default:
			d.decode(field, member.Value, target.Field(index))
		}
		seen[name] = true
	}
}

// decodeLeaf decodes a single setting. Standardize removes comments and trailing
// commas, which encoding/json does not accept.
func (d *decoder) decodeLeaf(path string, line int, value hujson.Value, target reflect.Value) {
	value = value.Clone()
	value.Standardize()
	if err := json.Unmarshal(value.Pack(), target.Addr().Interface()); err != nil {
		d.report(path, line, "invalid value: "+err.Error())
	}
}

// isSection reports whether a type is a group of settings rather than a single
// value.
func isSection(t reflect.Type) bool {
	if t.Kind() != reflect.Struct {
		return false
	}
	pointer := reflect.PointerTo(t)
	return !pointer.Implements(reflect.TypeFor[json.Unmarshaler]()) &&
		!pointer.Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// fieldsByName maps the JSON names of a struct's fields to their indices.
func fieldsByName(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for index := range t.NumField() {
		fields[t.Field(index).Tag.Get("json")] = index
	}
	return fields
}

// joinPath appends the name of a field to the path of its section.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
