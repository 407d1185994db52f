package forwarder

import (
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"geraniumline/meter"
	"geraniumline/quarantiner"
	"geraniumline/registrar"
)

const (
	// crashCheckDelay is how long after a broken exchange the endpoint's address is tried: a process that has crashed
	// has closed its socket by then.
	crashCheckDelay = 20 * time.Millisecond
	// crashCheckTimeout bounds the try.
	crashCheckTimeout = 300 * time.Millisecond
	// quarantineReturn is when the caller of content that crashes endpoints may come back.
	quarantineReturn = time.Minute
)

// digest names a request's content: who asks for what, with which body. The same content comes again under other
// attempts' ids and at other entries.
func (x *exchange) digest() quarantiner.Digest {
	h := sha256.New()
	for _, part := range []string{x.account, x.in.Method, x.in.Host, x.in.RequestURI} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.body)
	return quarantiner.Digest(h.Sum(nil))
}

// checkContent refuses content that has crashed endpoints. Its caller sends it again and again, and each time takes an
// endpoint, with all that runs there, down for seconds.
func (x *exchange) checkContent() *FailureError {
	now := time.Now()
	x.f.mu.Lock()
	verdict := x.f.quarantiner.Verdict(x.digest(), now)
	x.f.mu.Unlock()
	if verdict == quarantiner.Quarantined {
		return notRun("crashesEndpoints", quarantineReturn)
	}
	return nil
}

// brokenAt looks into an exchange that an endpoint broke off: if its address refuses connections now, the endpoint has
// crashed while it ran the content. A reset connection or a spoiled answer alone proves nothing, nor does an address that
// does not answer: this VM may have lost its network, and the content would be refused everywhere for minutes.
func (x *exchange) brokenAt(e registrar.Endpoint) {
	digest := x.digest()
	id := x.req.ID
	f := x.f
	time.AfterFunc(crashCheckDelay, func() {
		conn, err := net.DialTimeout("tcp", e.Address, crashCheckTimeout)
		if err == nil {
			_ = conn.Close()
			return
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		now := time.Now()
		f.mu.Lock()
		verdict := f.quarantiner.RecordCrash(digest, e.Address, now)
		f.mu.Unlock()
		f.cfg.Meter.Counter(meter.ForwardCrashes).Inc(1)
		f.log.Warn("endpoint crashed with a request",
			zap.String("request", id),
			zap.String("endpoint", e.ID),
			zap.Uint8("verdict", uint8(verdict)),
			zap.Error(err))
	})
}

// clearContent notes that the content ran to its end.
func (x *exchange) clearContent() {
	now := time.Now()
	x.f.mu.Lock()
	x.f.quarantiner.RecordSuccess(x.digest(), now)
	x.f.mu.Unlock()
}
