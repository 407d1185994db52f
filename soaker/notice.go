package soaker

import (
	"context"
	"fmt"
	"slices"
	"time"

	"geraniumline/platform/imitator"
)

// The bounds that the users set for how quickly and how strictly entries follow the notices in endpoints' responses.
const (
	// limitWindow is the length of the sliding window in which requests at a limited endpoint are counted. In it, the
	// endpoint may receive limitFactor times its limit plus limitAllowance requests.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
	// limitSettleTime is how long after a change of a limit requests are not counted yet. limitNoticeDelay is how long an
	// entry's requests are not counted after the first response that states the limit to this entry.
	limitSettleTime  = 3 * time.Second
	limitNoticeDelay = 500 * time.Millisecond
	// drainGrace is how long a leaving endpoint may still receive requests after a response that says that it leaves.
	drainGrace = 2 * time.Second
	// retryAfterNoticeDelay is how long after a refusal requests are not counted against its retry delay yet;
	// retryAfterAllowance is how many requests may arrive before the delay has passed.
	retryAfterNoticeDelay = 500 * time.Millisecond
	retryAfterAllowance   = 2
	// limitExtraDuration is how much longer than other faults a limit lasts, so that several windows fit into it;
	// leaveExtraDuration is the same for an endpoint that leaves.
	limitExtraDuration = 8 * time.Second
	leaveExtraDuration = 4 * time.Second
)

// The promises to endpoints.
const (
	promiseLimit = "an endpoint's limit holds for all entries together"
	promiseDrain = "nothing to an endpoint that says that it leaves"
	promiseRest  = "rest for an endpoint that asks for it"
)

// EndpointRecord holds the requests that an endpoint received and the limits that it stated.
type EndpointRecord struct {
	ID       string
	Arrivals []EndpointArrival
	Limits   []Limit
}

// EndpointArrival is a request at an endpoint and the notices in the endpoint's response: whether it states a limit, whether
// the endpoint leaves, and the delay that it requests with a refusal (0 for none). At is measured from the start of the plan.
type EndpointArrival struct {
	At         time.Duration
	Attempt    string
	Limited    bool
	Leaving    bool
	RetryAfter time.Duration
}

// Limit is a limit in requests per second that applies from At, measured from the start of the plan. 0 removes the limit.
type Limit struct {
	At        time.Duration
	PerSecond float64
}

// applyNotice makes an endpoint include a notice in its responses for the duration of the step.
func (r *planRunner) applyNotice(ctx context.Context, step Step) {
	endpoints := r.fleet.site.Endpoints
	switch f := step.Fault.(type) {
	case EndpointLimited:
		endpoints[f.Endpoint].SetLimit(f.PerSecond)
		_ = sleep(ctx, step.Duration+limitExtraDuration)
		endpoints[f.Endpoint].SetLimit(0)
	case EndpointLeaves:
		endpoints[f.Endpoint].AnnounceLeaving()
		_ = sleep(ctx, step.Duration+leaveExtraDuration)
		endpoints[f.Endpoint].Restart()
		r.setState(f.Endpoint, "in_service")
	case EndpointRests:
		endpoints[f.Endpoint].RequestRest(f.RetryAfter)
		_ = sleep(ctx, step.Duration)
		endpoints[f.Endpoint].RequestRest(0)
	}
}

// endpointRecords returns the requests that each endpoint received and the limits that it stated, with times relative to
// the start of the plan.
func endpointRecords(site *imitator.Site, startedAt time.Time) []EndpointRecord {
	var list []EndpointRecord
	for _, e := range site.Endpoints {
		r := EndpointRecord{ID: e.ID}
		for _, a := range e.Arrivals() {
			r.Arrivals = append(r.Arrivals, EndpointArrival{
				At: a.At.Sub(startedAt), Attempt: a.Attempt, Limited: a.Limited, Leaving: a.Leaving, RetryAfter: a.Rest,
			})
		}
		for _, l := range e.Limits() {
			r.Limits = append(r.Limits, Limit{At: l.At.Sub(startedAt), PerSecond: l.PerSecond})
		}
		list = append(list, r)
	}
	return list
}

// checkNotices compares the requests that endpoints received with the notices in their responses. Calls for pieces don't
// identify the entry that sent them and are not counted.
func checkNotices(r *Record) []Violation {
	attempts := make(map[string]*Attempt, len(r.Attempts))
	for i := range r.Attempts {
		attempts[r.Attempts[i].ID] = &r.Attempts[i]
	}
	var violations []Violation
	for i := range r.Endpoints {
		e := &r.Endpoints[i]
		c := noticeCheck{endpoint: e, attempts: attempts, disturbed: r.Disturbed}
		violations = append(violations, c.checkLimits()...)
		violations = append(violations, c.checkLeaving()...)
		violations = append(violations, c.checkRetryAfter()...)
	}
	return violations
}

// noticeCheck checks the requests and notices of one endpoint.
type noticeCheck struct {
	endpoint  *EndpointRecord
	attempts  map[string]*Attempt
	disturbed map[int][]Span
}

// undisturbed reports whether no fault affected an entry's process between two times.
func (c *noticeCheck) undisturbed(entry int, from, to time.Duration) bool {
	return !slices.ContainsFunc(c.disturbed[entry], func(s Span) bool { return s.From < to && s.To > from })
}

// checkLimits finds windows in which entries that knew of a limit sent more requests than it allows.
func (c *noticeCheck) checkLimits() []Violation {
	var violations []Violation
	for i, l := range c.endpoint.Limits {
		if l.PerSecond == 0 {
			continue
		}
		end := time.Duration(1<<63 - 1)
		if i+1 < len(c.endpoint.Limits) {
			end = c.endpoint.Limits[i+1].At
		}
		maxRequests := int(limitFactor*l.PerSecond*limitWindow.Seconds() + limitAllowance)
		informedAt := make(map[int]time.Duration)
		var countedAt []time.Duration
		for _, a := range c.endpoint.Arrivals {
			attempt, known := c.attempts[a.Attempt]
			if !known || !a.Limited || a.At < l.At || a.At >= end {
				continue
			}
			informedSince, informed := informedAt[attempt.Entry]
			if !informed {
				informedSince = a.At
				informedAt[attempt.Entry] = informedSince
			}
			if a.At >= informedSince+limitNoticeDelay && a.At >= l.At+limitSettleTime && c.undisturbed(attempt.Entry, l.At, a.At) {
				countedAt = append(countedAt, a.At)
			}
		}
		from := 0
		for k, at := range countedAt {
			for at-countedAt[from] > limitWindow {
				from++
			}
			if n := k - from + 1; n > maxRequests {
				violations = append(violations, Violation{promiseLimit, fmt.Sprintf("%s got %d requests in the %v before %v, %d are allowed by its limit of %g a second",
					c.endpoint.ID, n, limitWindow, at, maxRequests, l.PerSecond)})
				break
			}
		}
	}
	return violations
}

// checkLeaving finds requests from entries that had already been informed that the endpoint leaves.
func (c *noticeCheck) checkLeaving() []Violation {
	var violations []Violation
	informedAt := make(map[int]time.Duration)
	for _, a := range c.endpoint.Arrivals {
		attempt, known := c.attempts[a.Attempt]
		if !known {
			continue
		}
		if !a.Leaving {
			// The endpoint has restarted.
			clear(informedAt)
			continue
		}
		informedSince, informed := informedAt[attempt.Entry]
		if !informed {
			informedAt[attempt.Entry] = a.At
			continue
		}
		if attempt.Sent > informedSince+drainGrace && c.undisturbed(attempt.Entry, informedSince, a.At) {
			violations = append(violations, Violation{promiseDrain, fmt.Sprintf("%s reached %s at %v from entry-%d, which had been told at %v",
				a.Attempt, c.endpoint.ID, a.At, attempt.Entry, informedSince)})
		}
	}
	return violations
}

// checkRetryAfter finds requests that an entry sent before the delay requested by the endpoint had passed.
func (c *noticeCheck) checkRetryAfter() []Violation {
	var violations []Violation
	for i, a := range c.endpoint.Arrivals {
		attempt, known := c.attempts[a.Attempt]
		if !known || a.RetryAfter == 0 {
			continue
		}
		n := 0
		for _, later := range c.endpoint.Arrivals[i+1:] {
			next, known := c.attempts[later.Attempt]
			if !known || next.Entry != attempt.Entry || later.At < a.At+retryAfterNoticeDelay || later.At > a.At+a.RetryAfter {
				continue
			}
			if c.undisturbed(attempt.Entry, a.At, later.At) {
				n++
			}
		}
		if n > retryAfterAllowance {
			violations = append(violations, Violation{promiseRest, fmt.Sprintf("%s asked entry-%d for %v of rest at %v and got %d requests from it",
				c.endpoint.ID, attempt.Entry, a.RetryAfter, a.At, n)})
		}
	}
	return violations
}
