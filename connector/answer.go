package connector

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Response is an endpoint's response. Read returns its body, and io.EOF only if the body is complete.
type Response struct {
	client   *Client
	conn     *conn
	resp     *http.Response
	stop     func() bool
	once     sync.Once
	complete bool
}

func newResponse(c *Client, cn *conn, resp *http.Response, stop func() bool) *Response {
	return &Response{client: c, conn: cn, resp: resp, stop: stop}
}

// Status returns the status code.
func (r *Response) Status() int { return r.resp.StatusCode }

// Header returns the header.
func (r *Response) Header() http.Header { return r.resp.Header }

// Read implements io.Reader for the body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Close ends the exchange. If the body has been read to its end, the connection is kept for the next exchange.
// Otherwise it is closed, so that the endpoint can detect that the response is no longer needed.
func (r *Response) Close() {
	r.once.Do(func() {
		active := r.stop()
		if !r.complete || !active {
			r.conn.abort()
			return
		}
		r.conn.release(r.resp, time.Now())
	})
}

// ReadAll reads the rest of the body and ends the exchange. It returns an *ExchangeError if the body breaks off or is
// longer than limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	defer r.Close()
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, &ExchangeError{Address: r.conn.address, Err: err}
	}
	if int64(len(data)) > limit {
		return nil, &ExchangeError{Address: r.conn.address, Err: &SizeError{Limit: limit}}
	}
	return data, nil
}

// SizeError reports a response body of more than Limit bytes.
type SizeError struct{ Limit int64 }

func (e *SizeError) Error() string { return "response body exceeds its size limit" }
