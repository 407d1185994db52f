// Package crowder plays crowds of clients that don't behave against a process, and watches what the process holds meanwhile.
package crowder

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxReturns is how often a client comes back after its connection was closed.
	maxReturns = 2
	// returnDelay is the time after which it comes back.
	returnDelay = 50 * time.Millisecond
	// writeTimeout ends the sending of a client whose connection isn't read any more. The connection stays open.
	writeTimeout = 5 * time.Second
)

// Script is what a client sends on a new connection. An error of the connection ends it.
type Script func(conn net.Conn) error

// Config configures a crowd.
type Config struct {
	// Address is the listener's IP and port.
	Address string
	Clients int
	Script  Script
	// Sources are the clients' own loopback addresses, which they use in turn; without any, the kernel chooses.
	Sources []string
	// ReceiveBuffer is the size of the kernel's receive buffer of each connection in bytes; 0 keeps the default.
	ReceiveBuffer int
}

// Crowd is a number of clients that send what their script says, read nothing, and keep their connections open.
type Crowd struct {
	cfg    Config
	closed chan struct{}
	// sent is done when each client has sent all that it could, clients when each has closed its connection.
	sent, clients sync.WaitGroup
}

// Start starts a crowd. Close ends it.
func Start(cfg Config) *Crowd {
	c := &Crowd{cfg: cfg, closed: make(chan struct{})}
	for i := range cfg.Clients {
		var dialer net.Dialer
		if n := len(cfg.Sources); n > 0 {
			dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(cfg.Sources[i%n])}
		}
		c.sent.Add(1)
		c.clients.Go(func() { c.run(&dialer) })
	}
	return c
}

// AwaitSent waits until each client has sent all that it could.
func (c *Crowd) AwaitSent() { c.sent.Wait() }

// Close closes all connections and waits for the clients.
func (c *Crowd) Close() {
	close(c.closed)
	c.clients.Wait()
}

// run plays one client.
func (c *Crowd) run(dialer *net.Dialer) {
	var once sync.Once
	sent := func() { once.Do(c.sent.Done) }
	defer sent()
	for range maxReturns + 1 {
		if !c.connect(dialer, sent) {
			return
		}
	}
}

// connect plays the script on a new connection. It reports whether the client comes back, since the process has closed the
// connection.
func (c *Crowd) connect(dialer *net.Dialer, sent func()) bool {
	conn, err := dialer.Dial("tcp", c.cfg.Address)
	if err != nil {
		return c.sleep(returnDelay)
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok && c.cfg.ReceiveBuffer > 0 {
		// A failure leaves the default size, with which the crowd holds less.
		_ = tcp.SetReadBuffer(c.cfg.ReceiveBuffer)
	}
	// A failure shows at the first write.
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err = c.cfg.Script(conn)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return c.sleep(returnDelay)
	}
	sent()
	<-c.closed
	return false
}

// sleep waits for d. It returns false if the crowd ends before that.
func (c *Crowd) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.closed:
		return false
	}
}
