package relayer

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startEcho starts a server that echoes each line and sends the lines that it receives to a channel.
func startEcho(t *testing.T) (address string, received chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	received = make(chan string, 8)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					received <- lines.Text()
					_, _ = conn.Write([]byte(lines.Text() + "\n"))
				}
			}()
		}
	}()
	return l.Addr().String(), received
}

// The relay stalls both directions, holds back replies or closes connections. A connection that it keeps open must deliver
// everything after the relay opens again.
func TestModes(t *testing.T) {
	for _, s := range []struct {
		testName string
		mode     Mode
		arrives  bool
		survives bool
	}{
		{"stalled", Stalled, false, true},
		{"no replies", NoReplies, true, true},
		{"closed", Closed, false, false},
	} {
		t.Run(s.testName, func(t *testing.T) {
			target, received := startEcho(t)
			r, err := New(target)
			require.NoError(t, err)
			defer func() { require.NoError(t, r.Close()) }()
			conn, err := net.Dial("tcp", r.Address())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			replies := bufio.NewReader(conn)
			_, err = conn.Write([]byte("one\n"))
			require.NoError(t, err)
			line, err := replies.ReadString('\n')
			require.NoError(t, err)
			require.Equal(t, "one\n", line)
			require.Equal(t, "one", <-received)

			r.Set(s.mode)
			_, _ = conn.Write([]byte("two\n"))
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
			_, err = replies.ReadString('\n')
			require.Error(t, err)
			require.Equal(t, s.arrives, len(received) == 1)

			r.Set(Open)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
			line, err = replies.ReadString('\n')
			if s.survives {
				require.Equal(t, "two\n", line)
			} else {
				require.Error(t, err)
			}
		})
	}
}
