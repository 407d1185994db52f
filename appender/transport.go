package appender

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"geraniumline/connector"
	"geraniumline/dialer"
)

const (
	// maxIdleConnections covers the tails of all streams and the appends that a batcher has in flight. With the default of
	// two, most appends would dial a new connection, at the cost of a round trip each.
	maxIdleConnections = 16
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	// maxHeadBytes and maxResponseBytes limit a response. A page of the log is its largest one.
	maxHeadBytes     = 64 << 10
	maxResponseBytes = 32 << 20
)

// NewHTTPClient returns a client for the platform's services, whose responses are bounded one by one and together: the
// generated clients read whole bodies into memory.
func NewHTTPClient(budget *connector.Budget) *http.Client {
	return &http.Client{Transport: boundedTransport{budget: budget, Transport: &http.Transport{
		DialContext:            dialer.Bounded(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}}
}

// SizeError reports a response body of more than Limit bytes.
type SizeError struct{ Limit int64 }

func (e *SizeError) Error() string { return fmt.Sprintf("response body exceeds %d bytes", e.Limit) }

// boundedTransport bounds the bodies of responses.
type boundedTransport struct {
	*http.Transport
	budget *connector.Budget
}

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &boundedBody{ReadCloser: resp.Body, left: maxResponseBytes, hold: t.budget.Hold(req.URL.Host)}
	return resp, nil
}

// boundedBody fails with a *SizeError beyond its limit; a body that just ended there would look complete.
type boundedBody struct {
	io.ReadCloser
	left int64
	hold *connector.Hold
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, &SizeError{Limit: maxResponseBytes}
	}
	if growErr := b.hold.Grow(int64(n)); growErr != nil {
		return 0, growErr
	}
	return n, err
}

// Close implements io.Closer.
func (b *boundedBody) Close() error {
	b.hold.Release()
	return b.ReadCloser.Close()
}
