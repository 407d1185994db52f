package forwarder

import (
	"time"

	"geraniumline/carrier"
	"geraniumline/detector"
	"geraniumline/registrar"
)

// readerDuty is the duty of reading the endpoints' entries for all. Each entry could read for itself; the calls are
// priced and limited over all entries, and the entries change with every heartbeat of an endpoint.
const readerDuty = "endpoints"

// newsPatience is how long an entry goes without word from the one that reads before it reads itself. It is one reading
// and half of the next; with its own reading an endpoint that leaves is known well within two seconds.
const newsPatience = 1100 * time.Millisecond

// ReadsEndpoints tells whether this entry is to read the endpoints' entries from the store now, and from which offset.
// The one that the duty falls to does; any other only while it hears nothing.
func (f *Forwarder) ReadsEndpoints(now time.Time) (int64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from := int64(-1)
	if f.registry.Known() {
		from = f.registry.Next()
	}
	reader, known := f.owner(readerDuty, nil)
	told := f.registry.Known() && now.Sub(f.newsAt) < newsPatience
	return from, !known || reader == f.cfg.Name || !told
}

// passOn tells all peers what was read. An empty word is sent too: it says that nothing has changed. The lock is held.
func (f *Forwarder) passOn(changes []registrar.Change, from, next int64) []func() {
	if reader, known := f.owner(readerDuty, nil); !known || reader != f.cfg.Name {
		return nil
	}
	news := &carrier.EndpointsNews{From: from, Next: next}
	for _, c := range changes {
		news.Entries = append(news.Entries, entryOf(c))
	}
	var todo []func()
	for _, m := range f.detector.Members() {
		if m.Name != f.cfg.Name && m.State != detector.Dead && m.State != detector.Stopped {
			todo = append(todo, f.sendTo(m.Name, news))
		}
	}
	return todo
}

// takeNews takes what the reading entry has read. After a gap it is of no use, and this entry reads itself. The lock is
// held.
func (f *Forwarder) takeNews(m *carrier.EndpointsNews, now time.Time) []func() {
	if !f.registry.Known() || m.From > f.registry.Next() {
		return nil
	}
	f.newsAt = now
	f.registry.Heard(now)
	f.registry.Apply(changesOf(m.Entries), m.Next, now)
	return f.endpointsChanged(now)
}

func entryOf(c registrar.Change) carrier.EndpointEntry {
	if c.Endpoint == nil {
		return carrier.EndpointEntry{ID: c.ID, Offset: c.Offset, Removed: true, Unusable: c.Unusable}
	}
	entry := carrier.EndpointEntry{
		ID:       c.ID,
		Offset:   c.Offset,
		Service:  c.Endpoint.Service,
		Address:  c.Endpoint.Address,
		Zone:     c.Endpoint.Zone,
		Slots:    int32(c.Endpoint.Slots),
		Draining: c.Endpoint.Draining,
	}
	if !c.Endpoint.Started.IsZero() {
		entry.StartedMillis = c.Endpoint.Started.UnixMilli()
	}
	return entry
}

func changesOf(entries []carrier.EndpointEntry) []registrar.Change {
	changes := make([]registrar.Change, len(entries))
	for i, e := range entries {
		changes[i] = registrar.Change{ID: e.ID, Offset: e.Offset, Unusable: e.Unusable}
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
		}
		if e.StartedMillis > 0 {
			changes[i].Endpoint.Started = time.UnixMilli(e.StartedMillis)
		}
	}
	return changes
}
