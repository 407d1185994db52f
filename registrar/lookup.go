package registrar

import (
	"iter"
	"slices"
	"strings"

	"geraniumline/locator"
)

// ServiceOf returns the service of an endpoint, or "" if unknown.
func (r *Registry) ServiceOf(id string) string {
	if reg, known := r.registrations[id]; known {
		return reg.endpoint.Service
	}
	return ""
}

// VersionOf returns the software version of an endpoint, or "" if unknown.
func (r *Registry) VersionOf(id string) string {
	if reg, known := r.registrations[id]; known {
		return reg.endpoint.Version
	}
	return ""
}

// PositionOf returns the position of an endpoint's registration in the store, and whether the endpoint is registered.
func (r *Registry) PositionOf(id string) (locator.Position, bool) {
	reg, known := r.registrations[id]
	if !known {
		return locator.Position{}, false
	}
	return reg.position, true
}

// IDsAt returns the IDs of the endpoints at an address; usually one.
func (r *Registry) IDsAt(address string) []string { return r.idsByAddress[address] }

// UsableAt returns the endpoint at an address if it may receive work.
func (r *Registry) UsableAt(address string) (*Endpoint, bool) {
	for _, id := range r.idsByAddress[address] {
		if reg := r.registrations[id]; !reg.unusable && !reg.endpoint.Draining {
			return &reg.endpoint, true
		}
	}
	return nil, false
}

// All returns the registered endpoints, also those that accept no new work, in no particular order. They must not be
// changed.
func (r *Registry) All() iter.Seq[*Endpoint] {
	return func(yield func(*Endpoint) bool) {
		for _, reg := range r.registrations {
			if !reg.unusable && !yield(&reg.endpoint) {
				return
			}
		}
	}
}

// Usable returns the endpoints that may receive work, sorted by ID. The result is shared and must not be changed;
// neither are the endpoints in it ever changed.
func (r *Registry) Usable() []*Endpoint {
	if r.usable != nil {
		return r.usable
	}
	r.usable = make([]*Endpoint, 0, len(r.registrations))
	for _, reg := range r.registrations {
		if !reg.unusable && !reg.endpoint.Draining {
			r.usable = append(r.usable, &reg.endpoint)
		}
	}
	slices.SortFunc(r.usable, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return r.usable
}

// Changes returns the newest change of every endpoint, sorted by ID, for a peer that can't reach the store. It
// includes endpoints whose removal is uncertain; the peer decides about them from its own view of the store.
func (r *Registry) Changes() []Change {
	all := make([]Change, 0, len(r.registrations))
	for id, reg := range r.registrations {
		c := Change{ID: id, Position: reg.position, Sequence: reg.sequence, Unusable: reg.unusable}
		if !reg.unusable {
			endpoint := reg.endpoint
			c.Endpoint = &endpoint
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b Change) int { return strings.Compare(a.ID, b.ID) })
	return all
}
