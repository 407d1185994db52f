package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	partEntries = 3
	partServers = 9
	// partID is the part of prompts that crashes each server that begins an answer on it. The server is back after partDown.
	partID   = "dead01"
	partDown = 2 * time.Second
	// partPause is the time between two requests with the part, and partFirst and partSecond are how long they come before and
	// after all processes are killed.
	partPause  = 700 * time.Millisecond
	partFirst  = 32 * time.Second
	partSecond = 27 * time.Second
)

// partLedger counts the requests with the part that reached servers, and the crashes.
type partLedger struct {
	mu      sync.Mutex
	arrived []time.Time
	crashes []time.Time
}

func runPart(w *world, trouble bool) (bool, error) {
	l := &partLedger{}
	err := startModels(w, partServers, func(s *server) func(*channel, *http.Request, []byte) bool {
		return func(c *channel, r *http.Request, _ []byte) bool { return l.serve(w, s, c, r) }
	})
	if err != nil {
		return false, err
	}
	w.configure([]map[string]any{
		route("check", "streaming", "pool", map[string]any{"GapTargetMs": 400, "Sticky": true}),
	}, []map[string]any{modelService()})
	if err := w.startEntries(partEntries); err != nil {
		return false, err
	}
	time.Sleep(contactMs * time.Millisecond)
	l.traffic(w, partFirst)
	if trouble {
		if err := w.restartAll(restartDelay); err != nil {
			return false, err
		}
		// From here on the machines are in touch again.
		time.Sleep(calmTime)
	}
	l.traffic(w, partSecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	w.log("%d requests with the part reached servers, %d crashes", len(l.arrived), len(l.crashes))
	if len(l.crashes) < 5 {
		return false, nil
	}
	late := 0
	for _, at := range l.arrived {
		if at.Sub(l.crashes[4]) > contactMs*time.Millisecond {
			late++
		}
	}
	w.log("%d of them later than %d ms after the fifth crash; 3 are allowed", late, contactMs)
	return late > 3, nil
}

func (l *partLedger) serve(w *world, s *server, c *channel, r *http.Request) bool {
	if !strings.HasPrefix(r.Header.Get("Geraniumline-Prompt-Prefix"), partID+":") {
		return stream(c, r, "stamp-"+s.id, 5, 20*time.Millisecond)
	}
	now := time.Now()
	l.mu.Lock()
	l.arrived = append(l.arrived, now)
	l.crashes = append(l.crashes, now)
	w.log("%s crashes under %s, crash %d", s.id, r.Header.Get("Geraniumline-Attempt-Id"), len(l.crashes))
	l.mu.Unlock()
	s.crash()
	time.AfterFunc(partDown, func() {
		if w.ctx.Err() != nil {
			return
		}
		if err := s.listen(s.address); err != nil {
			w.log("%s is not back: %v", s.id, err)
		}
	})
	return false
}

// traffic sends requests with the part and sound ones for a time.
func (l *partLedger) traffic(w *world, d time.Duration) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]int)
	for began, i := time.Now(), 0; time.Since(began) < d; i++ {
		for _, first := range []string{partID, "5c1e"} {
			clients.Go(func() {
				id := newID()
				a := attempt{id: id, method: http.MethodPost, path: "/check/q", body: "prompt " + id, header: prompt(first + ":300," + id + ":100")}
				res := a.send(w.ctx, w.entries[i%partEntries].address("Front"), 15*time.Second)
				mu.Lock()
				defer mu.Unlock()
				answers[fmt.Sprintf("%s: %d", first, res.status)]++
			})
		}
		time.Sleep(partPause)
	}
	clients.Wait()
	w.log("answers by first part and status: %v", answers)
}
