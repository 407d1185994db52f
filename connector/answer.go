package connector

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Response is an endpoint's answer. Its body is read by Read, which ends with io.EOF only if the body is whole.
type Response struct {
	client *Client
	conn   *conn
	resp   *http.Response
	stop   func() bool
	once   sync.Once
	whole  bool
}

func newResponse(c *Client, cn *conn, resp *http.Response, stop func() bool) *Response {
	return &Response{client: c, conn: cn, resp: resp, stop: stop}
}

// Status is the answer's status code.
func (a *Response) Status() int { return a.resp.StatusCode }

// Header is the answer's header.
func (a *Response) Header() http.Header { return a.resp.Header }

// Read reads the body.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Close ends the exchange. After a whole body the connection is kept for the next one; before its end the connection
// is closed, which tells the endpoint that nobody waits.
func (a *Response) Close() {
	a.once.Do(func() {
		alive := a.stop()
		if !a.whole || !alive {
			a.conn.abort()
			return
		}
		a.conn.release(a.resp, time.Now())
	})
}

// ReadAll reads the rest of the body, at most limit bytes, and ends the exchange.
func (a *Response) ReadAll(limit int64) ([]byte, error) {
	defer a.Close()
	data, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err != nil {
		return nil, &ExchangeError{Address: a.conn.address, Err: err}
	}
	if int64(len(data)) > limit {
		return nil, &ExchangeError{Address: a.conn.address, Err: &SizeError{Limit: limit}}
	}
	return data, nil
}

// SizeError tells of a body over the limit.
type SizeError struct{ Limit int64 }

func (e *SizeError) Error() string { return "answer is longer than its limit" }
