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

// The model has one limited endpoint and many entries. Each entry offers its requests to this endpoint first, and sends
// those that it may not send there to another endpoint.
const (
	modelStep         = 5 * time.Millisecond
	answerTime        = 200 * time.Millisecond
	window            = 4 * time.Second
	settlingTime      = 3 * time.Second
	heartbeatInterval = 150 * time.Millisecond
	minDeathDetection = 900 * time.Millisecond
	maxDeathDetection = 1500 * time.Millisecond
)

// sharingStrategy is one way for entries to share a limit.
type sharingStrategy interface {
	// allows reports whether an entry may send a request to the endpoint now, and counts the request if so.
	allows(entry int, now time.Time) bool
	// applyAnswer handles an answer that an entry received.
	applyAnswer(entry int, n Notice, now time.Time)
	// seesLimit reports whether an entry considers the endpoint limited.
	seesLimit(entry int) bool
	// applyPeerLimit handles a limit reported by a peer, which the peer learned at the given time.
	applyPeerLimit(entry int, perSecond float64, at time.Time)
	// setLiveEntries sets the entries that an entry considers live.
	setLiveEntries(entry int, names []string)
}

// quotaStrategy divides the limit among some of the entries.
type quotaStrategy struct {
	regulators []*Regulator
	// senders returns the number of entries that share the limit and the burst of each one. If nil, the regulator's own
	// quota is used.
	senders func(perSecond float64, entries int) (senders, burst int)
}

func (s *quotaStrategy) allows(entry int, now time.Time) bool {
	r := s.regulators[entry]
	perSecond, limited := r.Limit(modelEndpoint.ID)
	if !limited {
		return true
	}
	quota := r.quota(modelEndpoint.ID, now)
	if s.senders != nil {
		quota.Senders, quota.Burst = s.senders(perSecond, r.EntryCount())
	}
	if !r.rationer.Allows(modelEndpoint.ID, quota, now) {
		return false
	}
	r.rationer.RecordSend(modelEndpoint.ID, quota, now)
	return true
}

func (s *quotaStrategy) applyAnswer(entry int, n Notice, now time.Time) {
	s.regulators[entry].ApplyNotice(modelEndpoint, n, now)
}

func (s *quotaStrategy) seesLimit(entry int) bool {
	return len(s.regulators[entry].LimitedEndpoints()) > 0
}

func (s *quotaStrategy) applyPeerLimit(entry int, perSecond float64, at time.Time) {
	s.regulators[entry].ApplyPeerLimit(Limit{Endpoint: modelEndpoint.ID, PerSecond: perSecond, At: at})
}

func (s *quotaStrategy) setLiveEntries(entry int, names []string) {
	s.regulators[entry].SetEntries(names)
}

// permitStrategy requests a permit for each call from one entry, which the endpoint's ID determines.
type permitStrategy struct {
	quotaStrategy
	names        []string
	owners       []string
	issuers      map[string]*rationer.Rationer
	blockedUntil []time.Time
	messages     int
}

func (p *permitStrategy) setLiveEntries(entry int, names []string) {
	p.quotaStrategy.setLiveEntries(entry, names)
	p.owners[entry], _ = hasher.Owner(modelEndpoint.ID, names)
}

func (p *permitStrategy) allows(entry int, now time.Time) bool {
	perSecond, limited := p.regulators[entry].Limit(modelEndpoint.ID)
	if !limited {
		return true
	}
	if p.blockedUntil[entry].After(now) {
		return false
	}
	owner := p.owners[entry]
	if owner != p.names[entry] {
		p.messages += 2
	}
	issuer, known := p.issuers[owner]
	if !known {
		issuer = rationer.New(owner)
		p.issuers[owner] = issuer
	}
	quota := rationer.Quota{Senders: 1, PerSecond: perSecond, Burst: int(perSecond) + 2}
	if free := issuer.SoleNextSendTime(modelEndpoint.ID, quota, now); free.After(now) {
		p.blockedUntil[entry] = free
		return false
	}
	issuer.RecordSend(modelEndpoint.ID, quota, now)
	return true
}

var modelEndpoint = &registrar.Endpoint{ID: "a"}

// limitModel simulates a sharing strategy.
type limitModel struct {
	strategy         sharingStrategy
	names            []string
	requestsPerEntry float64
	rnd              *rand.Rand
	now              time.Time
	limit            float64
	dead             map[int]bool
	answers          []modelAnswer
	gossip           []modelGossip
	arrived          []time.Time
}

type modelAnswer struct {
	at    time.Time
	entry int
	limit float64
}

type modelGossip struct {
	at         time.Time
	entry      int
	limit      float64
	reportedAt time.Time
	isLiveList bool
	names      []string
}

func newLimitModel(kind string, n int, each float64, seed uint64) *limitModel {
	m := &limitModel{names: names(n), requestsPerEntry: each, rnd: rand.New(rand.NewPCG(seed, uint64(n))), now: now, dead: map[int]bool{}}
	shared := quotaStrategy{regulators: make([]*Regulator, n)}
	for i, name := range m.names {
		shared.regulators[i] = newRegulator(name, m.names)
	}
	switch kind {
	case "all":
		shared.senders = func(_ float64, entries int) (int, int) { return entries, 1 }
		m.strategy = &shared
	case "one":
		shared.senders = func(perSecond float64, _ int) (int, int) { return 1, int(perSecond) + 2 }
		m.strategy = &shared
	case "few":
		m.strategy = &shared
	case "permits":
		p := &permitStrategy{quotaStrategy: shared, names: m.names, owners: make([]string, n), issuers: map[string]*rationer.Rationer{}, blockedUntil: make([]time.Time, n)}
		for i := range n {
			p.setLiveEntries(i, m.names)
		}
		m.strategy = p
	}
	return m
}

// gossipDelay returns the time that a gossip message takes to one entry. A tenth of the frames is lost.
func (m *limitModel) gossipDelay() time.Duration {
	longest := heartbeatInterval
	if len(m.names) >= 64 {
		longest = 5 * heartbeatInterval
	}
	d := time.Duration(m.rnd.Float64() * float64(longest))
	for m.rnd.Float64() < 0.1 {
		d += heartbeatInterval
	}
	return d
}

// run advances the simulated time.
func (m *limitModel) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelStep) {
		m.deliver()
		for t := m.rnd.ExpFloat64(); t < m.requestsPerEntry*float64(len(m.names))*modelStep.Seconds(); t += m.rnd.ExpFloat64() {
			entry := m.rnd.IntN(len(m.names))
			if !m.dead[entry] && m.strategy.allows(entry, m.now) {
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
		sawLimit := m.strategy.seesLimit(a.entry)
		m.strategy.applyAnswer(a.entry, Notice{Limited: a.limit > 0, PerSecond: a.limit}, m.now)
		if sawLimit || a.limit > 0 {
			for i := range m.names {
				if i != a.entry {
					m.gossip = append(m.gossip, modelGossip{at: m.now.Add(m.gossipDelay()), entry: i, limit: a.limit, reportedAt: m.now})
				}
			}
		}
	}
	m.gossip = slices.DeleteFunc(m.gossip, func(w modelGossip) bool {
		if w.at.After(m.now) {
			return false
		}
		if w.isLiveList {
			m.strategy.setLiveEntries(w.entry, w.names)
		} else if !m.dead[w.entry] {
			m.strategy.applyPeerLimit(w.entry, w.limit, w.reportedAt)
		}
		return true
	})
}

// kill ends the entries that share the limit first. Each of the others detects this later, after a random delay.
func (m *limitModel) kill(count int) {
	left := slices.Clone(m.names)
	for range count {
		owner, _ := hasher.Owner(modelEndpoint.ID, left)
		m.dead[slices.Index(m.names, owner)] = true
		left = slices.DeleteFunc(left, func(name string) bool { return name == owner })
	}
	for i := range m.names {
		seen := minDeathDetection + time.Duration(m.rnd.Float64()*float64(maxDeathDetection-minDeathDetection))
		m.gossip = append(m.gossip, modelGossip{at: m.now.Add(seen), entry: i, isLiveList: true, names: left})
	}
}

// arrivalsSince lists the arrivals from the given time on.
func (m *limitModel) arrivalsSince(at time.Time) []time.Time {
	return slices.DeleteFunc(slices.Clone(m.arrived), func(t time.Time) bool { return t.Before(at) })
}

// Compares the strategies for sharing a limit, at present and future deployment sizes; docs/design/LIMITS.md has the
// table. The endpoint states a limit, two of the entries that share it end, the limit is raised fourfold, and then it
// ends.
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
					used += float64(len(m.arrivalsSince(began.Add(5*time.Second)))) / (15 * limit) / seeds
					m.kill(2)
					m.run(10 * time.Second)
					most = max(most, measurer.MaxInWindow(m.arrivalsSince(began.Add(settlingTime)), window))
					if p, ok := m.strategy.(*permitStrategy); ok {
						messages += p.messages / 30 / seeds
					}
					raised = max(raised, m.until(func() bool { return m.rateOver(2*time.Second) > 0.8*min(4*limit, float64(n)) }, func() { m.limit *= 4 }))
					ended = max(ended, m.until(m.noEntrySeesLimit, func() { m.limit = 0 }))
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

// until applies a change and returns the time until the condition holds, at most 20 s.
func (m *limitModel) until(done func() bool, change func()) time.Duration {
	change()
	began := m.now
	for m.now.Sub(began) < 20*time.Second && !done() {
		m.run(50 * time.Millisecond)
	}
	return m.now.Sub(began)
}

// rateOver returns the arrivals a second in the most recent interval of the given length.
func (m *limitModel) rateOver(last time.Duration) float64 {
	return float64(len(m.arrivalsSince(m.now.Add(-last)))) / last.Seconds()
}

func (m *limitModel) noEntrySeesLimit() bool {
	for i := range m.names {
		if !m.dead[i] && m.strategy.seesLimit(i) {
			return false
		}
	}
	return true
}
