package forwarder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/ejector"
	"geraniumline/locator"
	"geraniumline/measurer"
	"geraniumline/registrar"
	"geraniumline/regulator"
	"geraniumline/retrier"
	"geraniumline/selector"
)

const (
	// limitWindow is the span in which the requests at a limited endpoint are counted. limitExcess and limitSlack
	// bound their number: limitExcess times its limit, plus limitSlack.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// propagationTime is how long after the first response with the limit an entry's requests count, and contactTime
	// how long after the endpoint first sent it.
	propagationTime = 500 * time.Millisecond
	contactTime     = 3 * time.Second
	// responseTime is the response time of the endpoints in these tests.
	responseTime = 200 * time.Millisecond
)

// endpointPool simulates the endpoints of one service and a mesh of entries that receive requests at random.
type endpointPool struct {
	m   *mesh
	rnd *rand.Rand
	// frameLoss is the share of the frames between entries that is lost.
	frameLoss float64
	// limits are the limits that the endpoints send at present, and limitedSince is when each began to.
	limits       map[string]float64
	limitedSince map[string]time.Time
	// refuses holds the endpoints that immediately refuse all requests without running them, with the rest period
	// that they ask for, or 0.
	refuses map[string]time.Duration
	// leaves holds the endpoints that announce that they leave.
	leaves map[string]bool
	// firstNamed is when an entry first received a response with an endpoint's limit, by entry and endpoint.
	firstNamed map[[2]string]time.Time
	// countedArrivals are the arrivals at each endpoint that count towards its limit, and arrivals all of them.
	countedArrivals map[string][]time.Time
	arrivals        map[string][]time.Time
	// served and refused count the requests.
	served    int
	refused   int
	responses []pendingResponse
}

type pendingResponse struct {
	at     time.Time
	entry  string
	choice selector.Choice
	notice regulator.Notice
}

func newEndpointPool(t *testing.T, entries int, endpoints ...string) *endpointPool {
	t.Helper()
	return newSeededEndpointPool(t, 7, entries, endpoints...)
}

func newSeededEndpointPool(t *testing.T, seed uint64, entries int, endpoints ...string) *endpointPool {
	t.Helper()
	m, rnd := newLossyMesh(t, entries, seed)
	all := make([]registrar.Change, len(endpoints))
	for i, id := range endpoints {
		all[i] = endpointChange(id)
	}
	for _, f := range m.nodes {
		f.ReplaceEndpoints(all, locator.At(0, 5), m.now)
	}
	return &endpointPool{
		m: m, rnd: rnd,
		refuses: map[string]time.Duration{},
		leaves:  map[string]bool{},
		limits:  map[string]float64{}, limitedSince: map[string]time.Time{}, firstNamed: map[[2]string]time.Time{},
		countedArrivals: map[string][]time.Time{}, arrivals: map[string][]time.Time{},
	}
}

// limit sets the limit that an endpoint sends from now on; 0 ends it.
func (p *endpointPool) limit(endpoint string, perSecond float64) {
	if perSecond == 0 {
		delete(p.limits, endpoint)
		return
	}
	p.limits[endpoint] = perSecond
	p.limitedSince[endpoint] = p.m.now
}

// run simulates perSecond requests a second, each at a random entry.
func (p *endpointPool) run(d time.Duration, perSecond float64) {
	for end := p.m.now.Add(d); p.m.now.Before(end); {
		p.m.step(tickInterval)
		p.m.deliver(p.frameLoss, p.rnd)
		p.deliverResponses()
		for n := p.poisson(perSecond * tickInterval.Seconds()); n > 0; n-- {
			p.request(fmt.Sprintf("entry-%d", p.rnd.IntN(len(p.m.nodes))))
		}
	}
}

func (p *endpointPool) poisson(mean float64) (n int) {
	for t := p.rnd.ExpFloat64(); t < mean; t += p.rnd.ExpFloat64() {
		n++
	}
	return n
}

// request sends one request as an entry does, to one endpoint after the other while they refuse it.
func (p *endpointPool) request(entry string) {
	f := p.m.nodes[entry]
	query := selector.Query{Service: "plain"}
	for sends := 0; ; sends++ {
		choice, found := p.choose(f, query, sends)
		if !found {
			p.refused++
			return
		}
		id := choice.Endpoint.ID
		p.recordArrival(entry, id)
		rest, refuses := p.refuses[id]
		if !refuses {
			p.served++
			limit, limited := p.limits[id]
			p.responses = append(p.responses, pendingResponse{
				at: p.m.now.Add(responseTime), entry: entry, choice: choice,
				notice: regulator.Notice{Limited: limited, PerSecond: limit, Leaving: p.leaves[id]},
			})
			return
		}
		f.applyNotice(&choice.Endpoint, regulator.Notice{Rest: rest}, p.m.now)
		f.mu.Lock()
		f.selector.RecordRefusal(choice, p.m.now)
		f.mu.Unlock()
		query.Exclude = append(query.Exclude, id)
	}
}

// choose selects the endpoint of an attempt, if the retry budget allows it.
func (p *endpointPool) choose(f *Forwarder, query selector.Query, sends int) (selector.Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sends == 0 {
		f.retries.RecordRequest(query.Service, p.m.now)
	} else if sends >= maxEndpointsPerRequest || !f.retries.TakeRetry(query.Service, retrier.Deferrable, p.m.now) {
		return selector.Choice{}, false
	}
	choice, found := f.selector.Choose(query, p.m.now)
	if found {
		f.selector.RecordStart(choice, nil, p.m.now)
	}
	return choice, found
}

// recordArrival records a request at an endpoint.
func (p *endpointPool) recordArrival(entry, id string) {
	now := p.m.now
	p.arrivals[id] = append(p.arrivals[id], now)
	named, known := p.firstNamed[[2]string{entry, id}]
	if known && now.Sub(named) >= propagationTime && now.Sub(p.limitedSince[id]) >= contactTime {
		p.countedArrivals[id] = append(p.countedArrivals[id], now)
	}
}

// deliverResponses delivers the responses that are due.
func (p *endpointPool) deliverResponses() {
	for len(p.responses) > 0 && !p.responses[0].at.After(p.m.now) {
		a := p.responses[0]
		p.responses = p.responses[1:]
		f := p.m.nodes[a.entry]
		key := [2]string{a.entry, a.choice.Endpoint.ID}
		if _, known := p.firstNamed[key]; a.notice.Limited && !known {
			p.firstNamed[key] = p.m.now
		}
		f.applyNotice(&a.choice.Endpoint, a.notice, p.m.now)
		f.mu.Lock()
		f.selector.RecordEnd(a.choice, ejector.Good, p.m.now)
		f.mu.Unlock()
	}
}

func limitBound(perSecond float64) int {
	return int(limitExcess*perSecond*limitWindow.Seconds() + limitSlack)
}

// Guards against entries that each send as many requests as a limited endpoint accepts, so that it receives many
// times its limit.
func TestALimitHoldsForAllEntriesTogether(t *testing.T) {
	for _, tc := range []struct {
		entries   int
		perSecond float64
		loss      float64
	}{
		{7, 1, 0}, {7, 0.5, 0.1}, {7, 10, 0}, {65, 1, 0.1},
	} {
		t.Run(fmt.Sprintf("%d entries, %g a second", tc.entries, tc.perSecond), func(t *testing.T) {
			p := newEndpointPool(t, tc.entries, "a", "b")
			p.frameLoss = tc.loss
			p.run(time.Second, 70)
			p.limit("a", tc.perSecond)
			p.run(15*time.Second, 70)
			require.LessOrEqual(t, measurer.MaxInWindow(p.countedArrivals["a"], limitWindow), limitBound(tc.perSecond))
			require.Zero(t, p.refused, "the other endpoint serves the rest")
		})
	}
}

// usedShare returns the share of a limit that the endpoint received in the given last period.
func (p *endpointPool) usedShare(endpoint string, perSecond float64, last time.Duration) float64 {
	n := 0
	for _, at := range p.arrivals[endpoint] {
		if p.m.now.Sub(at) < last {
			n++
		}
	}
	return float64(n) / (perSecond * last.Seconds())
}

func TestALimitIsUsedWhereThereIsDemand(t *testing.T) {
	for _, tc := range []struct {
		entries   int
		perSecond float64
	}{{7, 1}, {7, 10}, {65, 10}} {
		t.Run(fmt.Sprintf("%d entries, %g a second", tc.entries, tc.perSecond), func(t *testing.T) {
			p := newEndpointPool(t, tc.entries, "a", "b")
			p.limit("a", tc.perSecond)
			p.run(25*time.Second, 10*float64(tc.entries))
			require.Greater(t, p.usedShare("a", tc.perSecond, 20*time.Second), 0.8)
		})
	}
}

// Guards against an endpoint that stays out of use after its limit has ended, since most entries receive no response
// from it themselves.
func TestALimitThatHasEndedIsForgottenEverywhere(t *testing.T) {
	for _, entries := range []int{7, 65} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			p := newEndpointPool(t, entries, "a", "b")
			p.frameLoss = 0.1
			p.limit("a", 1)
			p.run(10*time.Second, 70)
			p.limit("a", 0)
			p.run(5*time.Second, 70)
			for name, f := range p.m.nodes {
				require.Empty(t, f.regulator.LimitedEndpoints(), name)
			}
			require.Greater(t, p.usedShare("a", 70, time.Second), 0.3, "about half of the pool's requests")
		})
	}
}
