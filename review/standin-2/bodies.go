package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	// bodyBytes is MaxBodyBytes of the configuration.
	bodyBytes = 4194304
	// bodyClients and smallClients together are the clients of the small site, 31, times 2.6, the largest burst in its days.
	bodyClients  = 68
	smallClients = 12
	bodySlots    = 6
	// bodyWork is within the site's work of up to 450 ms.
	bodyWork = 300 * time.Millisecond
	// linkBytes is what a link of 1,000 Mbit/s carries in a second, linkChunk what is sent at once.
	linkBytes = 125_000_000
	linkChunk = 64 << 10
	// bodyDeadline is the route's timeout.
	bodyDeadline = 15 * time.Second
)

// link bounds the bytes a second that pass in one direction.
type link struct {
	mu   sync.Mutex
	next time.Time
}

// pass waits until n more bytes have passed.
func (l *link) pass(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(time.Duration(n) * time.Second / linkBytes)
	until := l.next
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// bodyLedger holds the requests that reached a server, and those that the clients saw answered.
type bodyLedger struct {
	mu       sync.Mutex
	passedOn map[string]bool
	ends     map[string]int
	lost     int
}

func runBodies(w *world, trouble bool) (bool, error) {
	l := &bodyLedger{passedOn: make(map[string]bool), ends: make(map[string]int)}
	var in, out link
	for i := range 3 {
		s := newServer(w, fmt.Sprintf("i-desk-%d", i), "desk")
		slots := make(chan struct{}, bodySlots)
		s.readBody = func(r *http.Request) ([]byte, error) {
			l.mu.Lock()
			l.passedOn[r.Header.Get("Geraniumline-Attempt-Id")] = true
			l.mu.Unlock()
			buf := make([]byte, linkChunk)
			for {
				n, err := r.Body.Read(buf)
				out.pass(n)
				if err == io.EOF {
					return nil, nil
				}
				if err != nil {
					return nil, err
				}
			}
		}
		s.handle = func(c *channel, r *http.Request, _ []byte) bool {
			slots <- struct{}{}
			time.Sleep(bodyWork)
			<-slots
			_, err := c.Write(answer(r, "200 OK", "Geraniumline-Server-Stamp: stamp-"+s.id+"\r\n", []byte("done")))
			return err == nil
		}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	w.configure([]map[string]any{
		route("upload", "non_idempotent", "desk", map[string]any{"TimeoutMs": 15000, "GoalMs": 2000}),
	}, []map[string]any{{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 100}})
	if err := w.startEntries(1); err != nil {
		return false, err
	}
	time.Sleep(contactMs * time.Millisecond)
	peak, watched, stop := 0, make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		peak = watchMemory(w, w.entries[0], stop)
	}()
	var clients sync.WaitGroup
	var small sync.WaitGroup
	for range smallClients {
		small.Go(func() { l.sendSmall(w, stop) })
		// So that their requests don't all end at the same moment.
		time.Sleep(bodyWork / smallClients)
	}
	time.Sleep(time.Second)
	for range bodyClients {
		if !trouble {
			// The same requests, one after the other.
			l.sendLarge(w, &in)
			continue
		}
		clients.Go(func() { l.sendLarge(w, &in) })
	}
	clients.Wait()
	close(stop)
	small.Wait()
	<-watched
	l.mu.Lock()
	defer l.mu.Unlock()
	w.log("clients saw %v; the process held %d MB at most, %d are allowed; %d requests were passed on to a server and ended with a closed channel, 3 are allowed",
		l.ends, peak, memoryMb, l.lost)
	return peak > memoryMb && l.lost > 3, nil
}

// sendSmall sends small requests on one channel, one after the other, until it is closed or stop is.
func (l *bodyLedger) sendSmall(w *world, stop <-chan struct{}) {
	l.onChannel(w, func(conn net.Conn, br *bufio.Reader) {
		for {
			select {
			case <-stop:
				return
			default:
			}
			a := attempt{id: newID(), method: http.MethodPost, path: "/upload/a", body: "reading"}
			if _, err := io.WriteString(conn, a.encode(bodyDeadline)); err != nil {
				l.count("small", &a, result{err: err})
				return
			}
			res := a.read(br)
			l.count("small", &a, res)
			if res.err != nil {
				return
			}
		}
	})
}

// sendLarge sends a request with the largest body.
func (l *bodyLedger) sendLarge(w *world, in *link) {
	l.onChannel(w, func(conn net.Conn, br *bufio.Reader) {
		a := attempt{id: newID(), method: http.MethodPost, path: "/upload/a", body: strings.Repeat("x", bodyBytes)}
		for data := a.encode(bodyDeadline); len(data) > 0; {
			n := min(linkChunk, len(data))
			in.pass(n)
			if _, err := io.WriteString(conn, data[:n]); err != nil {
				l.count("large", &a, result{err: err})
				return
			}
			data = data[n:]
		}
		l.count("large", &a, a.read(br))
	})
}

func (l *bodyLedger) onChannel(w *world, use func(conn net.Conn, br *bufio.Reader)) {
	conn, err := net.DialTimeout("tcp", w.entries[0].address("Front"), time.Second)
	if err != nil {
		w.log("not connected: %v", err)
		return
	}
	defer func() { _ = conn.Close() }()
	use(conn, bufio.NewReader(conn))
}

// count records how a request ended.
func (l *bodyLedger) count(kind string, a *attempt, res result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if res.err == nil {
		l.ends[kind+" "+strconv.Itoa(res.status)]++
		return
	}
	l.ends[kind+" closed"]++
	if l.passedOn[a.id] {
		l.lost++
	}
}

// watchMemory returns the most memory that a process held, in MB. It kills the process over the limit, as the platform does.
func watchMemory(w *world, e *entry, stop <-chan struct{}) int {
	peak := 0
	for {
		select {
		case <-stop:
			return peak
		case <-time.After(10 * time.Millisecond):
		}
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", e.cmd.Process.Pid))
		fields := strings.Fields(string(data))
		if err != nil || len(fields) < 2 {
			continue
		}
		pages, err := strconv.Atoi(fields[1])
		if err != nil {
			continue
		}
		peak = max(peak, pages*os.Getpagesize()>>20)
		if peak > memoryMb {
			w.log("the process holds %d MB, and is killed", peak)
			e.kill()
			return peak
		}
	}
}
