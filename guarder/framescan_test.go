package guarder

import (
	"bufio"
	"bytes"

	"io"
	"log"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	soundGet  = "GET /sound HTTP/1.1\r\nHost: a\r\n\r\n"
	hiddenGet = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
)

// smugglingHeads are heads, but for their first lines, that two parsers may read differently.
var smugglingHeads = map[string]string{
	"both lengths":              "Content-Length: 44\r\nTransfer-Encoding: chunked\r\n\r\n",
	"both lengths reversed":     "Transfer-Encoding: chunked\r\nContent-Length: 44\r\n\r\n",
	"bare line feeds":           "Content-Length: 44\nTransfer-Encoding: chunked\n\n",
	"two different lengths":     "Content-Length: 0\r\nContent-Length: 44\r\n\r\n",
	"list of lengths":           "Content-Length: 0, 44\r\n\r\n",
	"length with a sign":        "Content-Length: +44\r\n\r\n",
	"length with a blank":       "Content-Length: 4 4\r\n\r\n",
	"blank before the colon":    "Content-Length: 44\r\nTransfer-Encoding : chunked\r\n\r\n",
	"folded encoding":           "Content-Length: 44\r\nTransfer-Encoding:\r\n chunked\r\n\r\n",
	"folded length":             "Transfer-Encoding: chunked\r\nContent-Length:\r\n\t44\r\n\r\n",
	"folded length continued":   "Content-Length: 4\r\n 4\r\n\r\n",
	"unknown encoding":          "Content-Length: 44\r\nTransfer-Encoding: xchunked\r\n\r\n",
	"two encodings":             "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
	"chunk size out of range":   "Transfer-Encoding: chunked\r\n\r\n10000000000000000\r\n",
	"chunk size with a sign":    "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
	"chunk size without digits": "Transfer-Encoding: chunked\r\n\r\n;x\r\n",
	"chunk without its end":     "Transfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n",
}

// soundRequests are requests that may come before.
var soundRequests = map[string]string{
	"nothing":         "",
	"no body":         soundGet,
	"body":            "POST /sound HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n\r\n\r\nx",
	"chunks":          "POST /sound HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n",
	"trailers":        "POST /sound HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-A: b\r\nX-B: c\r\n\r\n",
	"refused body":    "POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nsome body",
	"repeated length": "POST /sound HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
}

// Guards against a request with an ambiguous length that is served because of the requests before it, or of how it is split.
func TestAmbiguousRequestsAreRefusedWhereverTheyStand(t *testing.T) {
	for before, sound := range soundRequests {
		for name, head := range smugglingHeads {
			t.Run(name+" after "+before, func(t *testing.T) {
				text := sound + "POST /ambiguous HTTP/1.1\r\nHost: a\r\n" + head + "0\r\n\r\n" + hiddenGet
				for split := range len(text) {
					paths := servePieces(t, text[:split], text[split:])
					want := []string(nil)
					if sound != "" {
						want = []string{strings.Fields(sound)[1]}
					}
					require.Equal(t, want, paths, "split at %d", split)
				}
			})
		}
	}
}

// Guards against a scan that takes sound requests for ambiguous ones.
func TestSoundRequestsAreServedHoweverTheyAreSplit(t *testing.T) {
	var text strings.Builder
	want := []string(nil)
	for range 2 {
		for _, name := range []string{"no body", "body", "chunks", "trailers", "refused body", "repeated length"} {
			text.WriteString(soundRequests[name])
			want = append(want, strings.Fields(soundRequests[name])[1])
		}
	}
	for split := range text.Len() {
		require.Equal(t, want, servePieces(t, text.String()[:split], text.String()[split:]), "split at %d", split)
	}
	require.Equal(t, want, servePieces(t, strings.Split(text.String(), "")...), "single bytes")
}

// servePieces serves a connection on which pieces arrive, and returns the paths of the requests that weren't refused.
func servePieces(t *testing.T, pieces ...string) []string {
	t.Helper()
	var paths []string
	conn := &piecesConn{pieces: pieces, closed: make(chan struct{})}
	server := &http.Server{
		ConnContext: FramingContext,
		ConnState:   FramingState,
		ErrorLog:    log.New(io.Discard, "", 0),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if HasAmbiguousLength(r.Context()) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			if r.URL.Path != "/refused" {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
			}
			paths = append(paths, r.URL.Path)
		}),
	}
	l := &onceListener{conns: make(chan net.Conn, 1), closed: conn.closed}
	l.conns <- conn
	_ = server.Serve(FramingListener(l))
	return paths
}

// onceListener accepts one connection and ends once it is closed.
type onceListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *onceListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *onceListener) Close() error   { return nil }
func (l *onceListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzFrameScanner compares the scanner with net/http's parser.
func FuzzFrameScanner(f *testing.F) {
	for _, sound := range soundRequests {
		for _, head := range smugglingHeads {
			f.Add([]byte(sound+"POST / HTTP/1.1\r\nHost: a\r\n"+head+"0\r\n\r\n"+hiddenGet), uint16(7), uint16(40))
		}
	}
	f.Add([]byte("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"+hiddenGet), uint16(1), uint16(2))
	f.Add([]byte(soundGet+"\r\n"+soundGet), uint16(1), uint16(2))
	f.Fuzz(func(t *testing.T, data []byte, first, second uint16) {
		whole, split := new(frameScanner), new(frameScanner)
		whole.scan(data)
		rest := data
		for n := range 2 {
			cut := min(int([]uint16{first, second}[n]), len(rest))
			split.scan(rest[:cut])
			rest = rest[cut:]
		}
		for _, b := range rest {
			split.scan([]byte{b})
		}
		require.Equal(t, whole.heads, split.heads, "the splits matter")
		require.Equal(t, whole.state, split.state, "the splits matter")
		require.LessOrEqual(t, cap(split.line), 4*maxFieldBytes)

		r := bytes.NewReader(data)
		br := bufio.NewReader(r)
		for n := 0; ; n++ {
			start := len(data) - r.Len() - br.Buffered()
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			head := data[start : len(data)-r.Len()-br.Buffered()]
			if isAmbiguous(head) {
				require.LessOrEqual(t, whole.heads, n, "an ambiguous head passes")
				return
			}
			if !isPlain(head) {
				return
			}
			require.Greater(t, whole.heads, n, "a plain head is refused")
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
	})
}

var (
	lengthField   = regexp.MustCompile(`(?i)\n(content-length|transfer-encoding)[ \t]*:`)
	lengthValue   = regexp.MustCompile(`(?i)\n(content-length: ?[0-9]{1,10}|transfer-encoding: ?chunked)\r?\n`)
	encodingField = regexp.MustCompile(`(?i)\ntransfer-encoding`)
	bothFields    = regexp.MustCompile(`(?is)\n(content-length[ \t]*:.*\ntransfer-encoding|transfer-encoding[ \t]*:.*\ncontent-length)[ \t]*:`)
	foldedLine    = regexp.MustCompile(`\n[ \t]`)
)

// isAmbiguous reports whether a head has both lengths, or an encoding that its version doesn't know.
func isAmbiguous(head []byte) bool {
	line, _, _ := bytes.Cut(head, []byte("\n"))
	return bothFields.Match(head) || bytes.HasSuffix(bytes.TrimSpace(line), []byte("HTTP/1.0")) && encodingField.Match(head)
}

// isPlain reports whether nothing about a head is unusual.
func isPlain(head []byte) bool {
	fields := len(lengthField.FindAll(head, -1))
	return fields == 0 && !foldedLine.Match(head) || fields == 1 && lengthValue.Match(head) && !foldedLine.Match(head)
}

// BenchmarkSmallRequests serves small requests on one connection, each after the response to the one before.
func BenchmarkSmallRequests(b *testing.B) {
	server := &http.Server{
		ConnContext: FramingContext,
		ConnState:   FramingState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if HasAmbiguousLength(r.Context()) {
				w.WriteHeader(http.StatusBadRequest)
			}
			_, _ = io.Copy(io.Discard, r.Body)
		}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(FramingListener(l)) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(b, err)
	request := []byte("POST /v1/answers HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer key-of-the-account\r\n" +
		"X-Attempt-Id: 0123456789abcdef\r\nContent-Type: application/json\r\nContent-Length: 64\r\n\r\n" + strings.Repeat("b", 64))
	br := bufio.NewReader(conn)
	for b.Loop() {
		_, err := conn.Write(request)
		require.NoError(b, err)
		resp, err := http.ReadResponse(br, nil)
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, resp.StatusCode)
		require.NoError(b, resp.Body.Close())
	}
	require.NoError(b, conn.Close())
	require.NoError(b, server.Close())
	require.ErrorIs(b, <-served, http.ErrServerClosed)
}

// piecesConn is a connection on which each read returns one piece. What is written is dropped.
type piecesConn struct {
	net.Conn
	pieces []string
	once   sync.Once
	closed chan struct{}
}

func (c *piecesConn) Read(p []byte) (int, error) {
	for len(c.pieces) > 0 && c.pieces[0] == "" {
		c.pieces = c.pieces[1:]
	}
	if len(c.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.pieces[0])
	c.pieces[0] = c.pieces[0][n:]
	return n, nil
}

func (c *piecesConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *piecesConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (c *piecesConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *piecesConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *piecesConn) SetDeadline(time.Time) error      { return nil }
func (c *piecesConn) SetReadDeadline(time.Time) error  { return nil }
func (c *piecesConn) SetWriteDeadline(time.Time) error { return nil }
