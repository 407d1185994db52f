package publisher

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
)

// Fault is one error in a configuration object.
type Fault struct {
	// Path is the path of the field, such as stages[1].pool, or empty for the object as a whole.
	Path    string `json:"path"`
	Message string `json:"message"`
}

func (f Fault) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// fieldReader reads the fields of one JSON object and collects every fault, whereas encoding/json stops at the
// first.
type fieldReader struct {
	path   string
	fields map[string]json.RawMessage
	known  map[string]bool
	faults *[]Fault
}

func newFieldReader(path string, body []byte, faults *[]Fault) *fieldReader {
	r := &fieldReader{path: path, known: make(map[string]bool), faults: faults}
	if err := json.Unmarshal(body, &r.fields); err != nil || r.fields == nil {
		r.addFault("", "must be a JSON object")
	}
	return r
}

func (r *fieldReader) addFault(field, format string, args ...any) {
	*r.faults = append(*r.faults, Fault{Path: joinPath(r.path, field), Message: fmt.Sprintf(format, args...)})
}

func joinPath(path, field string) string {
	if path == "" || field == "" {
		return path + field
	}
	return path + "." + field
}

// read decodes a field into dst and reports whether the field exists and has the right type.
func (r *fieldReader) read(field, want string, required bool, dst any) bool {
	r.known[field] = true
	raw, ok := r.fields[field]
	if !ok {
		if required && r.fields != nil {
			r.addFault(field, "is missing")
		}
		return false
	}
	if string(raw) == "null" || json.Unmarshal(raw, dst) != nil {
		r.addFault(field, "must be %s", want)
		return false
	}
	return true
}

// optionalName reads the object's own name, which may be omitted but must not differ.
func (r *fieldReader) optionalName(field, name string) string {
	var own string
	if r.read(field, "a string", false, &own) && own != name {
		r.addFault(field, "is %q, but the object's name is %q", own, name)
	}
	return name
}

func (r *fieldReader) name(field string, required bool) string {
	var s string
	if r.read(field, "a string", required, &s) && !namePattern.MatchString(s) {
		r.addFault(field, "must match %s", namePattern)
	}
	return s
}

func (r *fieldReader) oneOf(field string, allowed ...string) string {
	var s string
	if r.read(field, "a string", true, &s) && !slices.Contains(allowed, s) {
		r.addFault(field, "must be one of %v", allowed)
	}
	return s
}

func (r *fieldReader) boolean(field string, required bool) bool {
	var b bool
	r.read(field, "true or false", required, &b)
	return b
}

func (r *fieldReader) integer(field string, required bool, lowest, highest int64) int64 {
	var n int64
	if r.read(field, "a whole number", required, &n) && (n < lowest || n > highest) {
		r.addFault(field, "must be from %d to %d", lowest, highest)
	}
	return n
}

// positive reads a number greater than zero.
func (r *fieldReader) positive(field string) float64 {
	var x float64
	if r.read(field, "a number", true, &x) && (x <= 0 || x > maxQuantity) {
		r.addFault(field, "must be above 0 and at most %s", strconv.FormatFloat(maxQuantity, 'f', -1, 64))
	}
	return x
}

// reportUnknown reports the fields that were never read, because a misspelt field would silently have no
// effect.
func (r *fieldReader) reportUnknown() {
	unknown := make([]string, 0)
	for field := range r.fields {
		if !r.known[field] {
			unknown = append(unknown, field)
		}
	}
	slices.Sort(unknown)
	for _, field := range unknown {
		r.addFault(field, "is not a field of this kind of object")
	}
}
