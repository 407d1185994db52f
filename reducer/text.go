package reducer

import "strings"

// replyText accumulates the text of a reply's parts. A reply of one part needs no allocation.
// The builder is held by pointer, since it must not be copied and a call moves in memory when another is added.
type replyText struct {
	first string
	rest  *strings.Builder
}

func (t *replyText) write(text string) {
	if t.rest == nil && t.first == "" {
		t.first = text
		return
	}
	if t.rest == nil {
		t.rest = &strings.Builder{}
		t.rest.WriteString(t.first)
	}
	t.rest.WriteString(text)
}

func (t *replyText) length() int {
	if t.rest == nil {
		return len(t.first)
	}
	return t.rest.Len()
}

func (t *replyText) content() string {
	if t.rest == nil {
		return t.first
	}
	return t.rest.String()
}
