package resumer

import (
	"iter"
	"time"
)

// History holds the versions that were listed for each service within MaxWindow.
type History struct {
	// since is when the list of endpoints was first known. It is zero in a system that has just started for the first time:
	// no stream is older.
	since    time.Time
	known    bool
	services map[string]map[string]*listing
	// observation counts the calls of Observe.
	observation uint64
}

// listing is when a version was listed.
type listing struct {
	// last is when it was last listed, unless the newest observation has it.
	last        time.Time
	observation uint64
}

// NewHistory returns a History without any observation. firstStart states that the whole system starts for the first time.
func NewHistory(firstStart bool) *History {
	return &History{known: firstStart, services: make(map[string]map[string]*listing)}
}

// Observe records a complete list: the service and version of every endpoint, also of those that accept no new work.
func (h *History) Observe(list iter.Seq2[string, string], now time.Time) {
	if !h.known {
		h.known, h.since = true, now
	}
	h.observation++
	for service, version := range list {
		versions, found := h.services[service]
		if !found {
			versions = make(map[string]*listing)
			h.services[service] = versions
		}
		l, found := versions[version]
		if !found {
			l = &listing{}
			versions[version] = l
		}
		l.observation = h.observation
	}
	for service, versions := range h.services {
		for version, l := range versions {
			switch {
			case l.observation == h.observation:
			case l.observation == h.observation-1:
				l.last = now
			case now.Sub(l.last) > MaxWindow:
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(h.services, service)
		}
	}
}

// Note records versions that were listed lately, but may be missing from the lists that are observed.
func (h *History) Note(list iter.Seq2[string, string], now time.Time) {
	for service, version := range list {
		h.addListing(service, version, now)
	}
}

// Interrupt records that lists have been missed: versions may have been listed meanwhile.
func (h *History) Interrupt(now time.Time) { h.known, h.since = true, now }

// View returns what was listed for a service within the window up to now.
func (h *History) View(service string, window time.Duration, now time.Time) View {
	view := View{FullWindow: h.known && now.Sub(h.since) >= window}
	for version, l := range h.services[service] {
		if l.observation < h.observation && now.Sub(l.last) > window {
			continue
		}
		if view.Listed {
			return View{Listed: true, Several: true, FullWindow: view.FullWindow}
		}
		view.Listed, view.Version = true, version
	}
	return view
}
