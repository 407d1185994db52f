package receiver

import (
	"time"

	"geraniumline/meter"
	"geraniumline/reducer"
)

// requestMetrics records the metrics of one request on this entry.
type requestMetrics struct {
	meter   *meter.Meter
	account string
	arrived time.Time
	// deadline is the time after arrival that the caller allows for the answer.
	deadline time.Duration
	parts    int
}

// newRequestMetrics returns the metrics of a request that arrived at now. The account is used as a label only
// after the core has authenticated it, since a caller may send any name.
func newRequestMetrics(registry *meter.Meter, account string, deadline time.Duration, now time.Time) *requestMetrics {
	return &requestMetrics{meter: registry, account: account, deadline: deadline, arrived: now}
}

// record updates the metrics for one effect of the request.
func (m *requestMetrics) record(effect reducer.Effect, now time.Time) {
	switch e := effect.(type) {
	case reducer.SendPart:
		m.recordPart(now)
	case reducer.SendAnswer:
		m.recordEnd(meter.RequestsAnswered, now)
		if now.Sub(m.arrived) <= m.deadline {
			m.meter.Counter(meter.RequestsInTime, m.account).Inc(1)
		}
	case reducer.SendFailure:
		if !isUnauthorized(e) {
			m.recordFailure(e.Failure, now)
		}
	}
}

// isUnauthorized reports whether an effect rejects the caller's account or credential.
func isUnauthorized(effect reducer.Effect) bool {
	e, failed := effect.(reducer.SendFailure)
	return failed && (e.Failure.Code == reducer.CodeUnknownAccount || e.Failure.Code == reducer.CodeWrongCredential)
}

func (m *requestMetrics) recordPart(now time.Time) {
	m.parts++
	if m.parts == 1 {
		m.meter.Histogram(meter.FirstPartMicros).Update(now.Sub(m.arrived).Microseconds())
	}
}

func (m *requestMetrics) recordFailure(failure reducer.Failure, now time.Time) {
	if failure.State == reducer.StateUnknown {
		m.recordEnd(meter.RequestsUnknown, now)
		return
	}
	m.recordEnd(meter.RequestsNotRun, now)
}

func (m *requestMetrics) recordEnd(name meter.Name, now time.Time) {
	m.meter.Counter(meter.RequestsReceived, m.account).Inc(1)
	m.meter.Counter(name, m.account).Inc(1)
	m.meter.Histogram(meter.RequestMicros).Update(now.Sub(m.arrived).Microseconds())
}
