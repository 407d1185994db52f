package regulator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// refusalWindow is the time in which a fragile endpoint counts its refusals, with a margin for the time that answers
	// are on their way.
	refusalWindow = 1100 * time.Millisecond
	// refusalTime is the time after which a call that was not refused has been accepted. A refusal takes a round trip.
	refusalTime = 80 * time.Millisecond
	// calmTime is how long no call may have been refused, here or at a peer, for spare senders to send.
	calmTime = 2 * time.Second
	// reservedRefusals is the part of the refusals that is kept for moments at which entries disagree on their number or
	// on the endpoints.
	reservedRefusals = 0.25
)

// assignment is this entry's part in the calls to one fragile endpoint.
type assignment struct {
	// sends reports whether this entry sends to the endpoint.
	sends bool
	// spare is set if the endpoint has enough senders without this entry, which sends only while nothing is refused.
	spare bool
	// risks is how many calls that may be refused this entry may have in refusalWindow.
	risks int
}

// risk holds the recent calls of this entry to one fragile endpoint.
type risk struct {
	// sends are the times of calls that may still be refused, refusals those of refused calls.
	sends, refusals []time.Time
	// refusedAt is the time of the last refusal, here or at a peer.
	refusedAt time.Time
}

// prune discards the calls that no longer count.
func (k *risk) prune(now time.Time) {
	k.sends = slices.DeleteFunc(k.sends, func(at time.Time) bool { return now.Sub(at) >= refusalTime })
	k.refusals = slices.DeleteFunc(k.refusals, func(at time.Time) bool { return now.Sub(at) >= refusalWindow })
}

// next returns the earliest time at which another call may be sent.
func (k *risk) next(risks int, now time.Time) time.Time {
	if k == nil {
		return now
	}
	k.prune(now)
	excess := len(k.sends) + len(k.refusals) - risks
	if excess < 0 {
		return now
	}
	ends := make([]time.Time, 0, len(k.sends)+len(k.refusals))
	for _, at := range k.sends {
		ends = append(ends, at.Add(refusalTime))
	}
	for _, at := range k.refusals {
		ends = append(ends, at.Add(refusalWindow))
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[min(excess, len(ends)-1)]
}

// ApplyPeerFragile records a fragile endpoint reported by a peer and reports whether this changes what was known.
func (r *Regulator) ApplyPeerFragile(m Limit) bool { return r.fragile.applyPeer(m) }

// Fragile lists the fragile endpoints to send to peers, with the refusals a second above which they crash, including those
// that have recently recovered, sorted by ID.
func (r *Regulator) Fragile(now time.Time) []Limit { return r.fragile.list(now) }

// FragileEndpoints lists the fragile endpoints.
func (r *Regulator) FragileEndpoints() []string { return r.fragile.endpoints() }

// Assign divides the calls to fragile endpoints among the entries, so that the endpoints crash neither in a burst nor
// because each entry tries them once. groups lists the endpoints that may replace each other, in an order that is the same
// at all entries.
//
// Each entry sends to some endpoints of a group only, and each endpoint gets calls from as many entries as it may refuse
// one call of each in a second. If that leaves entries without any endpoint, these are spare senders.
func (r *Regulator) Assign(groups [][]string) {
	r.assignments = nil
	if len(groups) == 0 {
		return
	}
	r.assignments = make(map[string]assignment)
	entries, self := r.rationer.EntryCount(), r.rationer.Index()
	for _, ids := range groups {
		for j, id := range ids {
			if perSecond, fragile := r.fragile.value(id); fragile {
				r.assignments[id] = assign(perSecond, entries, self, len(ids), j)
			}
		}
	}
}

// assign returns the part of the entry with the given index in the calls to the endpoint with the given index.
func assign(perSecond float64, entries, entry, endpoints, endpoint int) assignment {
	usable := max(1, math.Floor(perSecond*(1-reservedRefusals)))
	each := min(endpoints, max(1, int(usable)*endpoints/entries))
	senders := (entries*each + endpoints - 1) / endpoints
	offset := ((endpoint-entry*each)%endpoints + endpoints) % endpoints
	return assignment{
		sends: offset < each,
		spare: entry*each/endpoints >= int(usable),
		risks: max(1, int(usable)/senders),
	}
}

// SendsTo reports whether this entry is one of those that send to an endpoint.
func (r *Regulator) SendsTo(endpoint string) bool {
	a, assigned := r.assignments[endpoint]
	return !assigned || a.sends
}

// nextRisk returns the earliest time at which a call may be sent to an endpoint without the danger that its refusal
// crashes it, and whether this entry sends to it.
func (r *Regulator) nextRisk(endpoint string, now time.Time) (at time.Time, sends bool) {
	perSecond, fragile := r.fragile.value(endpoint)
	if !fragile {
		return time.Time{}, true
	}
	a, assigned := r.assignments[endpoint]
	if !assigned {
		// It will be assigned within a heartbeat.
		a = assign(perSecond, r.rationer.EntryCount(), 0, 1, 0)
	}
	k := r.risks[endpoint]
	at = k.next(a.risks, now)
	if a.spare && k != nil && now.Sub(k.refusedAt) < calmTime {
		return later(at, k.refusedAt.Add(calmTime)), false
	}
	return at, a.sends
}

// nextSoleRisk is like nextRisk, for an endpoint that only this entry sends to. Half of the refusals are left to the entry
// that takes over.
func (r *Regulator) nextSoleRisk(endpoint string, now time.Time) time.Time {
	perSecond, fragile := r.fragile.value(endpoint)
	if !fragile {
		return time.Time{}
	}
	return r.risks[endpoint].next(max(1, int(perSecond/2)), now)
}

// recordRisk records a call to an endpoint that may be fragile.
func (r *Regulator) recordRisk(endpoint string, now time.Time) {
	if _, fragile := r.fragile.value(endpoint); fragile {
		k := r.riskAt(endpoint)
		k.sends = append(k.sends, now)
	}
}

// RecordRefusal records that an endpoint refused a call of this entry.
func (r *Regulator) RecordRefusal(endpoint string, now time.Time) {
	if _, fragile := r.fragile.value(endpoint); !fragile {
		return
	}
	k := r.riskAt(endpoint)
	if n := len(k.sends); n > 0 {
		k.sends = k.sends[:n-1]
	}
	k.refusals = append(k.refusals, now)
	k.refusedAt = now
}

// RecordPeerRefusal records that an endpoint refused a call of a peer at the given time.
func (r *Regulator) RecordPeerRefusal(endpoint string, at time.Time) {
	if _, fragile := r.fragile.value(endpoint); !fragile {
		return
	}
	if k := r.riskAt(endpoint); at.After(k.refusedAt) {
		k.refusedAt = at
	}
}

// FragileRefusal is a fragile endpoint that refused a call of this entry.
type FragileRefusal struct {
	Endpoint string
	// At is the time of the last refusal.
	At time.Time
}

// FragileRefusals lists the fragile endpoints that have just refused a call of this entry, sorted by ID.
func (r *Regulator) FragileRefusals(now time.Time) []FragileRefusal {
	var list []FragileRefusal
	for id, k := range r.risks {
		k.prune(now)
		if n := len(k.refusals); n > 0 {
			list = append(list, FragileRefusal{Endpoint: id, At: k.refusals[n-1]})
		}
	}
	slices.SortFunc(list, func(a, b FragileRefusal) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

func (r *Regulator) riskAt(endpoint string) *risk {
	k := r.risks[endpoint]
	if k == nil {
		k = &risk{}
		r.risks[endpoint] = k
	}
	return k
}
