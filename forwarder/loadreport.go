package forwarder

import (
	"time"

	"geraniumline/carrier"
)

// reportLife is how long a peer's load report counts: most prompts are read by then. Where reports go to few
// peers a round the next one may come seconds later.
const reportLife = time.Second

// loadReport tells peers what this entry has under way. The lock is held.
func (f *Forwarder) loadReport() *carrier.LoadReport {
	w := &carrier.LoadReport{}
	for id, tokens := range f.selector.OwnWork() {
		w.Endpoints = append(w.Endpoints, carrier.EndpointWork{ID: id, Tokens: int32(tokens)})
	}
	return w
}

func (f *Forwarder) takeLoadReport(from string, m *carrier.LoadReport, now time.Time) {
	tokens := make(map[string]int, len(m.Endpoints))
	for _, e := range m.Endpoints {
		tokens[e.ID] = int(e.Tokens)
	}
	f.selector.SetPeerWork(from, tokens)
	f.reportedAt[from] = now
}

// dropOldReports forgets what peers had under way once their reports are old. The lock is held.
func (f *Forwarder) dropOldReports(now time.Time) {
	for peer, at := range f.reportedAt {
		if now.Sub(at) >= reportLife {
			f.selector.SetPeerWork(peer, nil)
			delete(f.reportedAt, peer)
		}
	}
}
