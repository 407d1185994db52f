package faker

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits on the resources that a faulty test can use.
const (
	maxConnections    = 16_384
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	stopTimeout       = 2 * time.Second
)

// ServeConfig configures the HTTP server of a stand-in.
type ServeConfig struct {
	// Listen is the address as host:port; port 0 selects a free port.
	Listen  string
	Handler http.Handler
	// Ready receives one line of JSON with the address when the listener is open.
	Ready io.Writer
	// Close stops the handler's background work and makes waiting calls return. It may be nil.
	Close func()
}

type readyMessage struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
}

// Serve serves HTTP until the context ends, then shuts down within stopTimeout. It returns an error if
// it cannot listen, write to Ready or serve.
func Serve(ctx context.Context, cfg ServeConfig) error {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           cfg.Handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	ready := readyMessage{Ready: true, Address: listener.Addr().String()}
	if err := json.NewEncoder(cfg.Ready).Encode(ready); err != nil {
		return errors.Join(err, listener.Close())
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(newLimitedListener(listener, maxConnections)) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	return shutDown(server, cfg.Close)
}

func shutDown(server *http.Server, closeHandler func()) error {
	if closeHandler != nil {
		closeHandler()
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}

// limitedListener limits the number of open connections and closes excess ones immediately.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

func newLimitedListener(l net.Listener, n int) *limitedListener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, n)}
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			_ = conn.Close() // The connection has not been used.
		}
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and releases its slot in the listener.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
