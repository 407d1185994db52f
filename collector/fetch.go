package collector

import (
	"time"

	"geraniumline/cataloger"
)

const (
	// fetchFactor is how many times its links' time a call's fetching of inputs is taken for: many calls fetch from one
	// maker at a time.
	fetchFactor = 3
	// fetchMargin covers the way to the endpoint and the asking for each input.
	fetchMargin = 40 * time.Millisecond
	// shortLife is how long a pool is taken to be short of space after a call that space kept from being full: longer
	// than a usual call, so that it holds between the calls of a surge.
	shortLife = 500 * time.Millisecond
)

// FetchDelay is how long after it was sent a call's inputs lie at the endpoint, which come from a stage's endpoints.
func FetchDelay(stage *cataloger.StagePool, inputBytes int64) time.Duration {
	return fetchMargin + fetchFactor*stage.FetchTime(inputBytes)
}

// fetched is when the inputs of a call that is sent now will lie at the endpoint.
func (p *Pool) fetched(inputBytes int64, now time.Time) time.Time {
	return now.Add(FetchDelay(&p.cfg.Stage, inputBytes))
}

// tellRead tells entries whose groups' inputs are all fetched, so that they can give them back. In a surge the space for a
// stage's results, and not its time, bounds it: most of the time that a result lies there the next stage has read it already.
func (p *Pool) tellRead(now time.Time) {
	for _, c := range p.callsInOrder() {
		if c.fetched || now.Before(c.fetchedAt) {
			continue
		}
		c.fetched = true
		for _, m := range c.pieces {
			if g, known := p.groups[m.id]; known && g.NotifyInputsFetched {
				p.noteRead(g, m.segment)
			}
		}
	}
}

func (p *Pool) noteRead(g *group, segment int) {
	g.read[segment] = true
	if g.readTold || len(g.read) < len(g.Segments) {
		return
	}
	g.readTold = true
	p.emit(InputsFetched{ID: g.ID})
}

// ShortOfSpace tells whether space for results, and not time, held calls back lately.
func (p *Pool) ShortOfSpace(now time.Time) bool {
	return !p.shortAt.IsZero() && now.Sub(p.shortAt) < shortLife
}
