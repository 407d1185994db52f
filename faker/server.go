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

// Bounds that keep a mistake in a test harmless.
const (
	maxConnections    = 16_384
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	stopTimeout       = 2 * time.Second
)

// ServeConfig says where a stand-in listens and what it serves.
type ServeConfig struct {
	// Listen is host:port; port 0 takes a free one.
	Listen  string
	Handler http.Handler
	// Ready gets one line of JSON when the listener is open.
	Ready io.Writer
	// Close ends what runs apart from connections, and makes waiting calls return.
	Close func()
}

type readyMessage struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
}

// Serve serves until the context's end, then stops within a short time.
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

// boundedListener closes connections over its bound at once.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

func newLimitedListener(l net.Listener, n int) *limitedListener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, n)}
}

// Accept returns the next connection that has a place.
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
			_ = conn.Close() // It was never used.
		}
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close frees the connection's place.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
