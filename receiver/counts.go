package receiver

import (
	"time"

	"geraniumline/meter"
	"geraniumline/reducer"
)

// counts holds the counts of one request's way through this entry.
type counts struct {
	meter   *meter.Meter
	account string
	arrived time.Time
	// deadline is the time that the caller gave.
	deadline time.Duration
	parts    int
}

// newCounts begins a request's counts. The account is only a label once the core has known it, since a
// caller may send any name.
func newCounts(m *meter.Meter, account string, deadline time.Duration, now time.Time) *counts {
	return &counts{meter: m, account: account, deadline: deadline, arrived: now}
}

// count takes one answer to the request.
func (c *counts) count(effect reducer.Effect, now time.Time) {
	switch e := effect.(type) {
	case reducer.SendPart:
		c.part(now)
	case reducer.SendAnswer:
		c.end(meter.RequestsAnswered, now)
		if now.Sub(c.arrived) <= c.deadline {
			c.meter.Counter(meter.RequestsInTime, c.account).Inc(1)
		}
	case reducer.SendFailure:
		if !isUnauthorized(e) {
			c.fail(e.Failure, now)
		}
	}
}

// isUnauthorized tells whether an answer refuses a caller that has not proved its account.
func isUnauthorized(effect reducer.Effect) bool {
	e, failed := effect.(reducer.SendFailure)
	return failed && (e.Failure.Code == reducer.CodeUnknownAccount || e.Failure.Code == reducer.CodeWrongCredential)
}

func (c *counts) part(now time.Time) {
	c.parts++
	if c.parts == 1 {
		c.meter.Histogram(meter.FirstPartMicros).Update(now.Sub(c.arrived).Microseconds())
	}
}

func (c *counts) fail(failure reducer.Failure, now time.Time) {
	if failure.State == reducer.StateUnknown {
		c.end(meter.RequestsUnknown, now)
		return
	}
	c.end(meter.RequestsNotRun, now)
}

func (c *counts) end(name meter.Name, now time.Time) {
	c.meter.Counter(meter.RequestsReceived, c.account).Inc(1)
	c.meter.Counter(name, c.account).Inc(1)
	c.meter.Histogram(meter.RequestMicros).Update(now.Sub(c.arrived).Microseconds())
}
