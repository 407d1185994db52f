package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

func itoa(n int) string { return strconv.Itoa(n) }

var lastID atomic.Int64

// newID returns the id of a new client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// attempt is one client attempt, on a channel of its own.
type attempt struct {
	id     string
	method string
	path   string
	header map[string]string
	body   string
	// leave ends the attempt after so many events, if it is above 0.
	leave int
}

// result is what the client saw.
type result struct {
	status     int
	retryAfter time.Duration
	body       string
	// events is the number of the last event, firstEvent that of the first one.
	events, firstEvent int
	whole              bool
	err                error
}

// send makes the attempt at an entry and reads the answer.
func (a *attempt) send(ctx context.Context, address string, deadline time.Duration) result {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(conn, a.encode(deadline)); err != nil {
		return result{err: err}
	}
	return a.read(bufio.NewReader(conn))
}

func (a *attempt) encode(deadline time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nGeraniumline-Attempt-Id: %s\r\nAuthorization: Bearer %s\r\nGeraniumline-Deadline-Ms: %d\r\n",
		a.method, a.path, host, a.id, key, deadline.Milliseconds())
	for name, value := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if a.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n")
	b.WriteString(a.body)
	return b.String()
}

func (a *attempt) read(br *bufio.Reader) result {
	resp, err := http.ReadResponse(br, &http.Request{Method: a.method})
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	res := result{status: resp.StatusCode}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		res.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		body, err := io.ReadAll(resp.Body)
		res.body, res.err, res.whole = string(body), err, err == nil
		return res
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		id, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		n, err := strconv.Atoi(id)
		if err != nil {
			res.err = err
			return res
		}
		if res.firstEvent == 0 {
			res.firstEvent = n
		}
		res.events = n
		if a.leave > 0 && n >= a.leave {
			return res
		}
	}
	res.err = lines.Err()
	res.whole = res.err == nil
	return res
}
