package appender

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
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

// NewHTTPClient returns a client for the platform's services, whose responses are bounded: the generated clients read whole
// bodies into memory.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: boundedTransport{&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}}
}

// SizeError reports a response body of more than Limit bytes.
type SizeError struct{ Limit int64 }

func (e *SizeError) Error() string { return fmt.Sprintf("response body exceeds %d bytes", e.Limit) }

// boundedTransport bounds the bodies of responses.
type boundedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &boundedBody{ReadCloser: resp.Body, left: maxResponseBytes}
	return resp, nil
}

// boundedBody fails with a *SizeError beyond its limit; a body that just ended there would look complete.
type boundedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, &SizeError{Limit: maxResponseBytes}
	}
	return n, err
}
