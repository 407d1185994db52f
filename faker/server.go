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

type readyLine struct {
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
	ready := readyLine{Ready: true, Address: listener.Addr().String()}
	if err := json.NewEncoder(cfg.Ready).Encode(ready); err != nil {
		return errors.Join(err, listener.Close())
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(newBoundedListener(listener, maxConnections)) }()
	select {
	case err := <-served:
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
type boundedListener struct {
	net.Listener
	places chan struct{}
}

func newBoundedListener(l net.Listener, n int) *boundedListener {
	return &boundedListener{Listener: l, places: make(chan struct{}, n)}
}

// Accept returns the next connection that has a place.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.places <- struct{}{}:
			return &placedConn{Conn: conn, free: sync.OnceFunc(func() { <-l.places })}, nil
		default:
			_ = conn.Close() // It was never used.
		}
	}
}

type placedConn struct {
	net.Conn
	free func()
}

// Close frees the connection's place.
func (c *placedConn) Close() error {
	c.free()
	return c.Conn.Close()
}
