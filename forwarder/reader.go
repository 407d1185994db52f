package forwarder

import (
	"time"

	"geraniumline/carrier"
	"geraniumline/locator"
	"geraniumline/registrar"
)

// endpointsDuty is the duty of reading the endpoints' records for all entries. The calls are priced and limited over
// all entries, and the records change with every heartbeat of an endpoint, so the entries do not all read for
// themselves.
const endpointsDuty = "endpoints"

// updateTimeout is how long an entry waits for an update from the reading entry before it reads the store itself. It
// is one read interval and half of the next; with its own read, the entry learns of a leaving endpoint well within
// two seconds.
const updateTimeout = 1100 * time.Millisecond

const (
	// configDuty is the duty of following the operator's configuration for all entries.
	configDuty = "config"
	// configReaders is how many entries follow the configuration in the store; the others learn of a newer version
	// from them. The store may refuse entries while a key is withdrawn, and the withdrawal must be in force
	// everywhere within seconds. If the store refuses three of five entries, the probability that it serves none of
	// the eight is two in a hundred. With eight entries or less each follows it.
	configReaders = 8
	// configReadTimeout is the time since the store's last answer to a configuration read after which more entries
	// read for themselves.
	configReadTimeout = 5 * time.Second
	// rankDelay is how much longer each further entry in the order for a duty waits before it takes up the duty. The
	// first one that the store answers informs all others, so that in an outage only a few entries query the store.
	rankDelay = 200 * time.Millisecond
	// firstStartWait is how long an entry waits for updates from its peers at the first start of the system, or if the
	// list of endpoints is long: until they have discovered each other, one has read the store, and its data has spread.
	firstStartWait = 3 * time.Second
	// addressDuty is the duty of registering one's address in the store for entries that hear no peer. addressOwners
	// entries own it, so that a few remain after any loss short of all entries.
	addressDuty   = "addresses"
	addressOwners = 8
)

// ShouldReadConfig reports whether this entry should follow the configuration in the store now.
func (f *Forwarder) ShouldReadConfig(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shouldReadConfig(now)
}

// shouldReadConfig is ShouldReadConfig for callers that hold the lock.
func (f *Forwarder) shouldReadConfig(now time.Time) bool {
	rank := f.rank(configDuty)
	turn := time.Duration(max(0, rank-configReaders)) * rankDelay
	if f.catalog == nil {
		// At the first start of the system there are no waiting callers yet, and each entry that reads for itself costs
		// two calls; at any other start callers do wait.
		return rank < configReaders && !f.settling(now) || !f.cfg.FirstStart ||
			now.Sub(f.startTime) >= firstStartWait+turn && now.Sub(f.configReadAt) >= configReadTimeout+turn
	}
	return rank < configReaders || now.Sub(f.configReadAt) >= configReadTimeout+turn
}

// RecordConfigRead records that the store answered a configuration read.
func (f *Forwarder) RecordConfigRead(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configReadAt = now
}

// ShouldRegisterAddress reports whether this entry should register its address in the store.
func (f *Forwarder) ShouldRegisterAddress(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.settling(now) && f.rank(addressDuty) < addressOwners
}

// ShouldReadEndpoints reports whether this entry should read the endpoints' records from the store now, and from
// which position. The owner of the duty does; other entries do only while they receive no updates, one after the
// other.
func (f *Forwarder) ShouldReadEndpoints(now time.Time) (locator.Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from := locator.None
	if f.registry.Loaded() {
		from = f.registry.Next()
	}
	if !f.registry.Loaded() {
		return from, !f.cfg.FirstStart && !f.longList || f.shouldReadLongList(now)
	}
	rank := f.rank(endpointsDuty)
	updated := now.Sub(f.updateReceivedAt) < updateTimeout+time.Duration(rank)*rankDelay
	return from, rank == 0 && !f.settling(now) || !updated
}

// shouldReadLongList reports whether an entry without a list of endpoints reads it from the store although that takes
// many calls. Only the owner of the duty does so at once. The others wait for peers that have the list, and then read
// one after the other: if all entries of a large fleet started and read at once, the store would refuse most of their
// calls, and callers would wait longer. The lock must be held.
func (f *Forwarder) shouldReadLongList(now time.Time) bool {
	rank := f.rank(endpointsDuty)
	return rank == 0 && !f.settling(now) || now.Sub(f.startTime) >= firstStartWait+time.Duration(rank)*rankDelay
}

// ContinueLongRead reports whether this entry should read the rest of the list of endpoints, of which one call has
// returned only a part.
func (f *Forwarder) ContinueLongRead(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longList = true
	return f.registry.Loaded() || f.shouldReadLongList(now)
}

// broadcastChanges sends the changes that were read to all peers. Empty updates are sent too, since they confirm that
// nothing has changed. The lock must be held.
func (f *Forwarder) broadcastChanges(changes []registrar.Change, from, next locator.Position, now time.Time) []func() {
	news := &carrier.EndpointsNews{Era: next.Era(), From: from.Offset(), Next: next.Offset()}
	for _, c := range changes {
		news.Entries = append(news.Entries, entryFromChange(c, now))
		news.Versions = append(news.Versions, versionOf(c))
	}
	var actions []func()
	for m := range f.detector.All() {
		if f.isRunningPeer(m) {
			actions = append(actions, f.sendTo(m.Name, news))
		}
	}
	return actions
}

// applyEndpointsNews applies an update from the reading entry. After a gap, such as a new era of the store, the
// update is ignored, and this entry asks a peer for the list or reads the store itself. The lock must be held.
func (f *Forwarder) applyEndpointsNews(m *carrier.EndpointsNews, now time.Time) []func() {
	next := f.registry.Next()
	if !f.registry.Loaded() || m.Era != next.Era() || m.From > next.Offset() {
		return nil
	}
	f.updateReceivedAt = now
	f.registry.StoreAvailable(now)
	changes := f.changesFromEntries(m.Entries, m.Versions, now)
	f.registry.Apply(changes, locator.At(m.Era, m.Next), now)
	f.origins.noteChanges(changes, now)
	if len(m.Entries) == 0 {
		return nil
	}
	return f.endpointsChanged(now)
}

func entryFromChange(c registrar.Change, now time.Time) carrier.EndpointEntry {
	entry := carrier.EndpointEntry{ID: c.ID, Era: c.Position.Era(), Offset: c.Position.Offset(), Sequence: c.Sequence}
	if c.Endpoint == nil {
		entry.Removed, entry.Unusable = true, c.Unusable
		return entry
	}
	entry.Service = c.Endpoint.Service
	entry.Address = c.Endpoint.Address
	entry.Zone = c.Endpoint.Zone
	entry.Slots = int32(c.Endpoint.Slots)
	entry.Draining = c.Endpoint.Draining
	entry.StartedMillis = toUnixMillis(c.Endpoint.Started)
	if c.Endpoint.Cold(now) {
		entry.ColdLeftMillis = c.Endpoint.ColdUntil.Sub(now).Milliseconds()
	}
	return entry
}

// versionOf returns the software version of the endpoint in a change; empty if it has none.
func versionOf(c registrar.Change) string {
	if c.Endpoint == nil {
		return ""
	}
	return c.Endpoint.Version
}

// changesFromEntries decodes a peer's entries and their software versions. A peer whose release does not send versions
// leaves those that are known unchanged. The lock must be held.
func (f *Forwarder) changesFromEntries(entries []carrier.EndpointEntry, versions []string, now time.Time) []registrar.Change {
	changes := make([]registrar.Change, len(entries))
	for i, e := range entries {
		changes[i] = registrar.Change{
			ID: e.ID, Position: locator.At(e.Era, e.Offset), Sequence: e.Sequence, Unusable: e.Unusable,
		}
		if e.Removed {
			continue
		}
		changes[i].Endpoint = &registrar.Endpoint{
			ID:       e.ID,
			Service:  e.Service,
			Address:  e.Address,
			Zone:     e.Zone,
			Slots:    int(e.Slots),
			Draining: e.Draining,
			Started:  fromUnixMillis(e.StartedMillis),
		}
		if len(versions) == len(entries) {
			changes[i].Endpoint.Version = versions[i]
		} else {
			changes[i].Endpoint.Version = f.registry.VersionOf(e.ID)
		}
		if e.ColdLeftMillis > 0 {
			changes[i].Endpoint.ColdUntil = now.Add(time.Duration(e.ColdLeftMillis) * time.Millisecond)
		}
	}
	return changes
}
