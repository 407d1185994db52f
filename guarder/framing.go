package guarder

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// framingKey finds a connection's framing in a request's context.
type framingKey struct{}

// maxScanned bounds the bytes of one header that are looked through.
const maxScanned = 32 << 10

// framing watches a connection for requests that tell their body's length in two ways.
//
// net/http takes the chunks and drops the Content-Length, as the standard allows. A sender that goes by the length
// would have its next request begin elsewhere, and what one side takes for a body is a hidden request to the other.
// Such a request is refused and its connection closed, so that nothing after it is read as a request.
type framing struct {
	net.Conn
	mu        sync.Mutex
	scanning  bool
	header    []byte
	ambiguous bool
}

// FramingListener wraps accepted connections so that HasAmbiguousLength can tell of their requests.
func FramingListener(l net.Listener) net.Listener { return &framingListener{l} }

type framingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *framingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framing{Conn: c, scanning: true}, nil
}

// Read implements net.Conn.
func (f *framing) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	f.mu.Lock()
	defer f.mu.Unlock()
	if n > 0 && f.scanning {
		f.scan(p[:n])
	}
	return n, err
}

func (f *framing) scan(data []byte) {
	f.header = append(f.header, data...)
	end := bytes.Index(f.header, []byte("\r\n\r\n"))
	if end < 0 && len(f.header) < maxScanned {
		return
	}
	if end < 0 {
		end = len(f.header)
	}
	f.ambiguous = f.ambiguous || twoLengths(f.header[:end])
	f.scanning = false
	f.header = nil
}

func twoLengths(header []byte) bool {
	lower := bytes.ToLower(header)
	return bytes.Contains(lower, []byte("\ntransfer-encoding")) && bytes.Contains(lower, []byte("\ncontent-length"))
}

// FramingContext is for http.Server.ConnContext.
func FramingContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, framingKey{}, c)
}

// FramingState is for http.Server.ConnState: the next request's header is looked at.
func FramingState(c net.Conn, state http.ConnState) {
	f, ok := c.(*framing)
	if !ok || state != http.StateIdle {
		return
	}
	f.mu.Lock()
	f.scanning = true
	f.mu.Unlock()
}

// HasAmbiguousLength tells whether the request's connection has carried a request whose length is in doubt.
func HasAmbiguousLength(ctx context.Context) bool {
	f, ok := ctx.Value(framingKey{}).(*framing)
	if !ok {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ambiguous
}
