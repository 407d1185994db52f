package forwarder

import (
	"time"

	"geraniumline/carrier"
)

// workLife is how long a peer's word on its work under way counts: most prompts are read by then. Where word goes to few
// peers a round the next one may come seconds later.
const workLife = time.Second

// work tells what this entry has under way. The lock is held.
func (f *Forwarder) work() *carrier.Work {
	w := &carrier.Work{}
	for id, tokens := range f.selector.Work() {
		w.Endpoints = append(w.Endpoints, carrier.EndpointWork{ID: id, Tokens: int32(tokens)})
	}
	return w
}

func (f *Forwarder) takeWork(from string, m *carrier.Work, now time.Time) {
	tokens := make(map[string]int, len(m.Endpoints))
	for _, e := range m.Endpoints {
		tokens[e.ID] = int(e.Tokens)
	}
	f.selector.SetPeer(from, tokens)
	f.workAt[from] = now
}

// dropOldWork forgets what peers had under way once their word is old. The lock is held.
func (f *Forwarder) dropOldWork(now time.Time) {
	for peer, at := range f.workAt {
		if now.Sub(at) >= workLife {
			f.selector.SetPeer(peer, nil)
			delete(f.workAt, peer)
		}
	}
}
