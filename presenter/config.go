package presenter

import (
	"strings"
	"time"

	"geraniumline/operatorserver"
)

// HistoryText returns configuration changes as a table, in the given order.
func HistoryText(history operatorserver.ConfigHistory, coloured bool) string {
	t := newTable("at", "verdict", "kind", "name", "version", "operator", "message")
	for _, c := range history.Changes {
		at := ""
		if millis, ok := c.AtMillis.Get(); ok {
			at = time.UnixMilli(millis).UTC().Format(time.RFC3339)
		}
		t.add(at, verdictCell(c.Verdict), c.Kind, c.Name, c.Version, c.Operator.Or(""), c.Message.Or(""))
	}
	var b strings.Builder
	t.write(&b, coloured)
	return b.String()
}

// ObjectsText returns the names and versions of configuration objects as a table.
func ObjectsText(view operatorserver.ConfigView, coloured bool) string {
	t := newTable("kind", "name", "version")
	for _, o := range view.Objects {
		t.add(o.Kind, o.Name, o.Version)
	}
	var b strings.Builder
	t.write(&b, coloured)
	return b.String()
}

func verdictCell(verdict operatorserver.ConfigVerdictVerdict) cell {
	switch verdict {
	case operatorserver.ConfigVerdictVerdictAccepted:
		return cell{string(verdict), Green}
	case operatorserver.ConfigVerdictVerdictPending:
		return cell{string(verdict), Yellow}
	}
	return cell{string(verdict), Red}
}

// DifferenceLine returns a line on one field that differs between an object in force and a file. An empty value
// means that the field is missing on that side.
func DifferenceLine(kind, name, path, inForce, inFile string, coloured bool) string {
	var b strings.Builder
	b.WriteString(clean(kind + " " + name + " " + strings.TrimPrefix(path, ".") + ": "))
	writeCell(&b, cell{"", Red}, orNone(inForce), coloured)
	b.WriteString(" -> ")
	writeCell(&b, cell{"", Green}, orNone(inFile), coloured)
	b.WriteByte('\n')
	return b.String()
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return clean(text)
}
