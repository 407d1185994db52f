package messenger

import (
	"encoding/binary"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
)

// relay forwards connections from a dialer to a listener and can change the dialer's frames.
type relay struct {
	ln     net.Listener
	target string
	// change returns the bytes to send instead of the dialer's frame with the given number, counted from 1.
	change func(number int, frame []byte) []byte
	// used is set by the first connection; later ones are not changed.
	used atomic.Bool
}

func startRelay(t *testing.T, target string, change func(number int, frame []byte) []byte) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{ln: ln, target: target, change: change}
	t.Cleanup(func() { _ = ln.Close() })
	go r.run()
	return ln.Addr().String()
}

func (r *relay) run() {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		go forward(in, out, func(w io.Writer, rd io.Reader) { _, _ = io.Copy(w, rd) })
		change := r.change
		if r.used.Swap(true) {
			change = func(_ int, frame []byte) []byte { return frame }
		}
		go forward(out, in, func(w io.Writer, rd io.Reader) { copyFrames(w, rd, change) })
	}
}

func forward(to, from net.Conn, f func(io.Writer, io.Reader)) {
	f(to, from)
	_ = to.Close()
	_ = from.Close()
}

func copyFrames(w io.Writer, r io.Reader, change func(int, []byte) []byte) {
	for number := 1; ; number++ {
		head := make([]byte, lengthSize)
		if _, err := io.ReadFull(r, head); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(head))
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		frame := slices.Concat(head, body)
		if _, err := w.Write(change(number, frame)); err != nil {
			return
		}
	}
}

// An attacker on the path changes the frames of an authenticated connection. The frames before the change must arrive,
// the change must end the connection, and later messages must arrive over a new one.
func TestTamperedConnectionsAreClosed(t *testing.T) {
	const target = 5 // Frames 1 and 2 are the handshake's, so frame 5 is the third message.
	var kept []byte
	scenarios := []struct {
		testName string
		change   func(number int, frame []byte) []byte
	}{
		{"changed byte", func(number int, frame []byte) []byte {
			if number == target {
				frame[lengthSize+10] ^= 1
			}
			return frame
		}},
		{"repeated frame", func(number int, frame []byte) []byte {
			if number == target {
				return append(frame, frame...)
			}
			return frame
		}},
		{"dropped frame", func(number int, frame []byte) []byte {
			if number == target {
				return nil
			}
			return frame
		}},
		{"swapped frames", func(number int, frame []byte) []byte {
			switch number {
			case target:
				kept = frame
				return nil
			case target + 1:
				return append(frame, kept...)
			default:
				return frame
			}
		}},
		{"inserted frame", func(number int, frame []byte) []byte {
			if number != target {
				return frame
			}
			forged := appendFrame(nil, carrier.KindOutcomeCall, frame[lengthSize+kindSize:len(frame)-tagSize], newSealer([]byte("guess")))
			return append(forged, frame...)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			registry := metrics.NewRegistry()
			_, address, in := startMessenger(t, Config{Name: "b", Registry: registry})
			a, _, _ := startMessenger(t, Config{Name: "a"})
			relayed := startRelay(t, address, s.change)
			next, newest := uint64(0), uint64(0)
			send := func() {
				next++
				a.Send(relayed, &carrier.OutcomeCall{CallID: next})
			}
			for range 6 {
				send()
			}
			require.Eventually(t, func() bool { return count(registry, "badFrames") == 1 }, 20*time.Second, time.Millisecond)
			first := next
			for newest <= first {
				send()
				select {
				case r := <-in:
					got := r.m.(*carrier.OutcomeCall).CallID
					require.Greater(t, got, newest, "no message arrives twice or out of order")
					newest = got
				case <-time.After(10 * time.Millisecond):
				}
			}
			require.Equal(t, int64(1), count(registry, "badFrames"))
		})
	}
}
