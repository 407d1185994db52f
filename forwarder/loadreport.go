package forwarder

import (
	"time"

	"geraniumline/carrier"
)

// reportTTL is how long a peer's load report is valid: most prompts are read within it. Where reports go to few peers
// per round, the next one may arrive seconds later.
const reportTTL = time.Second

// loadReport returns the work that this entry has in flight at each endpoint, its recent observations of their speeds,
// where it has sent prompts, and its use of the retry budgets. The lock must be held.
func (f *Forwarder) loadReport(now time.Time) *carrier.LoadReport {
	w := &carrier.LoadReport{
		Timings: f.timings.report(now),
		Prompts: f.prompts.report(now),
		Retries: f.retryUse(now),
	}
	for id, tokens := range f.selector.OwnWork() {
		w.Endpoints = append(w.Endpoints, carrier.EndpointWork{ID: id, Tokens: int32(tokens)})
	}
	return w
}

func (f *Forwarder) applyLoadReport(from string, m *carrier.LoadReport, now time.Time) {
	tokens := make(map[string]int, len(m.Endpoints))
	for _, e := range m.Endpoints {
		tokens[e.ID] = int(e.Tokens)
	}
	f.selector.SetPeerWork(from, tokens)
	f.applyTimings(from, m.Timings, now)
	f.applyPrompts(from, m.Prompts)
	f.reportedAt[from] = now
	f.applyRetryUse(from, m.Retries, now)
}

// expireReports discards peers' load reports that have expired. The lock must be held.
func (f *Forwarder) expireReports(now time.Time) {
	for peer, at := range f.reportedAt {
		if now.Sub(at) >= reportTTL {
			f.selector.SetPeerWork(peer, nil)
			delete(f.reportedAt, peer)
		}
	}
}
