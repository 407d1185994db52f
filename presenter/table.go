package presenter

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Colour is how a cell is shown on a terminal.
type Colour string

// The colours of a cell.
const (
	Plain  Colour = ""
	Green  Colour = "\x1b[32m"
	Yellow Colour = "\x1b[33m"
	Red    Colour = "\x1b[31m"
	Bold   Colour = "\x1b[1m"

	reset = "\x1b[0m"
)

// columnGap is the space between two columns.
const columnGap = "  "

// cell is one field of a table.
type cell struct {
	text   string
	colour Colour
}

// table lines up its columns. Numbers go to the right.
type table struct {
	head []string
	rows [][]cell
}

func newTable(head ...string) *table { return &table{head: head} }

// add appends a row. A cell is a text, a number or a cell.
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

// clean keeps names that come from configuration or peers from steering the terminal.
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

// pad lines a text up in its column; the last column gets no trailing space.
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

// numeric tells whether all cells of a column begin with a digit.
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
