package loader

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder fills a Settings from a syntax tree. It goes on after a fault, so that one run finds them all.
type decoder struct {
	src       []byte
	faults    []Fault
	positions map[string]int // byte offset of each value by its path
}

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
		panic("loader: no decoding for a field of type " + target.Type().String())
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
		d.fault(memberPath, m.Name.StartOffset, "unknown field%s", hint(name, fields))
		return
	}
	if _, twice := d.positions[memberPath]; twice {
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

// kindOf names what was found. It never shows the value, which may be a secret in the wrong place.
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

// unitOf returns the unit that a number's name ends in.
func unitOf(path string) string {
	switch {
	case strings.HasSuffix(path, "Millis"):
		return " of milliseconds"
	case strings.HasSuffix(path, "Bytes"):
		return " of bytes"
	}
	return ""
}

// field is one field of a settings struct under its JSON name.
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

// units are what people write at the end of a name in place of the unit that settings use.
var units = []string{"Milliseconds", "Seconds", "Minutes", "Hours", "Millis", "Secs", "Sec", "Ms", "S"}

// hint names the field that an unknown name may have been meant for.
func hint(name string, fields []field) string {
	for _, f := range fields {
		if strings.EqualFold(f.name, name) {
			return "; did you mean " + f.name + "?"
		}
	}
	for _, f := range fields {
		stem, isTime := strings.CutSuffix(f.name, "Millis")
		if isTime && (name == stem || isOtherUnit(name, stem)) {
			return "; it is given in milliseconds, as " + f.name
		}
	}
	return ""
}

func isOtherUnit(name, stem string) bool {
	for _, unit := range units {
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

// maxNameBytes bounds how much of a field's name is shown.
const maxNameBytes = 64

// printable keeps a field's name from breaking the lines or the terminal that it is shown on.
func printable(name string) string {
	if len(name) > maxNameBytes {
		name = name[:maxNameBytes]
	}
	if labelPattern.MatchString(name) {
		return name
	}
	return strconv.Quote(name)
}

// syntaxFault turns the parser's error into a fault. The parser's own words are left out where they
// quote the file, since what they quote may be a secret.
func syntaxFault(err error) Fault {
	var line, column int
	_, rest, _ := strings.Cut(err.Error(), "line ")
	number, rest, _ := strings.Cut(rest, ", column ")
	line, _ = strconv.Atoi(number)
	number, rest, _ = strings.Cut(rest, ": ")
	column, _ = strconv.Atoi(number)
	what, _, _ := strings.Cut(rest, "literal")
	if what != rest {
		what += "literal (text needs quotes)"
	}
	return Fault{Line: line, Column: column, Message: "not JSON with comments: " + what}
}
