package forwarder

import (
	"time"

	"geraniumline/carrier"
	"geraniumline/detector"
	"geraniumline/locator"
	"geraniumline/registrar"
)

// readerDuty is the duty of reading the endpoints' entries for all. Each entry could read for itself; the calls are
// priced and limited over all entries, and the entries change with every heartbeat of an endpoint.
const readerDuty = "endpoints"

// newsPatience is how long an entry goes without news from the one that reads before it reads itself. It is one reading
// and half of the next; with its own reading an endpoint that leaves is known well within two seconds.
const newsPatience = 1100 * time.Millisecond

const (
	// configDuty is the duty of following the operator's configuration for all.
	configDuty = "config"
	// configReaders is how many entries follow the configuration in the store; the others hear of a newer version from
	// them. The store may turn entries away, and a key be withdrawn meanwhile, which must be in force everywhere within
	// seconds: that it serves none of the eight, while it turns three of five entries away, has a chance of two in a hundred.
	// With eight entries or less each follows it.
	configReaders = 8
	// configSilence is how long ago the store may last have answered a reading of the configuration
	// before more entries read for themselves.
	configSilence = 5 * time.Second
	// rankStep is how much longer each further entry in the order of a duty waits before it takes the duty up. The first
	// one that the store answers tells all others, so that in an outage a few entries ask the store and not all.
	rankStep = 200 * time.Millisecond
	// firstStartPatience is how long an entry waits for news from its peers at the first start of all: until they have
	// found each other, one has read, and what it read has gone round.
	firstStartPatience = 3 * time.Second
	// addressDuty is the duty of leaving one's address in the store for those who hear no peer; addressKeepers entries have
	// it, so that a few are there after any loss but that of all.
	addressDuty    = "addresses"
	addressKeepers = 8
)

// ShouldReadConfig tells whether this entry is to follow the configuration in the store now.
func (f *Forwarder) ShouldReadConfig(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readsConfig(now)
}

// readsConfig is ShouldReadConfig with the lock held.
func (f *Forwarder) readsConfig(now time.Time) bool {
	rank := f.rank(configDuty)
	if f.catalog == nil {
		return rank < configReaders && !f.settling(now) || !f.patient(now)
	}
	if rank < configReaders {
		return true
	}
	return now.Sub(f.configHeard) >= configSilence+time.Duration(rank-configReaders)*rankStep
}

// patient tells whether an entry that knows nothing waits for news from its peers before it asks the store. At the first
// start of all no caller waits yet, and each that reads for itself is two calls; at any other start callers do wait. The
// lock is held.
func (f *Forwarder) patient(now time.Time) bool {
	return f.cfg.FirstStart && now.Sub(f.began) < firstStartPatience
}

// RecordConfigRead notes that the store has answered a reading of the configuration.
func (f *Forwarder) RecordConfigRead(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configHeard = now
}

// ShouldRegisterAddress tells whether this entry is to leave its address in the store.
func (f *Forwarder) ShouldRegisterAddress(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.settling(now) && f.rank(addressDuty) < addressKeepers
}

// ShouldReadEndpoints tells whether this entry is to read the endpoints' entries from the store now, and from which offset.
// The one that the duty falls to does; any other only while it hears nothing, one after the other.
func (f *Forwarder) ShouldReadEndpoints(now time.Time) (locator.Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from := locator.None
	if f.registry.Loaded() {
		from = f.registry.Next()
	}
	rank := f.rank(readerDuty)
	if !f.registry.Loaded() {
		return from, rank == 0 && !f.settling(now) || !f.patient(now)
	}
	told := now.Sub(f.newsAt) < newsPatience+time.Duration(rank)*rankStep
	return from, rank == 0 && !f.settling(now) || !told
}

// passOn tells all peers what was read. Empty news are sent too: they say that nothing has changed. The lock is held.
func (f *Forwarder) passOn(changes []registrar.Change, from, next locator.Position, now time.Time) []func() {
	news := &carrier.EndpointsNews{Era: next.Era(), From: from.Offset(), Next: next.Offset()}
	for _, c := range changes {
		news.Entries = append(news.Entries, entryOf(c, now))
	}
	var todo []func()
	for _, m := range f.detector.Members() {
		if m.Name != f.cfg.Name && m.State != detector.Dead && m.State != detector.Stopped {
			todo = append(todo, f.sendTo(m.Name, news))
		}
	}
	return todo
}

// takeNews takes what the reading entry has read. After a gap, such as a new era of the store, it is of no use, and this entry
// asks for the list or reads itself. The lock is held.
func (f *Forwarder) takeNews(m *carrier.EndpointsNews, now time.Time) []func() {
	next := f.registry.Next()
	if !f.registry.Loaded() || m.Era != next.Era() || m.From > next.Offset() {
		return nil
	}
	f.newsAt = now
	f.registry.StoreAvailable(now)
	f.registry.Apply(changesOf(m.Entries, now), locator.At(m.Era, m.Next), now)
	if len(m.Entries) == 0 {
		return nil
	}
	return f.endpointsChanged(now)
}

func entryOf(c registrar.Change, now time.Time) carrier.EndpointEntry {
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
	entry.StartedMillis = unixMillis(c.Endpoint.Started)
	if c.Endpoint.Cold(now) {
		entry.ColdLeftMillis = c.Endpoint.ColdUntil.Sub(now).Milliseconds()
	}
	return entry
}

func changesOf(entries []carrier.EndpointEntry, now time.Time) []registrar.Change {
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
			Started:  timeOf(e.StartedMillis),
		}
		if e.ColdLeftMillis > 0 {
			changes[i].Endpoint.ColdUntil = now.Add(time.Duration(e.ColdLeftMillis) * time.Millisecond)
		}
	}
	return changes
}
