package launcher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"geraniumline/operatorserver"
)

// ObjectNotFoundError tells of an object that is not in force.
type ObjectNotFoundError struct {
	Kind string
	Name string
}

func (e *ObjectNotFoundError) Error() string {
	return fmt.Sprintf("there is no %s %q in force", e.Kind, e.Name)
}

// fileForm is a configuration object as a file holds it.
type fileForm struct {
	Kind        string          `json:"kind"`
	Name        string          `json:"name"`
	BaseVersion int64           `json:"baseVersion"`
	Body        json.RawMessage `json:"body"`
}

func fileFormOf(o operatorserver.ConfigObject) fileForm {
	return fileForm{Kind: o.Kind, Name: o.Name, BaseVersion: o.Version, Body: json.RawMessage(o.Body)}
}

// difference is one field that differs between two bodies. An empty side lacks the field.
type difference struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Path    string `json:"path"`
	InForce string `json:"inForce"`
	InFile  string `json:"inFile"`
}

// differences compares two bodies field by field; a body of nil has none.
func differences(kind, name string, inForce, inFile []byte) ([]difference, error) {
	before, err := fieldsOf(inForce)
	if err != nil {
		return nil, fmt.Errorf("%s %s in force: %w", kind, name, err)
	}
	after, err := fieldsOf(inFile)
	if err != nil {
		return nil, fmt.Errorf("%s %s in the file: %w", kind, name, err)
	}
	paths := map[string]bool{}
	for path := range before {
		paths[path] = true
	}
	for path := range after {
		paths[path] = true
	}
	var found []difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			found = append(found, difference{kind, name, path, before[path], after[path]})
		}
	}
	return found, nil
}

// fieldsOf returns each scalar and each empty list or object of a JSON text by its path.
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
	text, _ := json.Marshal(value) // it was decoded from JSON
	fields[path] = string(text)
}
