package soaker

import (
	"context"
	"fmt"
	"slices"
	"time"

	"geraniumline/platform/imitator"
)

// The bounds that the users set for what endpoints say in their answers.
const (
	// limitWindow is the span in which requests at a limited endpoint are counted, limitExcess and limitSlack what it may get
	// in it: limitExcess times its limit, and limitSlack more.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// limitContact is from when after a change of a limit it counts, limitTold from when after its first answer that names it an
	// entry's requests do.
	limitContact = 3 * time.Second
	limitTold    = 500 * time.Millisecond
	// drainTime is how long after an answer that says so a leaving endpoint may still get requests.
	drainTime = 2 * time.Second
	// restTold is from when after a refusal its time of rest counts, restSlack how many requests may come in it.
	restTold  = 500 * time.Millisecond
	restSlack = 2
	// limitTime is how much longer than other faults a limit lasts, so that several windows fit into it; leaveTime is the same
	// for an endpoint that leaves.
	limitTime = 8 * time.Second
	leaveTime = 4 * time.Second
)

// The promises to endpoints.
const (
	promiseLimit = "an endpoint's limit holds for all entries together"
	promiseDrain = "nothing to an endpoint that says that it leaves"
	promiseRest  = "rest for an endpoint that asks for it"
)

// EndpointRecord is what an endpoint has got, and the limits that it has named.
type EndpointRecord struct {
	ID       string
	Arrivals []EndpointArrival
	Limits   []Limit
}

// EndpointArrival is a request at an endpoint and what the endpoint says in its answer. Times are from the plan's start.
type EndpointArrival struct {
	At      time.Duration
	Attempt string
	Limited bool
	Leaving bool
	Rest    time.Duration
}

// Limit is a limit from a time on; 0 ends one.
type Limit struct {
	At        time.Duration
	PerSecond float64
}

// notify has an endpoint say something in its answers for a while.
func (w *world) notify(ctx context.Context, step Step) {
	endpoints := w.fleet.site.Endpoints
	switch f := step.Fault.(type) {
	case EndpointLimited:
		endpoints[f.Endpoint].SetLimit(f.PerSecond)
		_ = sleep(ctx, step.For+limitTime)
		endpoints[f.Endpoint].SetLimit(0)
	case EndpointLeaves:
		endpoints[f.Endpoint].AnnounceLeaving()
		_ = sleep(ctx, step.For+leaveTime)
		endpoints[f.Endpoint].Restart()
		w.setState(f.Endpoint, "in_service")
	case EndpointRests:
		endpoints[f.Endpoint].RequestRest(f.Rest)
		_ = sleep(ctx, step.For)
		endpoints[f.Endpoint].RequestRest(0)
	}
}

// endpointRecords gives what the endpoints have got.
func endpointRecords(site *imitator.Site, began time.Time) []EndpointRecord {
	var list []EndpointRecord
	for _, e := range site.Endpoints {
		r := EndpointRecord{ID: e.ID}
		for _, a := range e.Arrivals() {
			r.Arrivals = append(r.Arrivals, EndpointArrival{
				At: a.At.Sub(began), Attempt: a.Attempt, Limited: a.Limited, Leaving: a.Leaving, Rest: a.Rest,
			})
		}
		for _, l := range e.Limits() {
			r.Limits = append(r.Limits, Limit{At: l.At.Sub(began), PerSecond: l.PerSecond})
		}
		list = append(list, r)
	}
	return list
}

// checkNotices holds what endpoints have got against what they have said. Calls for pieces say not which entry they come from, and
// are not counted.
func checkNotices(r *Record) []Violation {
	attempts := make(map[string]*Attempt, len(r.Attempts))
	for i := range r.Attempts {
		attempts[r.Attempts[i].ID] = &r.Attempts[i]
	}
	var found []Violation
	for i := range r.Endpoints {
		e := &r.Endpoints[i]
		c := noticeCheck{endpoint: e, attempts: attempts, disturbed: r.Disturbed}
		found = append(found, c.limits()...)
		found = append(found, c.leaves()...)
		found = append(found, c.rests()...)
	}
	return found
}

// noticeCheck checks one endpoint.
type noticeCheck struct {
	endpoint  *EndpointRecord
	attempts  map[string]*Attempt
	disturbed map[int][]Span
}

// calm tells whether an entry's process was left alone from one time to another.
func (c *noticeCheck) calm(entry int, from, to time.Duration) bool {
	return !slices.ContainsFunc(c.disturbed[entry], func(s Span) bool { return s.From < to && s.To > from })
}

// limits looks for spans in which entries that had been told sent more than a limit allows.
func (c *noticeCheck) limits() []Violation {
	var found []Violation
	for i, l := range c.endpoint.Limits {
		if l.PerSecond == 0 {
			continue
		}
		end := time.Duration(1<<63 - 1)
		if i+1 < len(c.endpoint.Limits) {
			end = c.endpoint.Limits[i+1].At
		}
		bound := int(limitExcess*l.PerSecond*limitWindow.Seconds() + limitSlack)
		told := make(map[int]time.Duration)
		var counted []time.Duration
		for _, a := range c.endpoint.Arrivals {
			attempt, known := c.attempts[a.Attempt]
			if !known || !a.Limited || a.At < l.At || a.At >= end {
				continue
			}
			first, knows := told[attempt.Entry]
			if !knows {
				first = a.At
				told[attempt.Entry] = first
			}
			if a.At >= first+limitTold && a.At >= l.At+limitContact && c.calm(attempt.Entry, l.At, a.At) {
				counted = append(counted, a.At)
			}
		}
		from := 0
		for k, at := range counted {
			for at-counted[from] > limitWindow {
				from++
			}
			if n := k - from + 1; n > bound {
				found = append(found, Violation{promiseLimit, fmt.Sprintf("%s got %d requests in the %v before %v, %d are allowed by its limit of %g a second",
					c.endpoint.ID, n, limitWindow, at, bound, l.PerSecond)})
				break
			}
		}
	}
	return found
}

// leaves looks for requests of entries that had been told that the endpoint leaves.
func (c *noticeCheck) leaves() []Violation {
	var found []Violation
	told := make(map[int]time.Duration)
	for _, a := range c.endpoint.Arrivals {
		attempt, known := c.attempts[a.Attempt]
		if !known {
			continue
		}
		if !a.Leaving {
			// It has started again.
			clear(told)
			continue
		}
		first, knows := told[attempt.Entry]
		if !knows {
			told[attempt.Entry] = a.At
			continue
		}
		if attempt.Sent > first+drainTime && c.calm(attempt.Entry, first, a.At) {
			found = append(found, Violation{promiseDrain, fmt.Sprintf("%s reached %s at %v from entry-%d, which had been told at %v",
				a.Attempt, c.endpoint.ID, a.At, attempt.Entry, first)})
		}
	}
	return found
}

// rests looks for requests of an entry within the time of rest that the endpoint had asked it for.
func (c *noticeCheck) rests() []Violation {
	var found []Violation
	for i, a := range c.endpoint.Arrivals {
		attempt, known := c.attempts[a.Attempt]
		if !known || a.Rest == 0 {
			continue
		}
		n := 0
		for _, later := range c.endpoint.Arrivals[i+1:] {
			next, known := c.attempts[later.Attempt]
			if !known || next.Entry != attempt.Entry || later.At < a.At+restTold || later.At > a.At+a.Rest {
				continue
			}
			if c.calm(attempt.Entry, a.At, later.At) {
				n++
			}
		}
		if n > restSlack {
			found = append(found, Violation{promiseRest, fmt.Sprintf("%s asked entry-%d for %v of rest at %v and got %d requests from it",
				c.endpoint.ID, attempt.Entry, a.Rest, a.At, n)})
		}
	}
	return found
}
