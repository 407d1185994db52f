package guarder

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// framingKey is the context key for the connection of a request.
type framingKey struct{}

// framing is a connection that detects requests whose length is ambiguous, such as those with both Transfer-Encoding and
// Content-Length headers.
//
// net/http uses the chunked encoding and ignores Content-Length, as the standard allows. A sender that uses
// Content-Length disagrees about where the next request starts, so one side may parse as a request what the other
// sent as a body (request smuggling). Such a request is refused and its connection closed, so that nothing after it
// is parsed as a request.
type framing struct {
	net.Conn
	mu      sync.Mutex
	scanner frameScanner
	// served is the number of requests that have ended.
	served int
}

// FramingListener wraps the accepted connections so that HasAmbiguousLength can inspect their requests.
func FramingListener(l net.Listener) net.Listener { return &framingListener{l} }

type framingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *framingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framing{Conn: c}, nil
}

// CloseWrite closes the sending side. net/http needs it after an early response: without it the connection is closed at once,
// and the kernel resets it because of the unread data, so that the caller sees a reset instead of the response.
func (f *framing) CloseWrite() error {
	if conn, ok := f.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Read implements net.Conn.
func (f *framing) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scanner.scan(p[:max(n, 0)])
	return n, err
}

// FramingContext stores the connection in the context of its requests. Use it as http.Server.ConnContext.
func FramingContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, framingKey{}, c)
}

// FramingState counts the requests of a connection, which becomes idle after each. Use it as http.Server.ConnState.
func FramingState(c net.Conn, state http.ConnState) {
	f, ok := c.(*framing)
	if !ok || state != http.StateIdle {
		return
	}
	f.mu.Lock()
	f.served++
	f.mu.Unlock()
}

// HasAmbiguousLength reports whether the length of this request, or of one before it on its connection, is ambiguous.
func HasAmbiguousLength(ctx context.Context) bool {
	f, ok := ctx.Value(framingKey{}).(*framing)
	if !ok {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.scanner.heads <= f.served
}

// SetResetOnClose sets whether the connection of a request is reset when it is closed, also by the end of the process. A
// response that ends with its connection is then not taken for complete if it breaks off.
func SetResetOnClose(ctx context.Context, reset bool) error {
	f, ok := ctx.Value(framingKey{}).(*framing)
	if !ok {
		return nil
	}
	conn, ok := f.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	if reset {
		return conn.SetLinger(0)
	}
	return conn.SetLinger(-1)
}
