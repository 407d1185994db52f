// Package connector exchanges requests and answers with endpoints over HTTP/1.1 connections that are kept between
// exchanges. Unlike net/http's client it never sends a request twice on its own, tells whether anything was sent when
// an exchange fails, and takes no bytes that belong to another exchange.
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
	// DefaultDialTimeout is a hundred times the way between availability zones and back. Nothing has been sent
	// when it ends, so another endpoint can be tried inside the objective of a short call.
	DefaultDialTimeout = 250 * time.Millisecond
	// DefaultAckTimeout ends a connection whose sent bytes are not acknowledged. It allows for two resends over a link
	// that loses packets.
	DefaultAckTimeout = 1500 * time.Millisecond
	// DefaultIdle is how long an idle connection is used again where the endpoint names no time. Endpoints close
	// idle connections after seconds; a request that meets the close may have run or not.
	DefaultIdle = 2 * time.Second
	// idleMargin is subtracted from the time that an endpoint names: its close is on the way before that.
	idleMargin = 300 * time.Millisecond
	// DefaultMaxIdle bounds the idle connections to one endpoint.
	DefaultMaxIdle = 8
	// bufferSize of a connection's reader.
	bufferSize = 4 << 10
	// asideBytes is the body size from which the body is written beside the reading of the answer: an endpoint may
	// answer before it has read a long body, and both would wait for each other.
	asideBytes = 4 << 10
)

// Config sets a Client up. Zero fields take the defaults above.
type Config struct {
	DialTimeout time.Duration
	AckTimeout  time.Duration
	Idle        time.Duration
	MaxIdle     int
}

// Call is one request to an endpoint.
type Call struct {
	Address string
	Method  string
	// Target is the request's target as the caller sent it, path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader names a header that the endpoint sends back as it came. An answer with another value belongs to
	// another exchange and is passed over.
	EchoHeader string
}

// UnsentError tells that an exchange failed before anything was sent: the request has not run.
type UnsentError struct {
	Address string
	Err     error
}

func (e *UnsentError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

// Unwrap gives the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// Refused tells that the address refused the connection: no process listens there. A connection that does not come to
// stand may as well be this VM's own loss of its network.
func (e *UnsentError) Refused() bool { return errors.Is(e.Err, syscall.ECONNREFUSED) }

// ExchangeError tells that an exchange failed after something was sent: the request may have run.
type ExchangeError struct {
	Address string
	Err     error
}

func (e *ExchangeError) Error() string { return fmt.Sprintf("exchange with %s: %v", e.Address, e.Err) }

// Unwrap gives the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// Client keeps the connections to endpoints. It is safe for concurrent use.
type Client struct {
	cfg    Config
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// New makes a client without connections.
func New(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.AckTimeout == 0 {
		cfg.AckTimeout = DefaultAckTimeout
	}
	if cfg.Idle == 0 {
		cfg.Idle = DefaultIdle
	}
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = DefaultMaxIdle
	}
	return &Client{
		cfg:    cfg,
		dialer: dialer.New(cfg.DialTimeout, cfg.AckTimeout),
		idle:   make(map[string][]*conn),
	}
}

// Do makes one exchange up to the answer's header. The context ends the whole exchange, the reading of the answer's
// body too, by closing the connection, which also ends the endpoint's work on it. The answer must be closed.
// Errors are *UnsentError or *ExchangeError.
func (c *Client) Do(ctx context.Context, call *Call) (*Response, error) {
	cn, err := c.take(ctx, call.Address)
	if err != nil {
		return nil, &UnsentError{Address: call.Address, Err: err}
	}
	stop := context.AfterFunc(ctx, cn.abort)
	cn.send(call)
	resp, err := cn.receive(call) //nolint:bodyclose // the Response reads it to its end or closes its connection
	if err != nil {
		stop()
		cn.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &ExchangeError{Address: call.Address, Err: err}
	}
	return newResponse(c, cn, resp, stop), nil
}

// take gives an idle connection or a new one.
func (c *Client) take(ctx context.Context, address string) (*conn, error) {
	if cn := c.takeIdle(address, time.Now()); cn != nil {
		return cn, nil
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	cn := &conn{client: c, address: address, nc: nc, br: bufio.NewReaderSize(nc, bufferSize)}
	return cn, nil
}

func (c *Client) takeIdle(address string, now time.Time) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for len(list) > 0 {
		cn := list[len(list)-1]
		list = list[:len(list)-1]
		c.setIdle(address, list)
		cn.idle = false
		if now.Before(cn.usableUntil) {
			return cn
		}
		cn.abort()
	}
	return nil
}

func (c *Client) setIdle(address string, list []*conn) {
	if len(list) == 0 {
		delete(c.idle, address)
		return
	}
	c.idle[address] = list
}

// keep puts a connection back whose exchange is over.
func (c *Client) keep(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[cn.address]
	if len(list) >= c.cfg.MaxIdle {
		cn.abort()
		return
	}
	cn.idle = true
	cn.first = make(chan error, 1)
	c.idle[cn.address] = append(list, cn)
	go cn.watch()
}

// drop takes a connection out of the idle ones, and tells whether it was among them.
func (c *Client) drop(cn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !cn.idle {
		return false
	}
	cn.idle = false
	list := c.idle[cn.address]
	for i, other := range list {
		if other == cn {
			c.setIdle(cn.address, append(list[:i:i], list[i+1:]...))
			break
		}
	}
	return true
}

// CloseExpired closes the idle connections that are past their time.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	var old []*conn
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.usableUntil) {
				kept = append(kept, cn)
				continue
			}
			cn.idle = false
			old = append(old, cn)
		}
		c.setIdle(address, kept)
	}
	c.mu.Unlock()
	for _, cn := range old {
		cn.abort()
	}
}
