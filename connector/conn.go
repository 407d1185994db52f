package connector

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxForeign bounds the answers of other exchanges that are passed over before one's own.
const maxForeign = 2

// conn is one connection to an endpoint.
type conn struct {
	client  *Client
	address string
	nc      net.Conn
	br      *bufio.Reader
	// idle is set while the connection waits for its next exchange; the client's lock guards it.
	idle        bool
	usableUntil time.Time
	// first tells when the first byte after an idle time can be read; nil on a new connection.
	first chan error
	// written tells how the writing of the request ended.
	written chan error
}

// abort closes the connection; whoever reads or writes it fails.
func (cn *conn) abort() { _ = cn.nc.Close() }

// watch reads ahead while the connection is idle. An endpoint's close, and bytes that no request has asked for, end
// it at once: the next request would be lost on it, or take an answer that is not its own.
func (cn *conn) watch() {
	_, err := cn.br.Peek(1)
	if cn.client.drop(cn) {
		cn.abort()
		return
	}
	cn.first <- err
}

// send writes the request, long bodies beside the reading of the answer.
func (cn *conn) send(call *Call) {
	cn.written = make(chan error, 1)
	data := encode(call)
	if len(call.Body) < asideBytes {
		_, err := cn.nc.Write(data)
		cn.written <- err
		return
	}
	go func() {
		_, err := cn.nc.Write(data)
		cn.written <- err
	}()
}

// encode gives the whole request, so that one write sends it.
func encode(call *Call) []byte {
	var b bytes.Buffer
	b.Grow(len(call.Body) + 1<<10)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	_ = call.Header.Write(&b) // a bytes.Buffer takes all
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(call.Body))
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}

// UnmatchedResponseError tells of answers on a connection that belong to no exchange on it.
type UnmatchedResponseError struct{}

func (*UnmatchedResponseError) Error() string {
	return "the connection carries answers of other exchanges"
}

// receive reads the header of the answer to the call. Answers of earlier exchanges that come late are passed over.
func (cn *conn) receive(call *Call) (*http.Response, error) {
	if cn.first != nil {
		if err := <-cn.first; err != nil {
			return nil, err
		}
	}
	req := &http.Request{Method: call.Method}
	for range maxForeign + 1 {
		resp, err := readResponse(cn.br, req)
		if err != nil {
			return nil, err
		}
		if call.owns(resp) {
			return resp, nil
		}
		if resp.Close {
			return nil, &UnmatchedResponseError{}
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err := errors.Join(err, resp.Body.Close()); err != nil {
			return nil, err
		}
	}
	return nil, &UnmatchedResponseError{}
}

// readResponse passes over informational answers.
func readResponse(br *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// owns tells whether the answer may be the one to the call.
func (c *Call) owns(resp *http.Response) bool {
	if c.EchoHeader == "" {
		return true
	}
	echoed := resp.Header.Get(c.EchoHeader)
	return echoed == "" || echoed == c.Header.Get(c.EchoHeader)
}

// release keeps the connection after a whole answer, if more may be sent on it.
func (cn *conn) release(resp *http.Response, now time.Time) {
	var wrote bool
	select {
	case err := <-cn.written:
		wrote = err == nil
	default:
		// The endpoint answered before it had the whole request. What is still to be written would be read as
		// the rest of this body or as the next request, so the connection can't be used again.
	}
	if !wrote || resp.Close || cn.br.Buffered() > 0 {
		cn.abort()
		return
	}
	cn.usableUntil = now.Add(cn.client.cfg.Idle)
	if named, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		cn.usableUntil = now.Add(named - idleMargin)
	}
	if !now.Before(cn.usableUntil) {
		cn.abort()
		return
	}
	cn.client.keep(cn)
}

// keepAlive reads the time for which an endpoint keeps idle connections.
func keepAlive(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(value)
		return time.Duration(n) * time.Second, err == nil
	}
	return 0, false
}
