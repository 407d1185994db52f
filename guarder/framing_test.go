package guarder

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func serveFraming(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		ConnContext: FramingContext,
		ConnState:   FramingState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if HasAmbiguousLength(r.Context()) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusBadRequest)
			}
		}),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(FramingListener(l))
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return l.Addr().String()
}

// A caller sends a chunked request that also has a Content-Length, followed by another request that counts as body by
// that length. The first request must be refused, and nothing after it parsed as a request.
func TestRequestWithBothLengthsIsRefused(t *testing.T) {
	for _, tc := range []struct{ name, before string }{
		{"first request", ""},
		{"after a valid request", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", serveFraming(t))
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			br := bufio.NewReader(conn)
			if tc.before != "" {
				_, err = conn.Write([]byte(tc.before))
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, readStatus(t, br))
			}
			hidden := "0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
			_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\ncontent-length: 44\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden))
			require.NoError(t, err)
			require.Equal(t, http.StatusBadRequest, readStatus(t, br))
			_, err = br.ReadByte()
			require.Error(t, err, "connection still open")
		})
	}
}

func readStatus(t *testing.T, br *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}
