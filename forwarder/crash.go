package forwarder

import (
	"context"
	"encoding/hex"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"geraniumline/connector"
	"geraniumline/meter"
	"geraniumline/quarantiner"
	"geraniumline/selector"
)

const (
	// crashCheckDelay is how long after a broken exchange the endpoint's address is probed. A process that crashed
	// has closed its socket by then.
	crashCheckDelay = 20 * time.Millisecond
	// loggedDigestBytes is the part of a digest that log lines contain.
	loggedDigestBytes = 8
)

// brokenExchange is an exchange that an endpoint interrupted, with what it may have crashed of.
type brokenExchange struct {
	choice  selector.Choice
	request string
	account string
	content quarantiner.Digest
	// parts are those of the prompt, unless its answer had begun.
	parts []quarantiner.Part
	at    time.Time
}

// checkCrash checks the address of an endpoint that interrupted an exchange: if it refuses connections, the endpoint
// crashed while it ran the content. A connection reset or an invalid response alone proves nothing. Neither does an
// address that does not answer: this VM may have lost its network, and the content would be refused everywhere for
// minutes.
func (x *exchange) checkCrash(choice selector.Choice) {
	b := brokenExchange{choice: choice, request: x.req.ID, account: x.account, content: x.digest(), at: time.Now()}
	if !x.answerBegan {
		b.parts = x.parts
	}
	checked := make(chan struct{})
	x.crashChecked = checked
	f := x.f
	time.AfterFunc(crashCheckDelay, func() {
		defer close(checked)
		if refusesConnections(f, choice.Endpoint.Address) {
			f.recordUnreachable(choice, time.Now())
			f.recordCrash(&b)
		}
	})
}

// refusesConnections reports whether no process listens at an address.
func refusesConnections(f *Forwarder, address string) bool {
	err := f.cfg.Client.Probe(context.Background(), address)
	var unsent *connector.UnsentError
	return errors.As(err, &unsent) && errors.Is(err, syscall.ECONNREFUSED)
}

// recordCrash counts the crash of an endpoint against a request that it ran.
func (f *Forwarder) recordCrash(b *brokenExchange) {
	e := &b.choice.Endpoint
	f.mu.Lock()
	verdict := f.quarantiner.RecordCrash(b.content, e.Address, time.Now())
	losses := len(f.quarantiner.CrashedEndpoints(b.content))
	f.logPartChanges(f.parts.RecordCrash(b.parts, quarantiner.ProcessOf(e.ID, e.Started), b.at))
	f.mu.Unlock()
	f.cfg.Meter.Counter(meter.ForwardCrashes).Inc(1)
	f.log.Warn("endpoint crashed with a request",
		zap.String("request", b.request),
		zap.String("endpoint", e.ID),
		zap.String("account", b.account),
		zap.String("content", hex.EncodeToString(b.content[:loggedDigestBytes])),
		zap.Uint8("verdict", uint8(verdict)),
		zap.Int("losses", losses),
		zap.Strings("accused", formatParts(b.parts)))
}
