// Package connector sends requests to endpoints over persistent HTTP/1.1 connections. Unlike net/http's client, it never
// retries a request on its own, reports whether anything was sent when an exchange fails, and never accepts bytes that
// belong to another exchange.
package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"geraniumline/dialer"
)

const (
	// DefaultDialTimeout is a hundred times the round trip between availability zones. Nothing has been sent when it
	// expires, so another endpoint can be tried within the objective of a short call.
	DefaultDialTimeout = 250 * time.Millisecond
	// DefaultAckTimeout closes a connection whose sent bytes or keep-alive probes are not acknowledged. An endpoint that
	// pauses for a second keeps its connections, and what it works on is not lost.
	DefaultAckTimeout = dialer.MinSilence
	// DefaultIdleTimeout is how long an idle connection may be reused if the endpoint sends no Keep-Alive timeout.
	// Endpoints close idle connections after seconds, and a request sent during the close may or may not have run.
	DefaultIdleTimeout = 2 * time.Second
	// idleMargin is subtracted from the Keep-Alive timeout of an endpoint, whose close may already be in transit.
	idleMargin = 300 * time.Millisecond
	// DefaultMaxIdle limits the idle connections to one endpoint.
	DefaultMaxIdle = 8
	// surplusTime is how long connections to an endpoint are not kept after it has sent bytes that belong to no exchange. What
	// else it sends late can then not arrive on a connection of another exchange.
	surplusTime = 10 * time.Second
	// readBufferSize is the buffer size of a connection's reader, in bytes.
	readBufferSize = 4 << 10
	// concurrentWriteBytes is the minimum size of a body that is written concurrently with reading the response. An
	// endpoint may respond before it has read a long body, and both sides would then block on writing.
	concurrentWriteBytes = 4 << 10
)

// Config configures a Client. Zero fields take the defaults above.
type Config struct {
	DialTimeout time.Duration
	AckTimeout  time.Duration
	IdleTimeout time.Duration
	MaxIdle     int
	// Dial opens connections; nil dials by TCP with the timeouts above.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Call is one request to an endpoint.
type Call struct {
	Address string
	Method  string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   Body
	// EchoHeader names a request header that the endpoint echoes unchanged. A response with another value belongs to
	// another exchange and is skipped.
	EchoHeader string
	// OnSent is called once there is a connection and the request is being written to it; nil for none. It may be called again if
	// the call is sent in another way.
	OnSent func()
}

// UnsentError reports that an exchange failed before anything was sent, so the request has not run.
type UnsentError struct {
	Address string
	Err     error
}

func (e *UnsentError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// Refused reports whether the connection was refused, which means that no process listens on the address. Other failures
// to connect may as well be caused by a network outage of this VM.
func (e *UnsentError) Refused() bool { return errors.Is(e.Err, syscall.ECONNREFUSED) }

// ExchangeError reports that an exchange failed after something was sent, so the request may have run.
type ExchangeError struct {
	Address string
	Err     error
}

func (e *ExchangeError) Error() string { return fmt.Sprintf("exchange with %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// Client sends requests to endpoints and pools their connections. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu   sync.Mutex
	idle map[string][]*conn
	// surplusUntil is until when an address is one that sends more than it is asked for. Its connections are not kept.
	surplusUntil map[string]time.Time
}

// New returns a Client without connections.
func New(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.AckTimeout == 0 {
		cfg.AckTimeout = DefaultAckTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = DefaultMaxIdle
	}
	if cfg.Dial == nil {
		cfg.Dial = dialer.New(cfg.DialTimeout, cfg.AckTimeout).DialContext
	}
	return &Client{cfg: cfg, idle: make(map[string][]*conn), surplusUntil: make(map[string]time.Time)}
}

// Do sends the request and reads the response up to the end of its header. Cancelling the context ends the whole
// exchange, including reading the body, by closing the connection, which also ends the endpoint's work on the request.
// The caller must close the Response. Errors are *UnsentError or *ExchangeError.
func (c *Client) Do(ctx context.Context, call *Call) (*Response, error) {
	cn, err := c.acquire(ctx, call.Address)
	if err != nil {
		return nil, &UnsentError{Address: call.Address, Err: err}
	}
	stop := context.AfterFunc(ctx, cn.abort)
	cn.send(call)
	if call.OnSent != nil {
		call.OnSent()
	}
	resp, err := cn.receive(call) //nolint:bodyclose // the Response reads it to its end or closes the connection
	if err != nil {
		stop()
		cn.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &ExchangeError{Address: call.Address, Err: err}
	}
	return newResponse(cn, resp, stop), nil
}

// Probe opens a connection to an endpoint and keeps it for the next exchange.
func (c *Client) Probe(ctx context.Context, address string) error {
	cn, err := c.dial(ctx, address)
	if err != nil {
		return &UnsentError{Address: address, Err: err}
	}
	cn.usableUntil = time.Now().Add(c.cfg.IdleTimeout)
	c.addIdle(cn)
	return nil
}

// acquire returns an idle connection or opens a new one.
func (c *Client) acquire(ctx context.Context, address string) (*conn, error) {
	for {
		now := time.Now()
		cn := c.takeIdle(address, now)
		if cn == nil {
			return c.dial(ctx, address)
		}
		if !cn.spoiled() {
			return cn, nil
		}
		cn.abort()
	}
}

// recordSurplus records that an endpoint sent bytes that belong to no exchange.
func (c *Client) recordSurplus(address string, now time.Time) {
	c.mu.Lock()
	conns := c.idle[address]
	delete(c.idle, address)
	for _, cn := range conns {
		cn.idle = false
	}
	c.surplusUntil[address] = now.Add(surplusTime)
	c.mu.Unlock()
	for _, cn := range conns {
		cn.abort()
	}
}

func (c *Client) sendsSurplus(address string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.surplusUntil[address])
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	netConn, err := c.cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	dialer.SetReceiveBuffer(netConn, dialer.ReceiveBuffer)
	limited := &limitedReader{r: netConn}
	return &conn{client: c, address: address, netConn: netConn, limited: limited, br: bufio.NewReaderSize(limited, readBufferSize)}, nil
}

func (c *Client) takeIdle(address string, now time.Time) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	for len(conns) > 0 {
		cn := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		c.setIdle(address, conns)
		cn.idle = false
		if now.Before(cn.usableUntil) {
			return cn
		}
		cn.abort()
	}
	return nil
}

func (c *Client) setIdle(address string, conns []*conn) {
	if len(conns) == 0 {
		delete(c.idle, address)
		return
	}
	c.idle[address] = conns
}

// addIdle makes a connection available for reuse, or closes it if the endpoint has MaxIdle idle connections.
func (c *Client) addIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[cn.address]
	if len(conns) >= c.cfg.MaxIdle {
		cn.abort()
		return
	}
	cn.idle = true
	cn.firstRead = make(chan error, 1)
	c.idle[cn.address] = append(conns, cn)
	go cn.watchIdle()
}

// removeIdle removes a connection from the idle ones, and reports whether it was idle.
func (c *Client) removeIdle(cn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !cn.idle {
		return false
	}
	cn.idle = false
	conns := c.idle[cn.address]
	for i, other := range conns {
		if other == cn {
			c.setIdle(cn.address, append(conns[:i:i], conns[i+1:]...))
			break
		}
	}
	return true
}

// CloseExpired closes the idle connections that have passed their idle timeout.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	var expired []*conn
	for address, conns := range c.idle {
		kept := conns[:0]
		for _, cn := range conns {
			if now.Before(cn.usableUntil) {
				kept = append(kept, cn)
				continue
			}
			cn.idle = false
			expired = append(expired, cn)
		}
		c.setIdle(address, kept)
	}
	for address, until := range c.surplusUntil {
		if !now.Before(until) {
			delete(c.surplusUntil, address)
		}
	}
	c.mu.Unlock()
	for _, cn := range expired {
		cn.abort()
	}
}
