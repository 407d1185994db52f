package forwarder

import (
	"maps"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/detector"
	"geraniumline/locator"
	"geraniumline/registrar"
)

const (
	// maxEndpointsAge is the age of this entry's list of endpoints from which it asks peers for theirs: two reads of
	// the store were missed.
	maxEndpointsAge = 1500 * time.Millisecond
	// queriedPeers is how many peers an entry asks for their list of endpoints at a time. In a store outage all
	// entries ask at once. If they asked all peers and received whole lists, the links of small VMs would fill,
	// heartbeats would be late and entries would consider each other dead.
	queriedPeers = 3
	// freshnessMargin is how much more recent a peer's read of the store must be to be sent: nearly one read
	// interval.
	freshnessMargin = 500 * time.Millisecond
	// maxPartEntries is the number of endpoints in one message, which stays well below the largest frame.
	maxPartEntries = 2000
	// maxListParts bounds the parts of a list that are kept until it is complete.
	maxListParts = 64
	// partialListTTL is how long an incomplete list is kept.
	partialListTTL = 5 * time.Second
	// sentEndpointsPerCapacity is the number of endpoints that an entry sends in lists in one queryInterval for each
	// thousandth of a core of its VM, and minSentEndpoints the least number. When all entries start at once, the first
	// one that has read the list is asked by all others.
	sentEndpointsPerCapacity = 100
	minSentEndpoints         = 10_000
)

// endpointsQueryTargets returns the peers to ask for their list of endpoints while this entry's list is stale. An entry
// without a list asks one peer on a large VM, since it will receive the whole list. The lock must be held.
func (f *Forwarder) endpointsQueryTargets(now time.Time) []string {
	stale := !f.registry.Loaded() || f.registry.Age(now) > maxEndpointsAge
	if !stale || now.Sub(f.endpointsQueriedAt) < queryInterval {
		return nil
	}
	n, candidates := queriedPeers, f.liveAddresses()
	if !f.registry.Loaded() {
		n, candidates = 1, f.largeLiveAddresses()
	}
	if len(candidates) == 0 {
		return nil
	}
	f.endpointsQueriedAt = now
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), n)]
}

// largeLiveAddresses returns the peer addresses of the live members other than this entry that have at least half the
// capacity of the largest one. The lock must be held.
func (f *Forwarder) largeLiveAddresses() []string {
	var live []*detector.Member
	largest := int32(0)
	for m := range f.detector.All() {
		if m.Name != f.cfg.Name && m.State == detector.Live {
			live = append(live, m)
			largest = max(largest, m.Capacity)
		}
	}
	var addresses []string
	for _, m := range live {
		if 2*m.Capacity >= largest {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}

// endpointsCall returns a query that states which list of endpoints this entry has. The lock must be held.
func (f *Forwarder) endpointsCall(now time.Time) *carrier.EndpointsCall {
	if !f.registry.Loaded() {
		return &carrier.EndpointsCall{Next: -1}
	}
	next := f.registry.Next()
	return &carrier.EndpointsCall{Era: next.Era(), Next: next.Offset(), AgeMillis: f.registry.Age(now).Milliseconds()}
}

// replyEndpoints answers a peer's query for the list of endpoints, unless the peer's list is as recent or too many
// lists were sent just now. The lock must be held.
func (f *Forwarder) replyEndpoints(from string, query *carrier.EndpointsCall, now time.Time) []func() {
	if !f.registry.Loaded() {
		return nil
	}
	next := f.registry.Next()
	known := locator.At(query.Era, query.Next)
	age := f.registry.Age(now)
	peerAge := time.Duration(query.AgeMillis) * time.Millisecond
	if query.Next >= 0 && query.Era >= next.Era() && age+freshnessMargin > peerAge {
		return nil
	}
	if known == next {
		reply := &carrier.EndpointsReply{Era: next.Era(), Next: next.Offset(), AgeMillis: age.Milliseconds(), Unchanged: true}
		return []func(){f.sendTo(from, reply)}
	}
	limit := max(f.cfg.Capacity*sentEndpointsPerCapacity, minSentEndpoints)
	if !f.sentLists.take(f.registry.Len(), limit, now) {
		return nil
	}
	var actions []func()
	for _, part := range f.endpointListParts(now) {
		actions = append(actions, f.sendTo(from, part))
	}
	return actions
}

// endpointListParts returns the list of endpoints in parts that fit in a frame. The lock must be held.
func (f *Forwarder) endpointListParts(now time.Time) []*carrier.EndpointsReply {
	next, changes := f.registry.Next(), f.registry.Changes()
	count := max(1, (len(changes)+maxPartEntries-1)/maxPartEntries)
	parts := make([]*carrier.EndpointsReply, count)
	for i := range parts {
		part := &carrier.EndpointsReply{
			Era:       next.Era(),
			Next:      next.Offset(),
			AgeMillis: f.registry.Age(now).Milliseconds(),
			Part:      int32(i),
			Parts:     int32(count),
		}
		for _, c := range changes[i*maxPartEntries : min(len(changes), (i+1)*maxPartEntries)] {
			part.Entries = append(part.Entries, entryFromChange(c, now))
			part.Versions = append(part.Versions, versionOf(c))
		}
		parts[i] = part
	}
	return parts
}

// applyEndpointsReply applies a peer's list of endpoints once all its parts have arrived. The lock must be held.
func (f *Forwarder) applyEndpointsReply(from string, m *carrier.EndpointsReply, now time.Time) []func() {
	next := locator.At(m.Era, m.Next)
	if next.Before(f.registry.Next()) || m.Unchanged && next != f.registry.Next() {
		return nil
	}
	at := now.Add(-time.Duration(m.AgeMillis) * time.Millisecond)
	f.registry.StoreReadAt(at)
	if at.After(f.updateReceivedAt) {
		// An entry is reading the store for all, although its updates have not arrived here yet.
		f.updateReceivedAt = at
	}
	if m.Unchanged {
		f.origins.noteChanges(nil, now)
		return nil
	}
	if m.Parts < 1 || m.Parts > maxListParts || m.Part < 0 || m.Part >= m.Parts {
		f.log.Warn("invalid part of a list of endpoints", zap.String("peer", from), zap.Int32("part", m.Part), zap.Int32("parts", m.Parts))
		return nil
	}
	parts, complete := f.partialLists.add(from, m, now)
	if !complete {
		return nil
	}
	var changes []registrar.Change
	for _, part := range parts {
		changes = append(changes, f.changesFromEntries(part.Entries, part.Versions, now)...)
	}
	f.registry.Replace(changes, next, now)
	f.origins.noteList(f.registry.Next(), now)
	actions := f.endpointsChanged(now)
	if m.Parts > 1 {
		// The list has needed several times the memory that it takes from now on.
		actions = append(actions, debug.FreeOSMemory)
	}
	return actions
}

// partialList holds the parts of a peer's list of endpoints that have arrived.
type partialList struct {
	next  locator.Position
	parts map[int32]*carrier.EndpointsReply
	// changedAt is when the latest part arrived.
	changedAt time.Time
}

// partialLists holds the incomplete lists by the peer that sends them.
type partialLists map[string]*partialList

// add adds a part and returns all parts if the list is complete.
func (l partialLists) add(from string, m *carrier.EndpointsReply, now time.Time) ([]*carrier.EndpointsReply, bool) {
	if m.Parts == 1 {
		return []*carrier.EndpointsReply{m}, true
	}
	next := locator.At(m.Era, m.Next)
	list, known := l[from]
	if !known || list.next != next {
		list = &partialList{next: next, parts: make(map[int32]*carrier.EndpointsReply)}
		l[from] = list
	}
	list.parts[m.Part] = m
	list.changedAt = now
	if len(list.parts) < int(m.Parts) {
		return nil, false
	}
	delete(l, from)
	return slices.Collect(maps.Values(list.parts)), true
}

// expire discards the lists whose remaining parts have not arrived.
func (l partialLists) expire(now time.Time) {
	for from, list := range l {
		if now.Sub(list.changedAt) >= partialListTTL {
			delete(l, from)
		}
	}
}

// sentLists counts the endpoints in the lists that were sent in the current interval.
type sentLists struct {
	began     time.Time
	endpoints int
}

// take reports whether one more list of the given size may be sent, and counts it. The first one in an interval is
// always sent.
func (s *sentLists) take(endpoints, limit int, now time.Time) bool {
	if now.Sub(s.began) >= queryInterval {
		*s = sentLists{began: now}
	}
	if s.endpoints > 0 && s.endpoints+endpoints > limit {
		return false
	}
	s.endpoints += endpoints
	return true
}
