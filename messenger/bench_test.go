package messenger

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"testing"

	"geraniumline/carrier"
)

// BenchmarkFrame encodes and verifies one heartbeat frame.
func BenchmarkFrame(b *testing.B) {
	for _, n := range []int{7, 50, 200} {
		b.Run(strconv.Itoa(n)+" members", func(b *testing.B) {
			body, _ := (&carrier.Heartbeat{Pulses: make(carrier.PulseList, n)}).MarshalMsg(nil)
			sealer, opener := newSealer([]byte(testKey)), newSealer([]byte(testKey))
			var frame []byte
			b.ReportAllocs()
			for b.Loop() {
				frame = appendFrame(frame[:0], carrier.KindHeartbeat, body, sealer)
				if _, err := (&frameReader{r: bytes.NewReader(frame), limit: defaultMaxFrame, opener: opener}).read(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(frame)-len(body)), "B/overhead")
		})
	}
}

// BenchmarkHandshake runs one handshake over loopback.
func BenchmarkHandshake(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _, _ = newHandshake(conn, []byte(testKey), "b").accept()
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
	}()
	for b.Loop() {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := newHandshake(conn, []byte(testKey), "a").dial(); err != nil {
			b.Fatal(err)
		}
		_ = conn.Close()
	}
}
