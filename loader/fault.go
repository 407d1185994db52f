package loader

import (
	"bytes"
	"fmt"
	"strings"
)

// Fault is one thing wrong in a file.
type Fault struct {
	// Path names the field, as in operators[1].name; it is empty for a fault of syntax.
	Path string `json:"path"`
	// Line and Column count from 1; both are 0 where the fault is of the whole file. A field that the
	// file lacks is blamed on what should hold it.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Message says what is wrong and what is wanted. It never holds a secret.
	Message string `json:"message"`
}

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

// FaultsError tells of all faults of a file at once.
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

// position converts a byte offset into a line and a column, both from 1. Columns count bytes.
func position(src []byte, offset int) (line, column int) {
	offset = min(max(offset, 0), len(src))
	before := src[:offset]
	line = bytes.Count(before, []byte("\n")) + 1
	column = offset - (bytes.LastIndexByte(before, '\n') + 1) + 1
	return line, column
}
