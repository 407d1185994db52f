package presenter

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Colour is the terminal escape sequence that sets the colour or weight of a cell.
type Colour string

// Colours of a cell.
const (
	Plain  Colour = ""
	Green  Colour = "\x1b[32m"
	Yellow Colour = "\x1b[33m"
	Red    Colour = "\x1b[31m"
	Bold   Colour = "\x1b[1m"

	reset = "\x1b[0m"
)

// columnGap separates two columns.
const columnGap = "  "

// cell is one field of a table.
type cell struct {
	text   string
	colour Colour
}

// table writes rows in aligned columns. Numeric columns are aligned to the right.
type table struct {
	head []string
	rows [][]cell
}

func newTable(head ...string) *table { return &table{head: head} }

// add appends a row. Each field is a string, a number or a cell.
func (t *table) add(fields ...any) {
	row := make([]cell, len(fields))
	for i, f := range fields {
		switch f := f.(type) {
		case cell:
			f.text = clean(f.text)
			row[i] = f
		default:
			row[i] = cell{text: clean(fmt.Sprint(f))}
		}
	}
	t.rows = append(t.rows, row)
}

// clean replaces unprintable characters, so that names from configuration or peers can't control the terminal.
func clean(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, text)
}

func (t *table) write(b *strings.Builder, coloured bool) {
	widths := t.widths()
	for i, name := range t.head {
		writeCell(b, cell{name, Bold}, t.pad(name, widths[i], i), coloured)
	}
	b.WriteByte('\n')
	for _, row := range t.rows {
		for i, c := range row {
			writeCell(b, c, t.pad(c.text, widths[i], i), coloured)
		}
		b.WriteByte('\n')
	}
}

func (t *table) widths() []int {
	widths := make([]int, len(t.head))
	for i, name := range t.head {
		widths[i] = utf8.RuneCountInString(name)
	}
	for _, row := range t.rows {
		for i, c := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(c.text))
		}
	}
	return widths
}

// pad pads a text to the width of its column. The last column gets no trailing spaces.
func (t *table) pad(text string, width, column int) string {
	space := strings.Repeat(" ", width-utf8.RuneCountInString(text))
	gap := columnGap
	if column == 0 {
		gap = ""
	}
	if t.numeric(column) {
		return gap + space + text
	}
	if column == len(t.head)-1 {
		return gap + text
	}
	return gap + text + space
}

// numeric reports whether a column has cells and all of them begin with a digit and contain no colon.
func (t *table) numeric(column int) bool {
	for _, row := range t.rows {
		text := row[column].text
		if text == "" || !unicode.IsDigit(rune(text[0])) || strings.ContainsAny(text, ":") {
			return false
		}
	}
	return len(t.rows) > 0
}

func writeCell(b *strings.Builder, c cell, padded string, coloured bool) {
	if !coloured || c.colour == Plain {
		b.WriteString(padded)
		return
	}
	b.WriteString(string(c.colour))
	b.WriteString(padded)
	b.WriteString(reset)
}
