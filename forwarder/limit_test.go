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
	"geraniumline/selector"
)

const (
	// limitWindow is the span in which the requests at a limited endpoint are counted, limitExcess and limitSlack what it
	// may get in it: limitExcess times its limit, and limitSlack more.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// limitTold is how long after an entry's first answer that names the limit its requests count, limitContact how long
	// after the endpoint first named it.
	limitTold    = 500 * time.Millisecond
	limitContact = 3 * time.Second
	// answerTime is how long the endpoints of these tests take.
	answerTime = 200 * time.Millisecond
)

// limitedPool is one service's endpoints before a mesh of entries that get requests at random.
type limitedPool struct {
	m   *mesh
	rnd *rand.Rand
	// loss is the part of the frames between entries that is lost.
	loss float64
	// limits are those that the endpoints name at present, since is when each began to.
	limits map[string]float64
	since  map[string]time.Time
	// refuses are the endpoints that turn all away at once, unrun, and ask for a time of rest where it is not 0.
	refuses map[string]time.Duration
	// leaves are the endpoints that say that they leave.
	leaves map[string]bool
	// told is when an entry first had an answer that names an endpoint's limit.
	told map[[2]string]time.Time
	// counted are the arrivals at each endpoint that count for its limit, arrived all of them.
	counted map[string][]time.Time
	arrived map[string][]time.Time
	// served and refused count the requests.
	served  int
	refused int
	answers []pendingAnswer
}

type pendingAnswer struct {
	at     time.Time
	entry  string
	choice selector.Choice
	notice regulator.Notice
}

func newLimitedPool(t *testing.T, entries int, endpoints ...string) *limitedPool {
	t.Helper()
	return newSeededPool(t, 7, entries, endpoints...)
}

func newSeededPool(t *testing.T, seed uint64, entries int, endpoints ...string) *limitedPool {
	t.Helper()
	m, rnd := newLossyMesh(t, entries, seed)
	all := make([]registrar.Change, len(endpoints))
	for i, id := range endpoints {
		all[i] = endpointAt(id)
	}
	for _, f := range m.nodes {
		f.ReplaceEndpoints(all, locator.At(0, 5), m.now)
	}
	return &limitedPool{
		m: m, rnd: rnd,
		refuses: map[string]time.Duration{},
		leaves:  map[string]bool{},
		limits:  map[string]float64{}, since: map[string]time.Time{}, told: map[[2]string]time.Time{},
		counted: map[string][]time.Time{}, arrived: map[string][]time.Time{},
	}
}

// limit has an endpoint name a limit from now on; 0 ends it.
func (p *limitedPool) limit(endpoint string, perSecond float64) {
	if perSecond == 0 {
		delete(p.limits, endpoint)
		return
	}
	p.limits[endpoint] = perSecond
	p.since[endpoint] = p.m.now
}

// run has so many requests a second come to the entries, each at a random one.
func (p *limitedPool) run(d time.Duration, perSecond float64) {
	for end := p.m.now.Add(d); p.m.now.Before(end); {
		p.m.step(tickEvery)
		p.m.deliver(p.loss, p.rnd)
		p.answer()
		for n := p.poisson(perSecond * tickEvery.Seconds()); n > 0; n-- {
			p.request(fmt.Sprintf("entry-%d", p.rnd.IntN(len(p.m.nodes))))
		}
	}
}

func (p *limitedPool) poisson(mean float64) (n int) {
	for t := p.rnd.ExpFloat64(); t < mean; t += p.rnd.ExpFloat64() {
		n++
	}
	return n
}

// request sends one request as the entry would, to one endpoint after the other while they refuse it.
func (p *limitedPool) request(entry string) {
	f := p.m.nodes[entry]
	query := selector.Query{Service: "plain"}
	for sends := 0; ; sends++ {
		choice, found := p.choose(f, query, sends)
		if !found {
			p.refused++
			return
		}
		id := choice.Endpoint.ID
		p.arrive(entry, id)
		rest, refuses := p.refuses[id]
		if !refuses {
			p.served++
			limit, limited := p.limits[id]
			p.answers = append(p.answers, pendingAnswer{
				at: p.m.now.Add(answerTime), entry: entry, choice: choice,
				notice: regulator.Notice{Limited: limited, PerSecond: limit, Leaving: p.leaves[id]},
			})
			return
		}
		f.takeNotice(&choice.Endpoint, regulator.Notice{Rest: rest}, p.m.now)
		f.mu.Lock()
		f.selector.RecordRefusal(choice, p.m.now)
		f.mu.Unlock()
		query.Exclude = append(query.Exclude, id)
	}
}

// choose picks the endpoint of an attempt, if the budget of extra calls allows it.
func (p *limitedPool) choose(f *Forwarder, query selector.Query, sends int) (selector.Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sends == 0 {
		f.retrier.RecordFirstAttempt(query.Service, false, p.m.now)
	} else if !f.retrier.TakeRetry(query.Service, sends, p.m.now) {
		return selector.Choice{}, false
	}
	choice, found := f.selector.Choose(query, p.m.now)
	if found {
		f.selector.RecordStart(choice, nil, p.m.now)
	}
	return choice, found
}

// arrive counts a request at an endpoint.
func (p *limitedPool) arrive(entry, id string) {
	now := p.m.now
	p.arrived[id] = append(p.arrived[id], now)
	told, knows := p.told[[2]string{entry, id}]
	if knows && now.Sub(told) >= limitTold && now.Sub(p.since[id]) >= limitContact {
		p.counted[id] = append(p.counted[id], now)
	}
}

// answer has the answers come that are due.
func (p *limitedPool) answer() {
	for len(p.answers) > 0 && !p.answers[0].at.After(p.m.now) {
		a := p.answers[0]
		p.answers = p.answers[1:]
		f := p.m.nodes[a.entry]
		key := [2]string{a.entry, a.choice.Endpoint.ID}
		if _, knows := p.told[key]; a.notice.Limited && !knows {
			p.told[key] = p.m.now
		}
		f.takeNotice(&a.choice.Endpoint, a.notice, p.m.now)
		f.mu.Lock()
		f.selector.RecordEnd(a.choice, ejector.Good, p.m.now)
		f.mu.Unlock()
	}
}

func limitBound(perSecond float64) int {
	return int(limitExcess*perSecond*limitWindow.Seconds() + limitSlack)
}

// Guards against entries that each send a limited endpoint all that it takes, so that it gets many times its limit.
func TestALimitHoldsForAllEntriesTogether(t *testing.T) {
	for _, tc := range []struct {
		entries   int
		perSecond float64
		loss      float64
	}{
		{7, 1, 0}, {7, 0.5, 0.1}, {7, 10, 0}, {65, 1, 0.1},
	} {
		t.Run(fmt.Sprintf("%d entries, %g a second", tc.entries, tc.perSecond), func(t *testing.T) {
			p := newLimitedPool(t, tc.entries, "a", "b")
			p.loss = tc.loss
			p.run(time.Second, 70)
			p.limit("a", tc.perSecond)
			p.run(15*time.Second, 70)
			require.LessOrEqual(t, measurer.MaxInWindow(p.counted["a"], limitWindow), limitBound(tc.perSecond))
			require.Zero(t, p.refused, "the other endpoint takes the rest")
		})
	}
}

// used is the part of a limit that the endpoint got in the last so many seconds.
func (p *limitedPool) used(endpoint string, perSecond float64, last time.Duration) float64 {
	n := 0
	for _, at := range p.arrived[endpoint] {
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
			p := newLimitedPool(t, tc.entries, "a", "b")
			p.limit("a", tc.perSecond)
			p.run(25*time.Second, 10*float64(tc.entries))
			require.Greater(t, p.used("a", tc.perSecond, 20*time.Second), 0.8)
		})
	}
}

// Guards against an endpoint that stays out of use after its limit has ended, since most entries never hear so themselves.
func TestALimitThatHasEndedIsForgottenEverywhere(t *testing.T) {
	for _, entries := range []int{7, 65} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			p := newLimitedPool(t, entries, "a", "b")
			p.loss = 0.1
			p.limit("a", 1)
			p.run(10*time.Second, 70)
			p.limit("a", 0)
			p.run(5*time.Second, 70)
			for name, f := range p.m.nodes {
				require.Empty(t, f.regulator.LimitedEndpoints(), name)
			}
			require.Greater(t, p.used("a", 70, time.Second), 0.3, "half of the pool's requests, give or take")
		})
	}
}
