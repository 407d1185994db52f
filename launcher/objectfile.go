package launcher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"geraniumline/operatorserver"
)

// ObjectNotFoundError reports an object that is not in force.
type ObjectNotFoundError struct {
	Kind string
	Name string
}

func (e *ObjectNotFoundError) Error() string {
	return fmt.Sprintf("there is no %s %q in force", e.Kind, e.Name)
}

// objectFile is the file format of a configuration object.
type objectFile struct {
	Kind        string          `json:"kind"`
	Name        string          `json:"name"`
	BaseVersion int64           `json:"baseVersion"`
	Body        json.RawMessage `json:"body"`
}

func newObjectFile(o operatorserver.ConfigObject) objectFile {
	return objectFile{Kind: o.Kind, Name: o.Name, BaseVersion: o.Version, Body: json.RawMessage(o.Body)}
}

// difference is one field that differs between two bodies. A value is empty if that body doesn't have the field.
type difference struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Path    string `json:"path"`
	InForce string `json:"inForce"`
	InFile  string `json:"inFile"`
}

// differences compares two bodies field by field; a nil body has no fields.
func differences(kind, name string, inForce, inFile []byte) ([]difference, error) {
	fieldsInForce, err := fieldsOf(inForce)
	if err != nil {
		return nil, fmt.Errorf("%s %s in force: %w", kind, name, err)
	}
	fieldsInFile, err := fieldsOf(inFile)
	if err != nil {
		return nil, fmt.Errorf("%s %s in the file: %w", kind, name, err)
	}
	paths := map[string]bool{}
	for path := range fieldsInForce {
		paths[path] = true
	}
	for path := range fieldsInFile {
		paths[path] = true
	}
	var found []difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if fieldsInForce[path] != fieldsInFile[path] {
			found = append(found, difference{kind, name, path, fieldsInForce[path], fieldsInFile[path]})
		}
	}
	return found, nil
}

// fieldsOf returns the scalars and the empty lists and objects of a JSON text, as JSON by path.
func fieldsOf(text []byte) (map[string]string, error) {
	fields := map[string]string{}
	if len(text) == 0 {
		return fields, nil
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, err
	}
	addFields(fields, "", value)
	return fields, nil
}

func addFields(fields map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, member := range value {
			addFields(fields, path+"."+name, member)
		}
		if len(value) > 0 {
			return
		}
	case []any:
		for i, element := range value {
			addFields(fields, fmt.Sprintf("%s[%d]", path, i), element)
		}
		if len(value) > 0 {
			return
		}
	}
	text, _ := json.Marshal(value) // a value decoded from JSON can be encoded
	fields[path] = string(text)
}
