// Package regulator decides which calls may go to endpoints that ask for fewer in their answers. It is pure: the present time
// is given to it.
package regulator

import (
	"cmp"
	"slices"
	"time"

	"geraniumline/rationer"
	"geraniumline/registrar"
)

const (
	// windowTime is the span in which the calls at a limited endpoint are judged, fixedSlack what it may get in it whatever its
	// limit, beside one and a half times that.
	windowTime = 4 * time.Second
	fixedSlack = 5
	// replacedSenders is how many of the entries that share a limit may be replaced by others within that span.
	replacedSenders = 2
	// renewAfter is how old the newest answer of a limited endpoint may be, beside the time of renewCalls calls, before further
	// entries send to it, one more for each widenEvery: its senders may have no calls for it or not reach it, and only an
	// answer tells that its limit has ended. Entries tell each other of limits in turn, so that what is heard of each is older by
	// toldEach for each further one: about three times what its share of a heartbeat takes.
	renewAfter = 5 * time.Second
	renewCalls = 4
	toldEach   = 15 * time.Millisecond
	widenEvery = time.Second
	// endedLife is how long peers are told that an endpoint's limit has ended.
	endedLife = 10 * time.Second
)

// DefaultMaxRest is the longest time of rest that an endpoint gets: one that asks for more by mistake is tried again.
const DefaultMaxRest = time.Minute

// Config sets a Regulator up.
type Config struct {
	// Self is this entry's name.
	Self string
	// MaxRest is the longest time of rest that an endpoint gets; 0 takes DefaultMaxRest.
	MaxRest time.Duration
}

// Regulator holds the newest notice of each endpoint that asks for fewer calls.
type Regulator struct {
	cfg      Config
	rationer *rationer.Rationer
	limits   map[string]*limit
	// leaving are the endpoints that have said that they leave, by when they began.
	leaving map[string]time.Time
	// rests are the times of rest that endpoints have asked this entry for.
	rests map[string]rest
}

// rest is a time of rest.
type rest struct {
	started time.Time
	until   time.Time
}

// limit is the limit that an endpoint has named.
type limit struct {
	started time.Time
	// perSecond is 0 once the endpoint has said that there is none any more.
	perSecond float64
	// at is when the endpoint last said so.
	at time.Time
}

// Limit is a limit as entries tell it to each other.
type Limit struct {
	Endpoint string
	// Started is when the start of the endpoint began that named it; zero where the endpoint does not say.
	Started time.Time
	// PerSecond is 0 where the limit has ended.
	PerSecond float64
	// At is when the endpoint said so.
	At time.Time
}

// New makes a regulator that knows of no limit and of no other entry.
func New(cfg Config) *Regulator {
	if cfg.MaxRest == 0 {
		cfg.MaxRest = DefaultMaxRest
	}
	return &Regulator{
		cfg:      cfg,
		rationer: rationer.New(cfg.Self),
		limits:   make(map[string]*limit),
		leaving:  make(map[string]time.Time),
		rests:    make(map[string]rest),
	}
}

// SetEntries takes the names of the entries that live, this one among them, in their order.
func (r *Regulator) SetEntries(live []string) { r.rationer.SetEntries(live) }

// Retain forgets what endpoints have said that are not listed any more in the start that said so; a zero time is that of any
// start.
func (r *Regulator) Retain(lists func(endpoint string, started time.Time) bool) {
	for id, l := range r.limits {
		if !lists(id, l.started) {
			delete(r.limits, id)
		}
	}
	for id, known := range r.rests {
		if !lists(id, known.started) {
			delete(r.rests, id)
		}
	}
	for id, started := range r.leaving {
		if !lists(id, started) {
			delete(r.leaving, id)
		}
	}
}

// sameStart tells whether two times may be those of one start; a zero one is not known.
func sameStart(a, b time.Time) bool { return a.IsZero() || b.IsZero() || a.Equal(b) }

// Change tells what a notice changes of what was known.
type Change struct {
	Limit   bool
	Leaving bool
	Rest    bool
}

// ApplyNotice takes the notice of an endpoint's answer.
func (r *Regulator) ApplyNotice(e *registrar.Endpoint, n Notice, now time.Time) Change {
	return Change{
		Limit:   r.heardLimit(e, n, now),
		Leaving: n.Leaving && r.MarkLeaving(LeavingEndpoint{Endpoint: e.ID, Started: e.Started}),
		Rest:    n.Rest > 0 && r.heardRest(e, now.Add(min(n.Rest, r.cfg.MaxRest)), now),
	}
}

// heardRest notes the end of a time of rest, and tells whether the endpoint was not resting. A later refusal does not shorten
// what an earlier one has asked for.
func (r *Regulator) heardRest(e *registrar.Endpoint, until, now time.Time) bool {
	known, rested := r.rests[e.ID]
	if rested && known.until.After(until) {
		return false
	}
	r.rests[e.ID] = rest{started: e.Started, until: until}
	return !rested || !known.until.After(now)
}

// RestingEndpoints lists the endpoints that have asked this entry for rest.
func (r *Regulator) RestingEndpoints(now time.Time) []string {
	var ids []string
	for id, known := range r.rests {
		if !known.until.After(now) {
			delete(r.rests, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// LeavingEndpoint is an endpoint that leaves.
type LeavingEndpoint struct {
	Endpoint string
	// Started is when the start of it began that said so; zero where it does not say.
	Started time.Time
}

// MarkLeaving notes an endpoint that leaves, and tells whether that was not known. No answer takes it back: one that says
// nothing of it may have been on its way for longer.
func (r *Regulator) MarkLeaving(m LeavingEndpoint) bool {
	_, known := r.leaving[m.Endpoint]
	r.leaving[m.Endpoint] = m.Started
	return !known
}

// IsLeaving tells whether an endpoint has said that it leaves.
func (r *Regulator) IsLeaving(endpoint string) bool {
	_, known := r.leaving[endpoint]
	return known
}

// LeavingEndpoints lists the endpoints that have said that they leave, in the order of their ids.
func (r *Regulator) LeavingEndpoints() []LeavingEndpoint {
	list := make([]LeavingEndpoint, 0, len(r.leaving))
	for id, started := range r.leaving {
		list = append(list, LeavingEndpoint{Endpoint: id, Started: started})
	}
	slices.SortFunc(list, func(a, b LeavingEndpoint) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

func (r *Regulator) heardLimit(e *registrar.Endpoint, n Notice, now time.Time) bool {
	if l, known := r.limits[e.ID]; !n.Limited && (!known || l.perSecond == 0) {
		return false
	}
	return r.take(Limit{Endpoint: e.ID, Started: e.Started, PerSecond: n.PerSecond, At: now})
}

// ApplyPeerLimit takes an endpoint's limit that a peer tells, and tells whether it changes what was known.
func (r *Regulator) ApplyPeerLimit(m Limit) bool {
	l, known := r.limits[m.Endpoint]
	if known && (!m.At.After(l.at) || !sameStart(m.Started, l.started)) {
		return false
	}
	return r.take(m)
}

func (r *Regulator) take(m Limit) bool {
	before := 0.0
	if l, known := r.limits[m.Endpoint]; known {
		before = l.perSecond
	}
	r.limits[m.Endpoint] = &limit{started: m.Started, perSecond: m.PerSecond, at: m.At}
	return before != m.PerSecond
}

// Limits lists what peers are to be told, in the order of the endpoints' ids.
func (r *Regulator) Limits(now time.Time) []Limit {
	list := make([]Limit, 0, len(r.limits))
	for id, l := range r.limits {
		if l.perSecond == 0 && now.Sub(l.at) >= endedLife {
			delete(r.limits, id)
			continue
		}
		list = append(list, Limit{Endpoint: id, Started: l.started, PerSecond: l.perSecond, At: l.at})
	}
	slices.SortFunc(list, func(a, b Limit) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// Limit gives the calls a second that an endpoint takes from all entries together, if it has named a limit.
func (r *Regulator) Limit(endpoint string) (perSecond float64, limited bool) {
	l, known := r.limits[endpoint]
	if !known || l.perSecond == 0 {
		return 0, false
	}
	return l.perSecond, true
}

// LimitedEndpoints lists the endpoints that name a limit.
func (r *Regulator) LimitedEndpoints() []string {
	var ids []string
	for id, l := range r.limits {
		if l.perSecond > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Allows tells whether a call may go now to an endpoint that many entries send to.
func (r *Regulator) Allows(endpoint string, now time.Time) bool {
	at, sends := r.NextSendTime(endpoint, now)
	return sends && !at.After(now)
}

// NextSendTime tells from when on a call may go to an endpoint that many entries send to. Where this entry sends none, it is about when
// others may.
func (r *Regulator) NextSendTime(endpoint string, now time.Time) (at time.Time, sends bool) {
	at = r.rests[endpoint].until
	perSecond, limited := r.Limit(endpoint)
	if !limited {
		return at, true
	}
	next, sends := r.rationer.NextSendTime(endpoint, r.ration(endpoint, now), now)
	if !sends {
		next = now.Add(time.Duration(float64(time.Second) / perSecond))
	}
	return later(at, next), sends
}

// ration divides an endpoint's limit. In the spans that the limit is judged by (windowTime), the endpoint may get as many calls
// more than the limit names as slack gives: that is what the senders may send at once, and replaced ones again.
func (r *Regulator) ration(endpoint string, now time.Time) rationer.Quota {
	l := r.limits[endpoint]
	slack := slackFor(l.perSecond)
	senders := slack - replacedSenders
	renewed := l.at.Add(renewAfter + time.Duration(len(r.limits))*toldEach + time.Duration(renewCalls/l.perSecond*float64(time.Second)))
	if late := now.Sub(renewed); late > 0 {
		senders += 1 + int(late/widenEvery)
	}
	senders = min(senders, r.rationer.EntryCount())
	return rationer.Quota{Senders: senders, PerSecond: l.perSecond, Burst: max(1, slack/(senders+replacedSenders))}
}

// slackFor is how many calls more than a limit names an endpoint may get in a span of windowTime: half as many again, and fixedSlack.
func slackFor(perSecond float64) int {
	return int(perSecond*windowTime.Seconds()/2) + fixedSlack
}

// SoleNextSendTime tells the same of an endpoint that only this entry sends to.
func (r *Regulator) SoleNextSendTime(endpoint string, now time.Time) time.Time {
	at := r.rests[endpoint].until
	if perSecond, limited := r.Limit(endpoint); limited {
		at = later(at, r.rationer.SoleNextSendTime(endpoint, soleRation(perSecond), now))
	}
	return at
}

// soleRation leaves half of the slack to the entry that takes the duty over.
func soleRation(perSecond float64) rationer.Quota {
	return rationer.Quota{Senders: 1, PerSecond: perSecond, Burst: max(1, slackFor(perSecond)/2)}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// EntryCount counts the entries that live.
func (r *Regulator) EntryCount() int { return r.rationer.EntryCount() }

// ShouldAvoid tells whether an endpoint has asked for so few calls that none should go there which can be left out.
func (r *Regulator) ShouldAvoid(endpoint string, now time.Time) bool {
	_, limited := r.Limit(endpoint)
	return limited || r.rests[endpoint].until.After(now)
}

// RecordSend notes a call to an endpoint that many entries send to.
func (r *Regulator) RecordSend(endpoint string, now time.Time) {
	if _, limited := r.Limit(endpoint); limited {
		r.rationer.RecordSend(endpoint, r.ration(endpoint, now), now)
	}
}

// RecordSoleSend notes a call to an endpoint that only this entry sends to.
func (r *Regulator) RecordSoleSend(endpoint string, now time.Time) {
	if perSecond, limited := r.Limit(endpoint); limited {
		r.rationer.RecordSend(endpoint, soleRation(perSecond), now)
	}
}
