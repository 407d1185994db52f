package regulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/hasher"
	"geraniumline/measurer"
	"geraniumline/rationer"
	"geraniumline/registrar"
)

// The model of one limited endpoint before many entries. Each entry that has a request offers it to the endpoint first; what may
// not go there goes elsewhere.
const (
	modelStep    = 5 * time.Millisecond
	answerTime   = 200 * time.Millisecond
	window       = 4 * time.Second
	contactTime  = 3 * time.Second
	beatEvery    = 150 * time.Millisecond
	deathSeenMin = 900 * time.Millisecond
	deathSeenMax = 1500 * time.Millisecond
)

// way is one way of sharing a limit.
type way interface {
	// allows tells whether a request at an entry may go to the endpoint now, and counts it there.
	allows(entry int, now time.Time) bool
	// heard takes an answer at an entry.
	heard(entry int, n Notice, now time.Time)
	// knows tells whether an entry takes the endpoint for limited.
	knows(entry int) bool
	// told takes a peer's word, as of a time.
	told(entry int, perSecond float64, at time.Time)
	// live takes the entries that an entry believes to live.
	live(entry int, names []string)
}

// sharedWay has so many entries share the limit.
type sharedWay struct {
	regulators []*Regulator
	// senders is how many entries share the limit and how much each may send at once; nil takes the regulator's own ration.
	senders func(perSecond float64, entries int) (senders, burst int)
}

func (s *sharedWay) allows(entry int, now time.Time) bool {
	r := s.regulators[entry]
	perSecond, limited := r.Limit(modelEndpoint.ID)
	if !limited {
		return true
	}
	ration := r.ration(modelEndpoint.ID, now)
	if s.senders != nil {
		ration.Senders, ration.Burst = s.senders(perSecond, r.EntryCount())
	}
	if !r.rationer.Allows(modelEndpoint.ID, ration, now) {
		return false
	}
	r.rationer.RecordSend(modelEndpoint.ID, ration, now)
	return true
}

func (s *sharedWay) heard(entry int, n Notice, now time.Time) {
	s.regulators[entry].ApplyNotice(modelEndpoint, n, now)
}

func (s *sharedWay) knows(entry int) bool { return len(s.regulators[entry].LimitedEndpoints()) > 0 }

func (s *sharedWay) told(entry int, perSecond float64, at time.Time) {
	s.regulators[entry].ApplyPeerLimit(Limit{Endpoint: modelEndpoint.ID, PerSecond: perSecond, At: at})
}

func (s *sharedWay) live(entry int, names []string) { s.regulators[entry].SetEntries(names) }

// permitsWay asks one entry, which the endpoint's id names, for a permit for each call.
type permitsWay struct {
	sharedWay
	names    []string
	owners   []string
	lenders  map[string]*rationer.Rationer
	waits    []time.Time
	messages int
}

func (p *permitsWay) live(entry int, names []string) {
	p.sharedWay.live(entry, names)
	p.owners[entry], _ = hasher.Owner(modelEndpoint.ID, names)
}

func (p *permitsWay) allows(entry int, now time.Time) bool {
	perSecond, limited := p.regulators[entry].Limit(modelEndpoint.ID)
	if !limited {
		return true
	}
	if p.waits[entry].After(now) {
		return false
	}
	owner := p.owners[entry]
	if owner != p.names[entry] {
		p.messages += 2
	}
	lender, known := p.lenders[owner]
	if !known {
		lender = rationer.New(owner)
		p.lenders[owner] = lender
	}
	ration := rationer.Quota{Senders: 1, PerSecond: perSecond, Burst: int(perSecond) + 2}
	if free := lender.SoleNextSendTime(modelEndpoint.ID, ration, now); free.After(now) {
		p.waits[entry] = free
		return false
	}
	lender.RecordSend(modelEndpoint.ID, ration, now)
	return true
}

var modelEndpoint = &registrar.Endpoint{ID: "a"}

// limitModel drives a way.
type limitModel struct {
	way     way
	names   []string
	each    float64
	rnd     *rand.Rand
	now     time.Time
	limit   float64
	dead    map[int]bool
	answers []modelAnswer
	words   []modelWord
	arrived []time.Time
}

type modelAnswer struct {
	at    time.Time
	entry int
	limit float64
}

type modelWord struct {
	at     time.Time
	entry  int
	limit  float64
	as     time.Time
	isLive bool
	names  []string
}

func newLimitModel(kind string, n int, each float64, seed uint64) *limitModel {
	m := &limitModel{names: names(n), each: each, rnd: rand.New(rand.NewPCG(seed, uint64(n))), now: now, dead: map[int]bool{}}
	shared := sharedWay{regulators: make([]*Regulator, n)}
	for i, name := range m.names {
		shared.regulators[i] = newRegulator(name, m.names)
	}
	switch kind {
	case "all":
		shared.senders = func(_ float64, entries int) (int, int) { return entries, 1 }
		m.way = &shared
	case "one":
		shared.senders = func(perSecond float64, _ int) (int, int) { return 1, int(perSecond) + 2 }
		m.way = &shared
	case "few":
		m.way = &shared
	case "permits":
		p := &permitsWay{sharedWay: shared, names: m.names, owners: make([]string, n), lenders: map[string]*rationer.Rationer{}, waits: make([]time.Time, n)}
		for i := range n {
			p.live(i, m.names)
		}
		m.way = p
	}
	return m
}

// gossipDelay is how long a word takes to one entry. A tenth of the frames is lost.
func (m *limitModel) gossipDelay() time.Duration {
	longest := beatEvery
	if len(m.names) >= 64 {
		longest = 5 * beatEvery
	}
	d := time.Duration(m.rnd.Float64() * float64(longest))
	for m.rnd.Float64() < 0.1 {
		d += beatEvery
	}
	return d
}

// run lets time pass.
func (m *limitModel) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelStep) {
		m.deliver()
		for t := m.rnd.ExpFloat64(); t < m.each*float64(len(m.names))*modelStep.Seconds(); t += m.rnd.ExpFloat64() {
			entry := m.rnd.IntN(len(m.names))
			if !m.dead[entry] && m.way.allows(entry, m.now) {
				m.arrived = append(m.arrived, m.now)
				m.answers = append(m.answers, modelAnswer{at: m.now.Add(answerTime), entry: entry, limit: m.limit})
			}
		}
	}
}

func (m *limitModel) deliver() {
	for len(m.answers) > 0 && !m.answers[0].at.After(m.now) {
		a := m.answers[0]
		m.answers = m.answers[1:]
		knew := m.way.knows(a.entry)
		m.way.heard(a.entry, Notice{Limited: a.limit > 0, PerSecond: a.limit}, m.now)
		if knew || a.limit > 0 {
			for i := range m.names {
				if i != a.entry {
					m.words = append(m.words, modelWord{at: m.now.Add(m.gossipDelay()), entry: i, limit: a.limit, as: m.now})
				}
			}
		}
	}
	m.words = slices.DeleteFunc(m.words, func(w modelWord) bool {
		if w.at.After(m.now) {
			return false
		}
		if w.isLive {
			m.way.live(w.entry, w.names)
		} else if !m.dead[w.entry] {
			m.way.told(w.entry, w.limit, w.as)
		}
		return true
	})
}

// kill ends the entries that share the limit first; the others see it later, each at its own time.
func (m *limitModel) kill(count int) {
	left := slices.Clone(m.names)
	for range count {
		owner, _ := hasher.Owner(modelEndpoint.ID, left)
		m.dead[slices.Index(m.names, owner)] = true
		left = slices.DeleteFunc(left, func(name string) bool { return name == owner })
	}
	for i := range m.names {
		seen := deathSeenMin + time.Duration(m.rnd.Float64()*float64(deathSeenMax-deathSeenMin))
		m.words = append(m.words, modelWord{at: m.now.Add(seen), entry: i, isLive: true, names: left})
	}
}

// since lists the arrivals from a time on.
func (m *limitModel) since(at time.Time) []time.Time {
	return slices.DeleteFunc(slices.Clone(m.arrived), func(t time.Time) bool { return t.Before(at) })
}

// The ways to share a limit, at sizes of today and later; docs/design/LIMITS.md has the table. A limit is named, two of the
// entries that share it end, it is raised fourfold, and ends.
func TestPolicySharedLimit(t *testing.T) {
	for _, n := range []int{7, 65, 300} {
		for _, limit := range []float64{0.5, 10} {
			for _, kind := range []string{"all", "one", "few", "permits"} {
				most, used, raised, ended, messages := 0, 0.0, time.Duration(0), time.Duration(0), 0
				const seeds = 3
				bound := int(1.5*limit*window.Seconds() + 5)
				for seed := range uint64(seeds) {
					m := newLimitModel(kind, n, 1, seed)
					m.limit = limit
					m.run(20 * time.Second)
					began := m.now.Add(-20 * time.Second)
					used += float64(len(m.since(began.Add(5*time.Second)))) / (15 * limit) / seeds
					m.kill(2)
					m.run(10 * time.Second)
					most = max(most, measurer.MaxInWindow(m.since(began.Add(contactTime)), window))
					if p, ok := m.way.(*permitsWay); ok {
						messages += p.messages / 30 / seeds
					}
					raised = max(raised, m.until(func() bool { return m.rateOver(2*time.Second) > 0.8*min(4*limit, float64(n)) }, func() { m.limit *= 4 }))
					ended = max(ended, m.until(m.nobodyKnows, func() { m.limit = 0 }))
				}
				t.Logf("%3d entries, %4.1f a second, %-8s most in 4 s %4d of %3d, used %.2f, full use after a raise %5.1f s, after the end %5.1f s, messages a second %d",
					n, limit, kind, most, bound, used, raised.Seconds(), ended.Seconds(), messages)
				if kind == "few" {
					require.LessOrEqual(t, most, bound, fmt.Sprint(n, limit))
				}
			}
		}
	}
}

// until changes something and gives the time until a condition holds, at most 20 s.
func (m *limitModel) until(done func() bool, change func()) time.Duration {
	change()
	began := m.now
	for m.now.Sub(began) < 20*time.Second && !done() {
		m.run(50 * time.Millisecond)
	}
	return m.now.Sub(began)
}

// rateOver is the arrivals a second in the last time.
func (m *limitModel) rateOver(last time.Duration) float64 {
	return float64(len(m.since(m.now.Add(-last)))) / last.Seconds()
}

func (m *limitModel) nobodyKnows() bool {
	for i := range m.names {
		if !m.dead[i] && m.way.knows(i) {
			return false
		}
	}
	return true
}
