package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
	"geraniumline/ejector"
	"geraniumline/locator"
	"geraniumline/registrar"
	"geraniumline/selector"
)

// lostPool is an endpointPool some of whose endpoints have crashed.
type lostPool struct {
	*endpointPool
	// refusing holds the endpoints whose address refuses connections, and replaced those at whose address another
	// process rejects calls.
	refusing map[string]bool
	replaced map[string]bool
	// refusedConnections and rejected count the sends to them, rejected by entry and endpoint.
	refusedConnections int
	rejected           map[[2]string]int
}

// run simulates perSecond requests a second, each at a random entry.
func (p *lostPool) run(d time.Duration, perSecond float64) {
	for end := p.m.now.Add(d); p.m.now.Before(end); {
		p.m.step(tickInterval)
		p.m.deliver(p.frameLoss, p.rnd)
		p.deliverResponses()
		for n := p.poisson(perSecond * tickInterval.Seconds()); n > 0; n-- {
			p.request(fmt.Sprintf("entry-%d", p.rnd.IntN(len(p.m.nodes))))
		}
	}
}

// request sends one request as an entry does, to one endpoint after the other while they are lost.
func (p *lostPool) request(entry string) {
	f := p.m.nodes[entry]
	query := selector.Query{Service: "plain"}
	for sends := 0; ; {
		choice, found := p.choose(f, query, sends)
		if !found {
			p.refused++
			return
		}
		id := choice.Endpoint.ID
		query.Exclude = append(query.Exclude, id)
		switch {
		case p.refusing[id]:
			p.refusedConnections++
			f.mu.Lock()
			f.selector.RecordEnd(choice, ejector.Down, p.m.now)
			f.mu.Unlock()
		case p.replaced[id]:
			p.rejected[[2]string{entry, id}]++
			sends++
			f.markEnded(&choice.Endpoint, p.m.now)
			f.mu.Lock()
			f.selector.RecordRefusal(choice, p.m.now)
			f.mu.Unlock()
		default:
			p.served++
			p.responses = append(p.responses, pendingResponse{at: p.m.now.Add(responseTime), entry: entry, choice: choice})
			return
		}
	}
}

// rejectedTotal returns the number of rejected sends.
func (p *lostPool) rejectedTotal() (n int) {
	for _, rejected := range p.rejected {
		n += rejected
	}
	return n
}

// crashSome simulates the crash of a quarter of a pool: connections are refused for some seconds, and then new processes
// answer at the addresses, which the list of endpoints names only later. Each entry gets four requests a second.
func crashSome(t *testing.T, entries int, frameLoss float64, seed uint64) *lostPool {
	t.Helper()
	const (
		endpoints   = 40
		crashed     = 10
		downTime    = 3 * time.Second
		listedAfter = 1500 * time.Millisecond
	)
	ids := make([]string, endpoints)
	for i := range ids {
		ids[i] = fmt.Sprintf("e%02d", i)
	}
	p := &lostPool{
		endpointPool: newSeededEndpointPool(t, seed, entries, ids...),
		refusing:     map[string]bool{}, replaced: map[string]bool{}, rejected: map[[2]string]int{},
	}
	perSecond := 4 * float64(entries)
	p.run(time.Second, perSecond)
	p.frameLoss = frameLoss
	p.served, p.refused = 0, 0
	for _, id := range ids[:crashed] {
		p.refusing[id] = true
	}
	p.run(downTime, perSecond)
	p.replaced, p.refusing = p.refusing, p.replaced
	p.run(listedAfter, perSecond)
	var started []registrar.Change
	for i := range ids[:crashed] {
		c := endpointChange(fmt.Sprintf("new%02d", i))
		c.Position = locator.At(0, 10)
		c.Endpoint.Address = ids[i] + ":1"
		started = append(started, c)
	}
	for _, f := range p.m.nodes {
		f.ApplyEndpoints(started, locator.At(0, 5), locator.At(0, 11), p.m.now)
	}
	return p
}

// Guards against sends to ended processes until the list of endpoints names their successors: each one counts as a retry,
// and a probe that is rejected must not return the endpoint to use.
func TestAnEndedEndpointRejectsOneSendOfEachEntry(t *testing.T) {
	for _, entries := range []int{7, 65} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			p := crashSome(t, entries, 0, 1)
			require.NotEmpty(t, p.rejected)
			for pair, n := range p.rejected {
				require.Equal(t, 1, n, pair)
			}
			for name := range p.m.nodes {
				chosen := p.m.countChosen(name, 400)
				for i := range 10 {
					require.NotContains(t, chosen, fmt.Sprintf("e%02d", i), name)
				}
				require.Contains(t, chosen, "new00", name)
			}
		})
	}
}

// Guards against reports that have no effect: compares the sends to lost endpoints with and without messages between
// entries.
func TestPeersReportsReduceSendsToLostEndpoints(t *testing.T) {
	for _, entries := range []int{7, 65} {
		refusedConnections, rejected := map[float64]int{}, map[float64]int{}
		for _, loss := range []float64{0, 1} {
			for seed := range uint64(3) {
				p := crashSome(t, entries, loss, seed)
				refusedConnections[loss] += p.refusedConnections
				rejected[loss] += p.rejectedTotal()
			}
		}
		t.Logf("%d entries: refused connections %d with reports and %d without, rejected sends %d and %d",
			entries, refusedConnections[0], refusedConnections[1], rejected[0], rejected[1])
		require.Less(t, refusedConnections[0], refusedConnections[1])
		require.Less(t, rejected[0], rejected[1])
	}
}

// startedAt returns the change of an endpoint that started at the given time, at the given offset.
func startedAt(id string, at time.Time, offset int64) registrar.Change {
	c := endpointChange(id)
	c.Endpoint.Started = at
	c.Position = locator.At(0, offset)
	return c
}

// Guards against an endpoint that stays out of use although it has started again, or although its process lives and
// wrongly rejected a call.
func TestAnEndedEndpointIsUsedAgain(t *testing.T) {
	for name, tc := range map[string]struct {
		news func(f *Forwarder, now time.Time)
		wait time.Duration
	}{
		"new start": {func(f *Forwarder, now time.Time) {
			f.ApplyEndpoints([]registrar.Change{startedAt("a", time.UnixMilli(2000), 7)}, locator.At(0, 5), locator.At(0, 8), now)
		}, 0},
		"registered again": {func(f *Forwarder, now time.Time) {
			f.ApplyEndpoints([]registrar.Change{startedAt("a", time.UnixMilli(1000), 7)}, locator.At(0, 5), locator.At(0, 8), now)
		}, tickInterval},
		"no news": {func(*Forwarder, time.Time) {}, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			m, _ := newLossyMesh(t, 2, 13)
			first := startedAt("a", time.UnixMilli(1000), 3)
			f := m.nodes["entry-0"]
			f.ReplaceEndpoints([]registrar.Change{first, endpointChange("b")}, locator.At(0, 5), m.now)
			require.Len(t, m.countChosen("entry-0", 50), 2)
			f.markEnded(first.Endpoint, m.now)
			require.Equal(t, map[string]int{"b": 50}, m.countChosen("entry-0", 50))
			m.step(time.Second)
			require.Equal(t, map[string]int{"b": 50}, m.countChosen("entry-0", 50))
			tc.news(f, m.now)
			m.step(tc.wait)
			require.Len(t, m.countChosen("entry-0", 50), 2)
		})
	}
}

// Guards against late reports about an earlier process, which would hold back its successor.
func TestLateReportsDoNotConcernANewStart(t *testing.T) {
	m, _ := newLossyMesh(t, 2, 14)
	f := m.nodes["entry-0"]
	first, second := time.UnixMilli(1000), time.UnixMilli(5000)
	f.ReplaceEndpoints([]registrar.Change{startedAt("a", first, 3), endpointChange("b")}, locator.At(0, 5), m.now)
	report := &carrier.Heartbeat{
		From: carrier.Member{Name: "entry-1"}, Unreachable: []carrier.EndpointRefusal{{ID: "a", StartedMillis: first.UnixMilli()}},
	}
	f.handleMessage("entry-1", report, m.now)
	require.Equal(t, map[string]int{"b": 50}, m.countChosen("entry-0", 50))
	f.ApplyEndpoints([]registrar.Change{startedAt("a", second, 7)}, locator.At(0, 5), locator.At(0, 8), m.now)
	require.Len(t, m.countChosen("entry-0", 50), 2, "a new start is used at once")
	m.now = m.now.Add(2 * time.Second)
	f.handleMessage("entry-1", report, m.now)
	require.Len(t, m.countChosen("entry-0", 50), 2, "a heartbeat that arrives two seconds late")
}

// Guards against reports about endpoints that are not lost, which would change choices where nothing has happened.
func TestHeartbeatsReportOnlyLostEndpoints(t *testing.T) {
	p := newEndpointPool(t, 7, "a", "b", "c")
	p.refuses["a"] = 0
	p.run(2*time.Second, 70)
	f := p.m.nodes["entry-0"]
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Empty(t, f.unreachable(p.m.now))
	require.Empty(t, f.selector.AvoidedCounts(p.m.now))
}
