package router

import (
	"slices"
	"strings"
	"time"
)

const (
	failuresToEject = 3
	ejection        = 2 * time.Second
)

// Result tells how a call to an endpoint ended.
type Result uint8

// The ways in which a call ends.
const (
	Succeeded Result = iota
	Failed
	Cancelled
	RefusedBusy
	RefusedLeaving
)

type endpoint struct {
	address string
	pool    string
	zone    string
	slots   int
	// inFlight counts this entry's calls, peers those of other entries by their heartbeats.
	inFlight     int
	peers        map[string]int
	leaving      bool
	failures     int
	ejectedUntil time.Time
	listed       time.Time
	succeeded    time.Time
	reported     time.Time
	report       Report
}

func (e *endpoint) calls() int {
	n := e.inFlight
	for _, peer := range e.peers {
		n += peer
	}
	return n
}

func (e *endpoint) load() float64 {
	return float64(e.calls()) / float64(max(e.slots, 1))
}

func (e *endpoint) usable(now time.Time) bool {
	return !e.leaving && !now.Before(e.ejectedUntil)
}

func (e *endpoint) free(now time.Time) bool {
	return e.usable(now) && e.calls() < e.slots
}

// Status is an endpoint as operators see it.
type Status struct {
	Address  string
	Pool     string
	Zone     string
	State    string
	InFlight int
	Queued   int
}

// Endpoints lists all known endpoints by pool and address.
func (r *Router) Endpoints(now time.Time) []Status {
	var all []Status
	for _, e := range r.endpoints {
		all = append(all, Status{
			Address:  e.address,
			Pool:     e.pool,
			Zone:     e.zone,
			State:    e.state(now),
			InFlight: e.inFlight,
			Queued:   e.report.Waiting,
		})
	}
	slices.SortFunc(all, func(a, b Status) int {
		return strings.Compare(a.Pool+"/"+a.Address, b.Pool+"/"+b.Address)
	})
	return all
}

func (e *endpoint) state(now time.Time) string {
	switch {
	case e.leaving:
		return "leaving"
	case now.Before(e.ejectedUntil):
		return "ejected"
	default:
		return "live"
	}
}

// Addresses lists the endpoints that a load report should be asked of.
func (r *Router) Addresses() []string {
	addresses := make([]string, 0, len(r.endpoints))
	for address := range r.endpoints {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}
