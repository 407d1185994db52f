package forwarder

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"geraniumline/meter"
	"geraniumline/quarantiner"
	"geraniumline/selector"
)

const (
	// crashCheckDelay is how long after a broken exchange the endpoint's address is probed. A process that crashed
	// has closed its socket by then.
	crashCheckDelay = 20 * time.Millisecond
	// crashCheckTimeout bounds the probe.
	crashCheckTimeout = 300 * time.Millisecond
	// quarantineRetryDelay is the retry delay for content that crashes endpoints.
	quarantineRetryDelay = time.Minute
	// loggedDigestBytes is the part of a digest that log lines contain.
	loggedDigestBytes = 8
)

// digest identifies a request's content by its client account, method, host, target and body. The same content arrives
// again under other request ids and at other entries.
func (x *exchange) digest() quarantiner.Digest {
	h := sha256.New()
	for _, part := range []string{x.account, x.in.Method, x.in.Host, x.in.RequestURI} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.body)
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

// checkCrash checks the address of an endpoint that interrupted an exchange: if it refuses connections, the endpoint
// crashed while it ran the content. A connection reset or an invalid response alone proves nothing. Neither does an
// address that does not answer: this VM may have lost its network, and the content would be refused everywhere for
// minutes.
func (x *exchange) checkCrash(choice selector.Choice) {
	e := choice.Endpoint
	digest := x.digest()
	id := x.req.ID
	f := x.f
	evidence := []zap.Field{
		zap.String("content", hex.EncodeToString(digest[:loggedDigestBytes])),
		zap.String("account", x.account),
		zap.Strings("parts", formatParts(x.sharedParts())),
		zap.Bool("answerBegan", x.answerBegan),
	}
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
		f.recordUnreachable(choice, now)
		f.mu.Lock()
		verdict := f.quarantiner.RecordCrash(digest, e.Address, now)
		losses := len(f.quarantiner.CrashedEndpoints(digest))
		f.mu.Unlock()
		f.cfg.Meter.Counter(meter.ForwardCrashes).Inc(1)
		f.log.Warn("endpoint crashed with a request", append(evidence,
			zap.String("request", id),
			zap.String("endpoint", e.ID),
			zap.Uint8("verdict", uint8(verdict)),
			zap.Int("losses", losses),
			zap.Error(err))...)
	})
}

// recordContentServed records that an endpoint completed a request with this content.
func (x *exchange) recordContentServed() {
	now := time.Now()
	x.f.mu.Lock()
	x.f.quarantiner.RecordSuccess(x.digest(), now)
	x.f.mu.Unlock()
}

// sharedParts returns the IDs of the prompt's parts that other requests may have too: all but the last.
func (x *exchange) sharedParts() []uint64 {
	if len(x.req.Parts) < 2 {
		return nil
	}
	ids := make([]uint64, 0, len(x.req.Parts)-1)
	for _, part := range x.req.Parts[:len(x.req.Parts)-1] {
		ids = append(ids, part.ID)
	}
	return ids
}

// formatParts formats the IDs of a prompt's parts for log lines.
func formatParts(ids []uint64) []string {
	list := make([]string, len(ids))
	for i, id := range ids {
		list[i] = strconv.FormatUint(id, 16)
	}
	return list
}
