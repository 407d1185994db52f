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
	address string
	resp    *http.Response
	// end ends the exchange. complete states whether the whole body has been read.
	end func(complete bool)
	// awaitSent waits until the request has been written and returns the error of that; nil if it is known to be sent.
	awaitSent func() error
	dialed    bool
	once      sync.Once
	complete  bool
}

// NewResponse returns a response that was received in another way than by a Client. Closing it closes the body, whose
// Read must return io.EOF only at the end of a complete body. ContentLength is below 0 if the endpoint's body ended with
// its connection.
func NewResponse(address string, resp *http.Response) *Response {
	return &Response{address: address, resp: resp, end: func(bool) { _ = resp.Body.Close() }}
}

func newResponse(cn *conn, resp *http.Response, stop func() bool) *Response {
	end := func(complete bool) {
		active := stop()
		if !complete || !active {
			cn.abort()
			return
		}
		cn.release(resp, time.Now())
	}
	return &Response{address: cn.address, resp: resp, end: end, awaitSent: cn.awaitSent, dialed: cn.firstRead == nil}
}

// Dialed reports whether the connection was opened for this exchange.
func (r *Response) Dialed() bool { return r.dialed }

// Address returns the endpoint's address.
func (r *Response) Address() string { return r.address }

// Status returns the status code.
func (r *Response) Status() int { return r.resp.StatusCode }

// Header returns the header.
func (r *Response) Header() http.Header { return r.resp.Header }

// UntilClose reports whether the body has neither a length nor chunks, so that it ends where its connection is closed.
func (r *Response) UntilClose() bool {
	return r.resp.ContentLength < 0 && len(r.resp.TransferEncoding) == 0
}

// Read implements io.Reader for the body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if r.UntilClose() && r.awaitSent != nil {
		// The error of a reset is reported once. If the write got it, the read finds an end that looks regular.
		if err := r.awaitSent(); err != nil {
			return n, err
		}
	}
	r.complete = true
	return n, err
}

// Close ends the exchange. If the body has been read to its end, the connection is kept for the next exchange.
// Otherwise it is closed, so that the endpoint can detect that the response is no longer needed.
func (r *Response) Close() {
	r.once.Do(func() { r.end(r.complete) })
}

// ReadAll is like ReadBody, but returns the body in one piece and holds nothing of the budget afterwards.
func (r *Response) ReadAll(b *Budget, limit int64) ([]byte, error) {
	hold := b.Hold(r.address)
	defer hold.Release()
	body, err := r.ReadBody(hold, limit)
	return body.Bytes(), err
}

// ReadChecked is like ReadAll, but gives the connection up if check returns an error, which it returns. The response then belongs
// to another exchange, and its own may still come.
func (r *Response) ReadChecked(b *Budget, limit int64, check func(body []byte) error) ([]byte, error) {
	defer r.Close()
	hold := b.Hold(r.address)
	defer hold.Release()
	body, err := r.readBody(hold, limit)
	if err != nil {
		return nil, &ExchangeError{Address: r.address, Err: err}
	}
	data := body.Bytes()
	if err := check(data); err != nil {
		r.complete = false
		return nil, err
	}
	return data, nil
}

// ReadBody reads the rest of the body, which the hold counts, and ends the exchange. It returns an *ExchangeError if the body
// breaks off, is longer than limit bytes, or doesn't fit into the hold's budget; the hold is then empty.
func (r *Response) ReadBody(hold *Hold, limit int64) (Body, error) {
	defer r.Close()
	body, err := r.readBody(hold, limit)
	if err != nil {
		hold.Release()
		return nil, &ExchangeError{Address: r.address, Err: err}
	}
	return body, nil
}

func (r *Response) readBody(hold *Hold, limit int64) (Body, error) {
	if r.resp.ContentLength > limit && r.resp.Body != http.NoBody {
		return nil, &SizeError{Limit: limit}
	}
	buffer := NewBodyBuffer(r.resp.ContentLength, hold.Grow)
	n, err := buffer.ReadFrom(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, &SizeError{Limit: limit}
	}
	return buffer.Body(), nil
}

// SizeError reports a response body of more than Limit bytes.
type SizeError struct{ Limit int64 }

func (e *SizeError) Error() string { return "response body exceeds its size limit" }
