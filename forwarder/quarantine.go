package forwarder

import (
	"crypto/sha256"
	"io"
	"time"

	"geraniumline/quarantiner"
)

// quarantineRetryDelay is the retry delay for content that crashes endpoints.
const quarantineRetryDelay = time.Minute

// digest identifies a request's content by its client account, method, host, target and body. The same content arrives
// again under other request ids and at other entries.
func (x *exchange) digest() quarantiner.Digest {
	h := sha256.New()
	for _, part := range []string{x.account, x.in.Method, x.in.Host, x.in.RequestURI} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	for _, block := range x.body {
		_, _ = h.Write(block)
	}
	return quarantiner.Digest(h.Sum(nil))
}

// checkQuarantine refuses content that has crashed endpoints. Its caller retries it, and each attempt takes an
// endpoint, with all its running requests, down for seconds.
func (x *exchange) checkQuarantine() *FailureError {
	now := time.Now()
	x.f.mu.Lock()
	verdict := x.f.quarantiner.Verdict(x.digest(), now)
	x.f.mu.Unlock()
	if verdict == quarantiner.Quarantined {
		return notRun("crashesEndpoints", quarantineRetryDelay)
	}
	return nil
}

// quarantineContent refuses the request's content everywhere: its pieces crashed endpoints of a stage that ran nothing else.
func (x *exchange) quarantineContent() {
	now := time.Now()
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.f.quarantiner.Quarantine(x.digest(), x.req.ID, now)
}

// recordContentServed records that an endpoint completed a request with this content.
func (x *exchange) recordContentServed() {
	now := time.Now()
	x.f.mu.Lock()
	x.f.quarantiner.RecordSuccess(x.digest(), now)
	x.f.mu.Unlock()
}
