package loader

import (
	"bytes"
	"fmt"
	"strings"
)

// Fault is one error in a file.
type Fault struct {
	// Path is the path of the field, such as operators[1].name. It is empty for a syntax error.
	Path string `json:"path"`
	// Line and Column count from 1. Both are 0 if the fault concerns the whole file. For a missing field they
	// are the position of the value that should contain it.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Message describes the error and the expected value. It never contains a secret.
	Message string `json:"message"`
}

// String returns the fault as line:column: path: message, without the parts that are not set.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d: ", f.Line, f.Column)
	}
	if f.Path != "" {
		b.WriteString(f.Path)
		b.WriteString(": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// FaultsError reports all faults of a file.
type FaultsError struct {
	Faults []Fault
}

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// position converts a byte offset into a line and a column in bytes, both counted from 1.
func position(src []byte, offset int) (line, column int) {
	offset = min(max(offset, 0), len(src))
	before := src[:offset]
	line = bytes.Count(before, []byte("\n")) + 1
	column = offset - (bytes.LastIndexByte(before, '\n') + 1) + 1
	return line, column
}
