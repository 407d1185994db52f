package collector

import (
	"time"

	"geraniumline/cataloger"
)

const (
	// fetchFactor is the multiple of the pure transfer time that fetching a call's inputs is assumed to take, since many
	// calls fetch from the same endpoint at a time.
	fetchFactor = 3
	// fetchMargin covers the network delay to the endpoint and the request for each input.
	fetchMargin = 40 * time.Millisecond
	// shortageExpiry is how long a pool counts as short of space after a call could not be filled for lack of space. It is
	// longer than a usual call, so that the state persists between the calls of a surge.
	shortageExpiry = 500 * time.Millisecond
)

// FetchDelay returns the time after which a call's inputs, fetched over the links of a stage's endpoints, are assumed to be
// fetched.
func FetchDelay(stage *cataloger.StagePool, inputBytes int64) time.Duration {
	return fetchMargin + fetchFactor*stage.FetchTime(inputBytes)
}

// inputsFetchedAt returns when the inputs of a call sent now are assumed to be fetched.
func (p *Pool) inputsFetchedAt(inputBytes int64, now time.Time) time.Time {
	return now.Add(FetchDelay(&p.cfg.Stage, inputBytes))
}

// reportFetched notifies entries of groups whose inputs are all fetched, so that they can free them. In a surge, a stage is
// limited by the space for its results and not by processing time, and for most of the time that a result is stored, the
// next stage has already read it.
func (p *Pool) reportFetched(now time.Time) {
	for _, c := range p.callsInOrder() {
		if c.inputsFetched || now.Before(c.inputsFetchedAt) {
			continue
		}
		c.inputsFetched = true
		for _, m := range c.pieces {
			if g, known := p.groups[m.id]; known && g.NotifyInputsFetched {
				p.markFetched(g, m.segment)
			}
		}
	}
}

func (p *Pool) markFetched(g *group, segment int) {
	g.inputsFetched[segment] = true
	if g.fetchReported || len(g.inputsFetched) < len(g.Segments) {
		return
	}
	g.fetchReported = true
	p.emit(InputsFetched{ID: g.ID})
}

// ShortOfSpace reports whether a lack of result space, and not of time, recently kept calls from being full.
func (p *Pool) ShortOfSpace(now time.Time) bool {
	return !p.lastSpaceShortage.IsZero() && now.Sub(p.lastSpaceShortage) < shortageExpiry
}
