package forwarder

import (
	"context"
	"encoding/hex"
	"errors"
	"time"

	"go.uber.org/zap"

	"geraniumline/connector"
	"geraniumline/meter"
	"geraniumline/quarantiner"
	"geraniumline/registrar"
	"geraniumline/selector"
)

const (
	// crashCheckDelay is how long after a broken exchange the endpoint's address is probed. A process that crashed
	// has closed its socket by then.
	crashCheckDelay = 20 * time.Millisecond
	// crashReportTTL is how long after a broken exchange the end of its endpoint counts as the reason: until peers have told
	// it and other calls have met the next process at its address.
	crashReportTTL = 3 * time.Second
	// crashReportSlack is how much earlier than the exchange broke an endpoint may have ended by a peer's report.
	crashReportSlack = 500 * time.Millisecond
	// maxBrokenExchanges bounds the exchanges that are kept for one endpoint.
	maxBrokenExchanges = 256
	// loggedDigestBytes is the part of a digest that log lines contain.
	loggedDigestBytes = 8
)

// brokenExchange is an exchange that an endpoint interrupted, with what may have crashed the endpoint.
type brokenExchange struct {
	endpoint registrar.Endpoint
	request  string
	account  string
	content  quarantiner.Digest
	// parts are those of the prompt, unless its answer had begun.
	parts []quarantiner.Part
	at    time.Time
}

// brokenExchanges holds the exchanges that broke lately, by the endpoint's process, until it is known whether that crashed.
type brokenExchanges map[quarantiner.Process][]brokenExchange

func (m brokenExchanges) add(b *brokenExchange) {
	process := quarantiner.ProcessOf(b.endpoint.ID, b.endpoint.Started)
	if len(m[process]) < maxBrokenExchanges {
		m[process] = append(m[process], *b)
	}
}

// take removes and returns the exchanges with a process that had ended by the given time.
func (m brokenExchanges) take(process quarantiner.Process, ended time.Time) []brokenExchange {
	list := m[process]
	if len(list) == 0 || ended.Before(list[0].at.Add(-crashReportSlack)) {
		return nil
	}
	delete(m, process)
	return list
}

// expire drops the exchanges that broke too long ago for an end of their endpoint to be the reason.
func (m brokenExchanges) expire(now time.Time) {
	for process, list := range m {
		if now.Sub(list[len(list)-1].at) >= crashReportTTL {
			delete(m, process)
		}
	}
}

// checkCrash checks the address of an endpoint that interrupted an exchange: if it refuses connections, the endpoint
// crashed while it ran the content. A connection reset or an invalid response alone proves nothing. Neither does an
// address that does not answer, or that refuses connections while peers reach it: this VM may have lost its network, and
// the content would be refused everywhere for minutes. In these cases the exchange counts once a peer, or the answer of
// another process at the address, shows that the endpoint has ended.
func (x *exchange) checkCrash(choice selector.Choice, answerBegan bool) {
	b := &brokenExchange{endpoint: choice.Endpoint, request: x.req.ID, account: x.account, content: x.digest(), at: time.Now()}
	if !answerBegan {
		b.parts = x.parts
	}
	f := x.f
	f.withLock(func() []func() { f.broken.add(b); return nil })
	checked := make(chan struct{})
	x.crashChecked = checked
	time.AfterFunc(crashCheckDelay, func() {
		defer close(checked)
		if f.refusesConnections(choice.Endpoint.Address) {
			now := time.Now()
			f.recordUnreachable(choice, now)
			f.withLock(func() []func() { f.recordProcessEnd(b.endpoint.ID, b.endpoint.Started, now); return nil })
		}
	})
}

// checkRelayedCrash checks the address of an endpoint that interrupted the call of a peer. The heartbeats tell the peer,
// which knows what the call was, that the endpoint has ended.
func (f *Forwarder) checkRelayedCrash(e *registrar.Endpoint) {
	time.AfterFunc(crashCheckDelay, func() {
		if f.refusesConnections(e.Address) {
			now := time.Now()
			f.withLock(func() []func() { f.selector.RecordProcessEnd(e.ID, e.Started, now); return nil })
		}
	})
}

// refusesConnections reports whether no process listens at an address.
func (f *Forwarder) refusesConnections(address string) bool {
	err := f.cfg.Client.Probe(context.Background(), address)
	var unsent *connector.UnsentError
	if !errors.As(err, &unsent) || !unsent.Refused() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.behindPartition(address)
}

// behindPartition reports whether this VM's own links are the reason why an endpoint can't be connected to, as peers reach it
// or others. The lock must be held.
func (f *Forwarder) behindPartition(address string) bool {
	return f.paths.Partitioned() || f.paths.HasDetour(address)
}

// recordRefusedConnection records that a call to an endpoint could not connect since no process listens there.
func (f *Forwarder) recordRefusedConnection(e *registrar.Endpoint) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.behindPartition(e.Address) {
		f.recordProcessEnd(e.ID, e.Started, now)
	}
}

// recordProcessEnd counts the end of an endpoint's process against what it was running when exchanges with it broke. The
// lock must be held.
func (f *Forwarder) recordProcessEnd(id string, started, now time.Time) {
	process := quarantiner.ProcessOf(id, started)
	for _, b := range f.broken.take(process, now) {
		verdict := f.quarantiner.RecordCrash(b.content, process.String(), now)
		f.logPartChanges(f.parts.RecordCrash(b.parts, process, b.at))
		f.cfg.Meter.Counter(meter.ForwardCrashes).Inc(1)
		f.log.Warn("endpoint crashed with a request",
			zap.String("request", b.request),
			zap.String("endpoint", id),
			zap.String("account", b.account),
			zap.String("content", hex.EncodeToString(b.content[:loggedDigestBytes])),
			zap.Uint8("verdict", uint8(verdict)),
			zap.Int("losses", len(f.quarantiner.CrashedEndpoints(b.content))),
			zap.Strings("suspectParts", formatParts(b.parts)))
	}
}
