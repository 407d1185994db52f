package presenter

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"geraniumline/operatorserver"
)

// hiddenAttributes lists attributes that every span has. They are not repeated for each span.
var hiddenAttributes = map[string]bool{"geraniumline.request.id": true}

// TraceText returns a request's spans as a tree, each with its start relative to the first span and its duration.
func TraceText(trace operatorserver.Trace) string {
	var b strings.Builder
	fmt.Fprintf(&b, "trace %s, %d spans\n", clean(trace.TraceId), len(trace.Spans))
	if len(trace.Spans) == 0 {
		return b.String()
	}
	spans := slices.Clone(trace.Spans)
	slices.SortStableFunc(spans, func(a, b operatorserver.Span) int { return int(a.StartMicros - b.StartMicros) })
	w := traceWriter{b: &b, start: spans[0].StartMicros, children: map[string][]operatorserver.Span{}}
	known := map[string]bool{}
	for _, s := range spans {
		known[s.SpanId] = true
	}
	var roots []operatorserver.Span
	for _, s := range spans {
		parent := s.ParentId.Or("")
		if !known[parent] {
			roots = append(roots, s)
			continue
		}
		w.children[parent] = append(w.children[parent], s)
	}
	w.write(roots, 0)
	return b.String()
}

type traceWriter struct {
	b        *strings.Builder
	start    int64
	children map[string][]operatorserver.Span
}

// write writes spans and their descendants. A span's children are removed from the map when they are written, so
// that spans that name each other as parents can't cause infinite recursion.
func (w *traceWriter) write(spans []operatorserver.Span, depth int) {
	for _, s := range spans {
		fmt.Fprintf(w.b, "%10.3f ms %+10.3f ms  %s%s%s\n",
			float64(s.StartMicros-w.start)/1000, float64(s.DurationMicros)/1000,
			strings.Repeat("  ", depth), clean(s.Name), attributesOf(s))
		children := w.children[s.SpanId]
		delete(w.children, s.SpanId)
		w.write(children, depth+1)
	}
}

func attributesOf(s operatorserver.Span) string {
	attributes := s.Attributes.Or(nil)
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(attributes)) {
		if !hiddenAttributes[name] {
			fmt.Fprintf(&b, " %s=%s", clean(name), clean(attributes[name]))
		}
	}
	return b.String()
}
