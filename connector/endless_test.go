package connector

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/faker"
)

// Guards against an endpoint that sends bytes without end until the client runs out of memory, or is held until its
// deadline.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const (
		limit = 1 << 20
		ok    = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	)
	for _, tc := range []struct {
		name, beginning, repeated string
		// most is the most bytes that the client may read beyond the beginning.
		most int64
	}{
		{"no answer at all", "", "x", maxHeadBytes},
		{"status line", "HTTP/1.1 200 ", "x", maxHeadBytes},
		{"one header field", ok + "X-Long: ", "x", maxHeadBytes},
		{"many header fields", ok, "X-More: 1\r\n", maxHeadBytes},
		{"continued header field", ok + "X-Long: 1\r\n", " x\r\n", maxHeadBytes},
		{"informational answers", "", "HTTP/1.1 102 Processing\r\n\r\n", maxHeadBytes},
		{"answers to other requests", "", "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 0\r\n\r\n", maxHeadBytes},
		{"body of an answer to another request", "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 99999999999\r\n\r\n", "x", maxSkippedBytes},
		{"chunks of an answer to another request", "HTTP/1.1 200 OK\r\nX-Id: 9\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", maxSkippedBytes},
		{"body with its connection", ok + "\r\n", "x", limit},
		{"body of a declared length", ok + "Content-Length: 99999999999\r\n\r\n", "x", 0},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n", 2 * limit},
		{"size line of a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n", "0", limit},
		{"extension of a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x", limit},
		{"small chunks with long extensions", ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 500) + "\r\nx\r\n", limit},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", "x", limit},
		{"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n", limit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := &faker.Endless{Beginning: tc.beginning, Repeated: tc.repeated}
			c := New(Config{Dial: p.Dial})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			resp, err := c.Do(ctx, &Call{
				Address: "peer", Method: http.MethodPost, Target: "/", Host: "h", EchoHeader: "X-Id", Header: http.Header{"X-Id": {"1"}},
			})
			if err == nil {
				_, err = resp.ReadAll(NewBudget(0), limit)
			}
			var exchange *ExchangeError
			require.ErrorAs(t, err, &exchange)
			require.NoError(t, ctx.Err(), "the exchange ends before its deadline")
			require.LessOrEqual(t, p.Sent(), tc.most+2*readBufferSize)
		})
	}
}

// Guards against bounds of heads that break off long sound streams, or one whose head follows a late answer to another
// request.
func TestLongStreamsAreNotBounded(t *testing.T) {
	const length = 4 * maxSkippedBytes
	p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 65536\r\n\r\n"+strings.Repeat("o", 65536))
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n")
		_, _ = io.Copy(c, io.LimitReader(repeatedByte('e'), length))
	})
	resp, err := newClient(t).Do(t.Context(), &Call{
		Address: p.address, Method: http.MethodGet, Target: "/", Host: "h", EchoHeader: "X-Id", Header: http.Header{"X-Id": {"1"}},
	})
	require.NoError(t, err)
	defer resp.Close()
	n, err := io.Copy(io.Discard, resp)
	require.NoError(t, err)
	require.Equal(t, int64(length), n)
}

// repeatedByte is a reader that returns its byte without end.
type repeatedByte byte

func (b repeatedByte) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(b)
	}
	return len(p), nil
}

// Guards against a limit error that is hidden by the parser's own errors.
func TestHeadSizeIsReported(t *testing.T) {
	p := &faker.Endless{Beginning: "HTTP/1.1 200 OK\r\nX-Long: ", Repeated: "x"}
	_, err := New(Config{Dial: p.Dial}).Do(t.Context(), &Call{Address: "peer", Method: http.MethodGet, Target: "/", Host: "h"})
	var size *HeadSizeError
	require.ErrorAs(t, err, &size)
	require.Equal(t, int64(maxHeadBytes), size.Limit)
}

// Guards against a response without a body that is refused because of the length that it declares.
func TestADeclaredLengthWithoutABodyIsNoBody(t *testing.T) {
	p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n")
		}
	})
	resp, err := newClient(t).Do(t.Context(), &Call{Address: p.address, Method: http.MethodHead, Target: "/", Host: "h"})
	require.NoError(t, err)
	body, err := resp.ReadAll(NewBudget(0), 1)
	require.NoError(t, err)
	require.Empty(t, body)
}
