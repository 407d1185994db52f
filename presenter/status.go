package presenter

import (
	"fmt"
	"strings"

	"geraniumline/operatorserver"
)

// StatusText returns a Status as tables for a terminal.
func StatusText(status operatorserver.Status, coloured bool) string {
	s := summarise(status)
	var b strings.Builder
	fmt.Fprintf(&b, "%s in %s: %s, %s, configuration offset %d, claims offset %d\n",
		clean(s.Entry), clean(s.Zone), clean(s.Phase), readiness(s.Ready), s.ConfigOffset, s.ClaimsOffset)
	for _, alarm := range s.Alarms {
		writeCell(&b, cell{"", Red}, "ALARM "+clean(alarm), coloured)
		b.WriteByte('\n')
	}
	writeSection(&b, "entries", s.entryTable(), coloured)
	writeSection(&b, "accounts", s.accountTable(), coloured)
	writeMore(&b, s.MoreAccounts, "accounts with a higher attainment")
	writeSection(&b, "cost by stage", s.costTable(), coloured)
	writeSection(&b, "pools", s.poolTable(), coloured)
	writeSection(&b, "endpoints", s.endpointTable(), coloured)
	writeMore(&b, s.MoreEndpoints, "endpoints")
	for _, o := range status.Orderers {
		fmt.Fprintf(&b, "\norders to %s by %s\n", clean(o.Pool), clean(o.Entry))
	}
	return b.String()
}

func readiness(ready bool) string {
	if ready {
		return "ready"
	}
	return "not ready"
}

func writeSection(b *strings.Builder, name string, t *table, coloured bool) {
	if len(t.rows) == 0 {
		fmt.Fprintf(b, "\n%s: none\n", name)
		return
	}
	fmt.Fprintf(b, "\n%s:\n", name)
	t.write(b, coloured)
}

func writeMore(b *strings.Builder, n int, what string) {
	if n > 0 {
		fmt.Fprintf(b, "and %d more %s; --json has them all\n", n, what)
	}
}

func (s summary) entryTable() *table {
	t := newTable("zone", "entry", "state", "callers' address", "offset", "in flight", "heard")
	for _, zone := range s.Zones {
		for _, e := range zone.Entries {
			offset := cell{text: fmt.Sprint(e.ConfigOffset)}
			if e.ConfigOffset < s.ConfigOffset {
				offset.colour = Yellow
			}
			t.add(e.Zone, e.Name, stateCell(e.State), e.CallerAddress, offset, e.InFlight, formatSilence(e.SilentMillis))
		}
	}
	return t
}

func (s summary) accountTable() *table {
	t := newTable("account", "attainment", "share", "limit/s", "in flight", "received", "answered", "in time", "not run", "unknown")
	for _, a := range s.ListedAccounts {
		attainment := cell{percent(a.Attainment), gradeColour(a.Attainment)}
		t.add(a.Account, attainment, percent(a.Share), decimal(a.RatePerSecond), a.InFlight, a.Sent, a.Answered, a.InTime, a.NotRun, a.Unknown)
	}
	return t
}

func (s summary) costTable() *table {
	t := newTable("account", "stage", "cost ms", "wasted ms")
	for _, a := range s.ListedAccounts {
		for _, stage := range a.Stages {
			t.add(a.Account, stage.Stage, decimal(stage.Cost), decimal(stage.Wasted))
		}
	}
	return t
}

func (s summary) poolTable() *table {
	t := newTable("pool", "live", "not live", "in flight", "queued")
	for _, p := range s.Pools {
		notLive := cell{text: fmt.Sprint(p.NotLive)}
		if p.NotLive > 0 {
			notLive.colour = Red
		}
		t.add(p.Pool, p.Live, notLive, p.InFlight, p.Queued)
	}
	return t
}

func (s summary) endpointTable() *table {
	t := newTable("endpoint", "state", "pool", "zone", "in flight", "queued")
	for _, e := range s.ListedEndpoints {
		t.add(e.Address, stateCell(string(e.State)), poolOf(e), e.Zone, e.InFlight, e.Queued)
	}
	return t
}

// poolOf returns an endpoint's pool, followed by the engine's assignment if it is known.
func poolOf(e operatorserver.EndpointStatus) string {
	if assignment := e.Assignment.Value; assignment != "" {
		return e.Pool + " (" + assignment + ")"
	}
	return e.Pool
}

// stateCell returns a cell with the state of an entry or an endpoint, coloured by its health.
func stateCell(state string) cell {
	switch state {
	case "live", "serving":
		return cell{state, Green}
	case "dead", "stopped", "gone", "ejected":
		return cell{state, Red}
	}
	return cell{state, Yellow}
}

func gradeColour(attainment float64) Colour {
	switch grade(attainment) {
	case "good":
		return Green
	case "fair":
		return Yellow
	}
	return Red
}
