package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of the case.
const (
	shedEntries = 2
	shedServers = 3
	shedSlots   = 6
	// shedQueue is how many requests more wait at a server before it turns others away.
	shedQueue = 2
	// shedWork is within the work of the site's requests, 450 ms at most.
	shedWork = 300 * time.Millisecond
	// shedBursts is the number of bursts, each of so many requests that the servers are full for a moment.
	shedBursts   = 110
	shedRequests = 32
	shedPause    = 700 * time.Millisecond
	shedDeadline = 1500 * time.Millisecond
	// extraEvery is the inverse of the share of answers that come twice, 0.03, in spans of extraFor with a pause of extraGap.
	extraEvery = 33
	extraFrom  = 3 * time.Second
	extraFor   = 5 * time.Second
	extraGap   = time.Second
)

// shedLedger counts the runs of each request.
type shedLedger struct {
	mu       sync.Mutex
	runs     map[string][]string
	refused  map[string]bool
	answers  int
	sheds    int
	extras   int
	statuses map[string]int
}

func runLateShed(w *world, trouble bool) (bool, error) {
	l := &shedLedger{runs: make(map[string][]string), refused: make(map[string]bool), statuses: make(map[string]int)}
	traffic := time.Now()
	for i := range shedServers {
		s := newServer(w, fmt.Sprintf("i-desk-%d", i), "desk")
		// The disruption is at two of three servers, as the bench takes a share of 0.6.
		s.handle = l.handler(w, s, trouble && i < 2, traffic)
		if err := s.start(); err != nil {
			return false, err
		}
	}
	w.configure([]map[string]any{
		route("alert", "non_idempotent", "desk", map[string]any{"TimeoutMs": shedDeadline.Milliseconds(), "GoalMs": 300}),
	}, []map[string]any{{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 100}})
	if err := w.startEntries(shedEntries); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	for i := range shedBursts * shedRequests {
		if i%shedRequests == 0 {
			time.Sleep(shedPause)
		}
		clients.Go(func() {
			a := attempt{id: newID(), method: http.MethodPost, path: "/alert/a", body: "rain"}
			res := a.send(w.ctx, w.entries[i%shedEntries].address("Front"), shedDeadline)
			l.mu.Lock()
			defer l.mu.Unlock()
			if res.err != nil {
				l.statuses["no answer"]++
				return
			}
			l.statuses[strconv.Itoa(res.status)]++
			l.refused[a.id] = res.status == http.StatusServiceUnavailable
		})
	}
	clients.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	twice, refused := 0, 0
	for id, runs := range l.runs {
		if l.refused[id] {
			refused++
			w.log("VIOLATION: request %s of a non_idempotent route ran at %v, and its client got 503", id, runs)
		}
		if len(runs) > 1 {
			twice++
			w.log("VIOLATION: request %s of a non_idempotent route ran at %v", id, runs)
		}
	}
	w.log("%d answers of servers, %d of them 503 with Geraniumline-Not-Executed, %d came once more, late; clients saw %v; %d requests ran more than once, %d ran and were answered 503",
		l.answers, l.sheds, l.extras, l.statuses, twice, refused)
	return twice+refused > 0, nil
}

// handler runs requests in the server's slots and turns away what its queue has no room for. If the disruption is on, some
// answers come once more, late: at the point where the next answer on the channel is expected.
func (l *shedLedger) handler(w *world, s *server, trouble bool, traffic time.Time) func(*channel, *http.Request, []byte) bool {
	slots, places := make(chan struct{}, shedSlots), make(chan struct{}, shedSlots+shedQueue)
	inSpans := 0
	return func(c *channel, r *http.Request, _ []byte) bool {
		id := r.Header.Get("Geraniumline-Attempt-Id")
		if c.previous != nil {
			w.log("%s answers once more, late, as it has %s: %.40q", s.id, id, c.previous)
			if _, err := c.Write(c.previous); err != nil {
				return false
			}
			c.previous = nil
		}
		var full []byte
		select {
		case places <- struct{}{}:
			slots <- struct{}{}
			l.mu.Lock()
			l.runs[id] = append(l.runs[id], s.id)
			l.mu.Unlock()
			time.Sleep(shedWork)
			<-slots
			<-places
			full = answer(r, "200 OK", "Geraniumline-Server-Stamp: stamp-"+s.id+"\r\n", []byte("done"))
		default:
			l.mu.Lock()
			l.sheds++
			l.mu.Unlock()
			// As in the pages' example of a server that sheds.
			full = []byte("HTTP/1.1 503 Service Unavailable\r\nGeraniumline-Not-Executed: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n")
		}
		l.mu.Lock()
		l.answers++
		at := time.Since(traffic) - extraFrom
		if trouble && at > 0 && at%(extraFor+extraGap) < extraFor {
			inSpans++
			if inSpans%extraEvery == 0 {
				l.extras++
				c.previous = full
			}
		}
		l.mu.Unlock()
		_, err := c.Write(full)
		return err == nil
	}
}
