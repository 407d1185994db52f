package loader

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder decodes a syntax tree into Go values. It continues after a fault, so that one run reports all of them.
type decoder struct {
	src       []byte
	faults    []Fault
	positions map[string]int // byte offset of each value by path
}

// fault adds a fault at the byte offset.
func (d *decoder) fault(path string, offset int, format string, args ...any) {
	line, column := position(d.src, offset)
	d.faults = append(d.faults, Fault{
		Path:    path,
		Line:    line,
		Column:  column,
		Message: fmt.Sprintf(format, args...),
	})
}

// value decodes v into the target, which must be settable.
func (d *decoder) value(path string, v hujson.Value, target reflect.Value) {
	d.positions[path] = v.StartOffset
	switch target.Kind() {
	case reflect.Struct:
		d.object(path, v, target)
	case reflect.Slice:
		d.list(path, v, target)
	case reflect.String:
		d.text(path, v, target)
	case reflect.Int64:
		d.integer(path, v, target)
	default:
		panic("loader: unsupported field type " + target.Type().String())
	}
}

func (d *decoder) object(path string, v hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(path, v.StartOffset, "want an object in braces, got %s", kindOf(v))
		return
	}
	fields := fieldsOf(target.Type())
	for _, member := range object.Members {
		d.member(path, member, target, fields)
	}
}

func (d *decoder) member(path string, m hujson.ObjectMember, target reflect.Value, fields []field) {
	name := printable(m.Name.Value.(hujson.Literal).String())
	memberPath := join(path, name)
	i := indexOf(fields, name)
	if i < 0 {
		d.fault(memberPath, m.Name.StartOffset, "unknown field%s", suggestField(name, fields))
		return
	}
	if _, duplicate := d.positions[memberPath]; duplicate {
		d.fault(memberPath, m.Name.StartOffset, "field given twice")
		return
	}
	d.value(memberPath, m.Value, target.Field(fields[i].index))
}

func (d *decoder) list(path string, v hujson.Value, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fault(path, v.StartOffset, "want a list in brackets, got %s", kindOf(v))
		return
	}
	items := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), element, items.Index(i))
	}
	target.Set(items)
}

func (d *decoder) text(path string, v hujson.Value, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.fault(path, v.StartOffset, "want text in quotes, got %s", kindOf(v))
		return
	}
	target.SetString(literal.String())
}

func (d *decoder) integer(path string, v hujson.Value, target reflect.Value) {
	var n int64
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' || json.Unmarshal(literal, &n) != nil {
		d.fault(path, v.StartOffset, "want a whole number%s, got %s", unitOf(path), kindOf(v))
		return
	}
	target.SetInt(n)
}

// kindOf returns the kind of a value for fault messages. It never includes the value itself, which may be a secret in the
// wrong field.
func kindOf(v hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		return kindOfLiteral(value)
	}
	return "nothing"
}

func kindOfLiteral(value hujson.Literal) string {
	switch value.Kind() {
	case '"':
		return "text"
	case '0':
		return "a number of another kind"
	case 'n':
		return "null"
	}
	return "true or false"
}

// unitOf returns the unit of a number by the suffix of its name, as a phrase for fault messages.
func unitOf(path string) string {
	switch {
	case strings.HasSuffix(path, "Millis"):
		return " of milliseconds"
	case strings.HasSuffix(path, "Bytes"):
		return " of bytes"
	}
	return ""
}

// field is the JSON name and index of a struct field.
type field struct {
	name  string
	index int
}

func fieldsOf(t reflect.Type) []field {
	fields := make([]field, 0, t.NumField())
	for i := range t.NumField() {
		fields = append(fields, field{name: t.Field(i).Tag.Get("json"), index: i})
	}
	return fields
}

func indexOf(fields []field, name string) int {
	for i, f := range fields {
		if f.name == name {
			return i
		}
	}
	return -1
}

// unitSuffixes are name endings that users may write instead of the unit suffix that settings use.
var unitSuffixes = []string{"Milliseconds", "Seconds", "Minutes", "Hours", "Millis", "Secs", "Sec", "Ms", "S"}

// suggestField returns a suggestion of the field that an unknown name probably stands for, or "".
func suggestField(name string, fields []field) string {
	for _, f := range fields {
		if strings.EqualFold(f.name, name) {
			return "; did you mean " + f.name + "?"
		}
	}
	for _, f := range fields {
		stem, isTime := strings.CutSuffix(f.name, "Millis")
		if isTime && (name == stem || hasUnitSuffix(name, stem)) {
			return "; it is given in milliseconds, as " + f.name
		}
	}
	return ""
}

// hasUnitSuffix reports whether the name is the stem followed by one of unitSuffixes.
func hasUnitSuffix(name, stem string) bool {
	for _, unit := range unitSuffixes {
		if name == stem+unit {
			return true
		}
	}
	return false
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// maxNameBytes limits how much of a field name appears in faults.
const maxNameBytes = 64

// printable truncates and quotes a field name, so that it can't break lines or send terminal escape sequences.
func printable(name string) string {
	if len(name) > maxNameBytes {
		name = name[:maxNameBytes]
	}
	if labelPattern.MatchString(name) {
		return name
	}
	return strconv.Quote(name)
}

// syntaxFault converts the parser's error into a fault. It omits the part of the error that quotes the file, since that
// may be a secret.
func syntaxFault(err error) Fault {
	var line, column int
	_, rest, _ := strings.Cut(err.Error(), "line ")
	number, rest, _ := strings.Cut(rest, ", column ")
	line, _ = strconv.Atoi(number)
	number, rest, _ = strings.Cut(rest, ": ")
	column, _ = strconv.Atoi(number)
	message, _, _ := strings.Cut(rest, "literal")
	if message != rest {
		message += "literal (text needs quotes)"
	}
	return Fault{Line: line, Column: column, Message: "not JSON with comments: " + message}
}
