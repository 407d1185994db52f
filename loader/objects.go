package loader

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"

	"github.com/tailscale/hujson"
)

// maxObjectsBytes limits the size of a file of configuration objects.
const maxObjectsBytes = 4 << 20

// Object is a configuration object from a file: a pool, a pipeline, a contract or a placement.
type Object struct {
	// Kind is pool, pipeline, contract or placement. This package checks neither the kind nor the body.
	Kind string
	Name string
	// BaseVersion is the version that the change is based on. It is set only if HasBaseVersion is true.
	BaseVersion    int64
	HasBaseVersion bool
	// Body is the body of the object as JSON without comments.
	Body json.RawMessage

	path    string
	decoder *decoder
}

// objectHead holds the fields of an object in a file other than its body.
type objectHead struct {
	Kind        string `json:"kind" check:"label"`
	Name        string `json:"name" check:"label"`
	BaseVersion int64  `json:"baseVersion" min:"0" max:"9223372036854775807"`
}

// bodyField is the name of the member with the body of an object, which package publisher checks.
const bodyField = "body"

// LoadObjects reads a file with one configuration object or a list of them, as JSON with comments.
// Errors are *FaultsError or *UnreadableError.
func LoadObjects(path string) ([]Object, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, &UnreadableError{File: path, Err: err}
	}
	return ParseObjects(src)
}

// ParseObjects parses the text of a file of configuration objects. Its errors are *FaultsError.
func ParseObjects(src []byte) ([]Object, error) {
	tree, err := parseTree(src, maxObjectsBytes)
	if err != nil {
		return nil, err
	}
	d := &decoder{src: src, positions: map[string]int{}}
	var objects []Object
	if array, ok := tree.Value.(*hujson.Array); ok {
		for i, element := range array.Elements {
			objects = append(objects, d.configObject(fmt.Sprintf("[%d]", i), element))
		}
	} else {
		objects = append(objects, d.configObject("", tree))
	}
	if len(d.faults) > 0 {
		sortFaults(d.faults)
		return nil, &FaultsError{Faults: d.faults}
	}
	return objects, nil
}

// IsObjectFile reports whether the text looks like a file of configuration objects rather than settings.
func IsObjectFile(src []byte) bool {
	tree, err := hujson.Parse(src)
	if err != nil {
		return false
	}
	switch value := tree.Value.(type) {
	case *hujson.Array:
		return true
	case *hujson.Object:
		for _, m := range value.Members {
			if m.Name.Value.(hujson.Literal).String() == "kind" {
				return true
			}
		}
	}
	return false
}

// Fault returns a fault with its position in the file. The path is relative to the object's body.
func (o Object) Fault(path, message string) Fault {
	filePath := join(o.path, bodyField)
	if path != "" {
		filePath += "." + path
	}
	d := &decoder{src: o.decoder.src, positions: o.decoder.positions}
	d.faultAt(filePath, "%s", message)
	return d.faults[0]
}

// configObject decodes one configuration object.
func (d *decoder) configObject(path string, v hujson.Value) Object {
	d.positions[path] = v.StartOffset
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(path, v.StartOffset, "want an object in braces, got %s", kindOf(v))
		return Object{}
	}
	var head objectHead
	target := reflect.ValueOf(&head).Elem()
	var body *hujson.Value
	for _, m := range object.Members {
		if m.Name.Value.(hujson.Literal).String() == bodyField && body == nil {
			body = &m.Value
			d.recordPositions(join(path, bodyField), m.Value)
			continue
		}
		d.member(path, m, target, fieldsOf(target.Type()))
	}
	d.checkStruct(path, target)
	if body == nil {
		d.faultAt(join(path, bodyField), "missing")
		return Object{}
	}
	_, hasVersion := d.positions[join(path, "baseVersion")]
	return Object{
		Kind: head.Kind, Name: head.Name,
		BaseVersion: head.BaseVersion, HasBaseVersion: hasVersion,
		Body: standardJSON(*body), path: path, decoder: d,
	}
}

// recordPositions records the byte offset of v and of each value within it.
func (d *decoder) recordPositions(path string, v hujson.Value) {
	d.positions[path] = v.StartOffset
	switch value := v.Value.(type) {
	case *hujson.Object:
		for _, m := range value.Members {
			name := m.Name.Value.(hujson.Literal).String()
			memberPath := path + "." + name
			if _, duplicate := d.positions[memberPath]; duplicate {
				d.fault(path+"."+printable(name), m.Name.StartOffset, "field given twice")
			}
			d.recordPositions(memberPath, m.Value)
		}
	case *hujson.Array:
		for i, element := range value.Elements {
			d.recordPositions(fmt.Sprintf("%s[%d]", path, i), element)
		}
	}
}

// standardJSON returns v as JSON without comments and trailing commas.
func standardJSON(v hujson.Value) json.RawMessage {
	v = v.Clone()
	v.BeforeExtra, v.AfterExtra = nil, nil
	v.Minimize()
	return json.RawMessage(v.Pack())
}
