package crowder

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// writeSize is the size in bytes of a client's writes.
const writeSize = 64 << 10

// Idle sends nothing.
func Idle(net.Conn) error { return nil }

// Bytes sends a text.
func Bytes(text string) Script {
	return func(conn net.Conn) error {
		_, err := io.WriteString(conn, text)
		return err
	}
}

// UnfinishedHead sends so many bytes of a request's head, which doesn't end.
func UnfinishedHead(size int) Script {
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\nHost: any\r\n")
	for i := 0; head.Len() < size; i++ {
		fmt.Fprintf(&head, "X-Filler-%d: %s\r\n", i, strings.Repeat("x", 1000))
	}
	return Bytes(head.String()[:size])
}

// Body sends a head, which announces announced bytes, and sent bytes of a body.
func Body(head string, announced, sent int64) Script {
	return func(conn net.Conn) error {
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, announced); err != nil {
			return err
		}
		return writeRepeatedly(conn, bytes.Repeat([]byte("b"), writeSize), sent)
	}
}

// ChunkedBody sends a head and sent bytes of a body in chunks of so many bytes. The body isn't ended.
func ChunkedBody(head string, chunk int, sent int64) Script {
	encoded := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("c", chunk))
	perWrite := max(1, writeSize/len(encoded))
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		whole := sent / int64(chunk)
		if err := writeRepeatedly(conn, []byte(strings.Repeat(encoded, perWrite)), whole*int64(len(encoded))); err != nil {
			return err
		}
		rest := sent % int64(chunk)
		if rest == 0 {
			return nil
		}
		_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", rest, strings.Repeat("c", int(rest)))
		return err
	}
}

// Staggered runs a script for one client after the other, so long apart.
func Staggered(interval time.Duration, script Script) Script {
	var mu sync.Mutex
	return func(conn net.Conn) error {
		mu.Lock()
		time.Sleep(interval)
		mu.Unlock()
		return script(conn)
	}
}

// writeRepeatedly writes n bytes, which repeat a block.
func writeRepeatedly(w io.Writer, block []byte, n int64) error {
	for n > 0 {
		size := min(n, int64(len(block)))
		if _, err := w.Write(block[:size]); err != nil {
			return err
		}
		n -= size
	}
	return nil
}
