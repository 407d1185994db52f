// Package regulator decides which calls may go to endpoints whose answers ask for fewer calls or show that the endpoint
// has ended. It has no clock of its own: callers pass in the current time.
package regulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"geraniumline/rationer"
	"geraniumline/registrar"
)

const (
	// windowTime is the window over which the calls to a limited endpoint are checked. In one window, the endpoint may
	// get one and a half times its limit plus fixedSlack calls, whatever the limit is.
	windowTime = 4 * time.Second
	fixedSlack = 5
	// replacedSenders is the number of entries sharing a limit that may be replaced by others within one window.
	replacedSenders = 2
	// staleAfter is the maximum age of the newest answer of a limited endpoint, in addition to the time of
	// staleAfterCalls calls. After that, one more entry sends to the endpoint for each addSenderEvery: the previous
	// senders may have no calls for it or be unable to reach it, and only an answer shows that its limit has ended.
	//
	// Entries gossip about limits in turn, so each further limit delays news of the others by gossipDelayPerLimit,
	// about three times what its share of a heartbeat takes.
	staleAfter          = 5 * time.Second
	staleAfterCalls     = 4
	gossipDelayPerLimit = 15 * time.Millisecond
	addSenderEvery      = time.Second
	// endedLimitTTL is how long peers are notified that an endpoint's limit has ended.
	endedLimitTTL = 10 * time.Second
)

// DefaultMaxRest is the longest rest that an endpoint gets. An endpoint that asks for more by mistake is tried again
// after it.
const DefaultMaxRest = time.Minute

// Config configures a Regulator.
type Config struct {
	// Self is the name of this entry.
	Self string
	// MaxRest is the longest rest that an endpoint gets. 0 means DefaultMaxRest.
	MaxRest time.Duration
}

// Regulator holds the newest notice of each endpoint that asks for fewer calls.
type Regulator struct {
	cfg      Config
	rationer *rationer.Rationer
	// limits holds the numbers of calls that endpoints accept in a second, fragile the numbers of refusals in a second
	// above which they crash.
	limits  statements
	fragile statements
	// assignments holds this entry's part in the calls to fragile endpoints, and risks its recent calls to them.
	assignments map[string]assignment
	risks       map[string]*risk
	// leaving holds the start time of each endpoint that has announced its shutdown.
	leaving map[string]time.Time
	// rests holds the rests that endpoints have asked this entry for.
	rests map[string]rest
	// ended holds the listed endpoints whose process has ended.
	ended map[string]ended
	// departed holds what endpoints without a registration have asked for.
	departed map[string]*departed
}

// rest is a period in which an endpoint wants no calls.
type rest struct {
	started time.Time
	until   time.Time
}

// Limit is a rate that an endpoint has stated, as entries exchange it.
type Limit struct {
	Endpoint string
	// Started is the start time of the endpoint process that stated the rate. It is zero if the endpoint does not report
	// one.
	Started time.Time
	// PerSecond is 0 if the endpoint no longer states it.
	PerSecond float64
	// At is the time of the endpoint's statement.
	At time.Time
}

// New returns a regulator without limits and without other entries.
func New(cfg Config) *Regulator {
	if cfg.MaxRest == 0 {
		cfg.MaxRest = DefaultMaxRest
	}
	return &Regulator{
		cfg:      cfg,
		rationer: rationer.New(cfg.Self),
		limits:   make(statements),
		fragile:  make(statements),
		risks:    make(map[string]*risk),
		leaving:  make(map[string]time.Time),
		rests:    make(map[string]rest),
		ended:    make(map[string]ended),
		departed: make(map[string]*departed),
	}
}

// SetEntries sets the names of the live entries, including this one, in sorted order.
func (r *Regulator) SetEntries(live []string) { r.rationer.SetEntries(live) }

// Retain discards the notices of endpoints for which listed returns false, because the endpoint is gone or has
// restarted since. A zero start time matches any start. If the registration of the same process returns, its notices apply
// again.
func (r *Regulator) Retain(listed func(endpoint string, started time.Time) bool, now time.Time) {
	r.stash(listed, now)
	defer r.restore(listed, now)
	r.limits.retain(listed)
	r.fragile.retain(listed)
	maps.DeleteFunc(r.risks, func(id string, _ *risk) bool { _, fragile := r.fragile[id]; return !fragile })
	for id, current := range r.rests {
		if !listed(id, current.started) {
			delete(r.rests, id)
		}
	}
	for id, started := range r.leaving {
		if !listed(id, started) {
			delete(r.leaving, id)
		}
	}
	for id, m := range r.ended {
		if !listed(id, m.started) {
			delete(r.ended, id)
		}
	}
}

// sameStart reports whether two start times may belong to the same start. A zero time means unknown.
func sameStart(a, b time.Time) bool { return a.IsZero() || b.IsZero() || a.Equal(b) }

// Change reports which parts of a notice differ from what was known.
type Change struct {
	Limit   bool
	Fragile bool
	Leaving bool
	Rest    bool
}

// ApplyNotice updates the state of an endpoint from the notice in its answer.
func (r *Regulator) ApplyNotice(e *registrar.Endpoint, n Notice, now time.Time) Change {
	return Change{
		Limit:   r.limits.update(e, n.Limited, n.PerSecond, now),
		Fragile: r.fragile.update(e, n.Fragile, n.MaxRefusals, now),
		Leaving: n.Leaving && r.MarkLeaving(LeavingEndpoint{Endpoint: e.ID, Started: e.Started}),
		Rest:    n.Rest > 0 && r.extendRest(e, now.Add(min(n.Rest, r.cfg.MaxRest)), now),
	}
}

// extendRest records the end of a rest and reports whether the endpoint was not resting before. A later refusal never
// shortens a rest that an earlier one asked for.
func (r *Regulator) extendRest(e *registrar.Endpoint, until, now time.Time) bool {
	previous, rested := r.rests[e.ID]
	if rested && previous.until.After(until) {
		return false
	}
	r.rests[e.ID] = rest{started: e.Started, until: until}
	return !rested || !previous.until.After(now)
}

// RestingEndpoints lists the endpoints that have asked this entry for a rest which has not ended.
func (r *Regulator) RestingEndpoints(now time.Time) []string {
	var ids []string
	for id, current := range r.rests {
		if !current.until.After(now) {
			delete(r.rests, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// Resting reports whether an endpoint has asked this entry for a rest which has not ended.
func (r *Regulator) Resting(endpoint string, now time.Time) bool {
	return r.rests[endpoint].until.After(now)
}

// LeavingEndpoint is an endpoint that is shutting down.
type LeavingEndpoint struct {
	Endpoint string
	// Started is the start time of the endpoint process that announced it. It is zero if the endpoint does not report
	// one.
	Started time.Time
}

// MarkLeaving records that an endpoint is shutting down and reports whether this is new. Answers that do not mention it
// never revert it, since they may have been sent earlier.
func (r *Regulator) MarkLeaving(m LeavingEndpoint) bool {
	_, known := r.leaving[m.Endpoint]
	r.leaving[m.Endpoint] = m.Started
	return !known
}

// IsLeaving reports whether an endpoint has announced its shutdown.
func (r *Regulator) IsLeaving(endpoint string) bool {
	_, known := r.leaving[endpoint]
	return known
}

// LeavingCount returns the number of endpoints that have announced their shutdown.
func (r *Regulator) LeavingCount() int { return len(r.leaving) }

// LeavingEndpoints lists the endpoints that have announced their shutdown, sorted by ID.
func (r *Regulator) LeavingEndpoints() []LeavingEndpoint {
	list := make([]LeavingEndpoint, 0, len(r.leaving))
	for id, started := range r.leaving {
		list = append(list, LeavingEndpoint{Endpoint: id, Started: started})
	}
	slices.SortFunc(list, func(a, b LeavingEndpoint) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// ApplyPeerLimit records a limit received from a peer and reports whether it changes the known one.
func (r *Regulator) ApplyPeerLimit(m Limit) bool { return r.limits.applyPeer(m) }

// Limits lists the limits to send to peers, including those that have recently ended, sorted by endpoint ID.
func (r *Regulator) Limits(now time.Time) []Limit { return r.limits.list(now) }

// Limit returns the number of calls a second that an endpoint accepts from all entries together, and whether it has
// stated a limit.
func (r *Regulator) Limit(endpoint string) (perSecond float64, limited bool) {
	return r.limits.value(endpoint)
}

// LimitedEndpoints lists the endpoints that have stated a limit.
func (r *Regulator) LimitedEndpoints() []string { return r.limits.endpoints() }

// Allows reports whether a call may be sent now to an endpoint that many entries send to.
func (r *Regulator) Allows(endpoint string, now time.Time) bool {
	at, sends := r.NextSendTime(endpoint, now)
	return sends && !at.After(now)
}

// NextSendTime returns the earliest time at which a call may be sent to an endpoint that many entries send to. If sends
// is false, this entry sends no calls to it, and at is about when other entries may.
func (r *Regulator) NextSendTime(endpoint string, now time.Time) (at time.Time, sends bool) {
	at, sends = r.nextRisk(endpoint, now)
	at = later(at, r.rests[endpoint].until)
	perSecond, limited := r.Limit(endpoint)
	if !limited {
		return at, sends
	}
	next, allowed := r.rationer.NextSendTime(endpoint, r.quota(endpoint, now), now)
	if !allowed {
		next = now.Add(time.Duration(float64(time.Second) / perSecond))
	}
	return later(at, next), sends && allowed
}

// quota divides an endpoint's limit. In one window (windowTime), the endpoint may get slack calls more than its limit.
// They are divided into the bursts of the senders, and those of senders that replace others.
func (r *Regulator) quota(endpoint string, now time.Time) rationer.Quota {
	l := r.limits[endpoint]
	slack := slackFor(l.value)
	senders := slack - replacedSenders
	staleAt := l.reportedAt.Add(staleAfter + time.Duration(len(r.limits))*gossipDelayPerLimit + time.Duration(staleAfterCalls/l.value*float64(time.Second)))
	if late := now.Sub(staleAt); late > 0 {
		senders += 1 + int(late/addSenderEvery)
	}
	senders = min(senders, r.rationer.EntryCount())
	return rationer.Quota{Senders: senders, PerSecond: l.value, Burst: max(1, slack/(senders+replacedSenders))}
}

// slackFor returns how many calls more than its limit an endpoint may get within windowTime: half of the limit, plus
// fixedSlack.
func slackFor(perSecond float64) int {
	return int(perSecond*windowTime.Seconds()/2) + fixedSlack
}

// SoleNextSendTime is like NextSendTime, for an endpoint that only this entry sends to.
func (r *Regulator) SoleNextSendTime(endpoint string, now time.Time) time.Time {
	at := later(r.rests[endpoint].until, r.nextSoleRisk(endpoint, now))
	if perSecond, limited := r.Limit(endpoint); limited {
		at = later(at, r.rationer.SoleNextSendTime(endpoint, soleQuota(perSecond), now))
	}
	return at
}

// soleQuota leaves half of the slack to the entry that takes over as the only sender.
func soleQuota(perSecond float64) rationer.Quota {
	return rationer.Quota{Senders: 1, PerSecond: perSecond, Burst: max(1, slackFor(perSecond)/2)}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// EntryCount returns the number of live entries.
func (r *Regulator) EntryCount() int { return r.rationer.EntryCount() }

// ShouldAvoid reports whether an endpoint is limited or resting, so that calls which can be omitted should not go
// there.
func (r *Regulator) ShouldAvoid(endpoint string, now time.Time) bool {
	_, limited := r.Limit(endpoint)
	return limited || r.Resting(endpoint, now)
}

// RecordSend records a call to an endpoint that many entries send to.
func (r *Regulator) RecordSend(endpoint string, now time.Time) {
	r.recordRisk(endpoint, now)
	if _, limited := r.Limit(endpoint); limited {
		r.rationer.RecordSend(endpoint, r.quota(endpoint, now), now)
	}
}

// RecordSoleSend records a call to an endpoint that only this entry sends to.
func (r *Regulator) RecordSoleSend(endpoint string, now time.Time) {
	r.recordRisk(endpoint, now)
	if perSecond, limited := r.Limit(endpoint); limited {
		r.rationer.RecordSend(endpoint, soleQuota(perSecond), now)
	}
}
