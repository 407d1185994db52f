package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of the case. All streams are within the deadline of 15 s when they are taken up again.
const (
	resumeEntries  = 3
	resumeStreams  = 24
	resumeEvents   = 60
	resumePause    = 100 * time.Millisecond
	resumeDeadline = 15 * time.Second
	// resumeBreak is when the streams break off, and restartDelay the time until the processes are started again.
	resumeBreak  = 2 * time.Second
	restartDelay = 500 * time.Millisecond
	// calmTime is how long the machines have been calm when a stream is taken up: over ContactMs.
	calmTime = contactMs*time.Millisecond + 500*time.Millisecond
	// resumeTries is how often a client tries to take its stream up.
	resumeTries = 3
)

func startModels(w *world, n int, handle func(s *server) func(*channel, *http.Request, []byte) bool) error {
	for i := range n {
		s := newServer(w, fmt.Sprintf("i-pool-%d", i), "pool")
		s.handle = handle(s)
		if err := s.start(); err != nil {
			return err
		}
	}
	return nil
}

func prompt(parts string) map[string]string {
	return map[string]string{
		"Geraniumline-Model": "m", "Geraniumline-Token-Counts": "400,120", "Geraniumline-Prompt-Prefix": parts,
	}
}

func runResume(w *world, trouble bool) (bool, error) {
	err := startModels(w, 4, func(s *server) func(*channel, *http.Request, []byte) bool {
		return func(c *channel, r *http.Request, _ []byte) bool {
			w.log("%s runs %s, Last-Event-Id %q", s.id, r.Header.Get("Geraniumline-Attempt-Id"), r.Header.Get("Last-Event-Id"))
			return stream(c, r, "stamp-"+s.id, resumeEvents, resumePause)
		}
	})
	if err != nil {
		return false, err
	}
	w.configure([]map[string]any{
		route("brief", "streaming", "pool", map[string]any{"GapTargetMs": 400, "Sticky": true, "Resumable": true, "MaxAttempts": 2}),
	}, []map[string]any{modelService()})
	if err := w.startEntries(resumeEntries); err != nil {
		return false, err
	}
	time.Sleep(contactMs * time.Millisecond)
	resumeAt := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	broke, goneOn := 0, 0
	for i := range resumeStreams {
		clients.Go(func() {
			began := time.Now()
			a := attempt{id: newID(), method: http.MethodPost, path: "/brief/q", body: "prompt", header: prompt(fmt.Sprintf("5c1e:300,%x:100", 4096+i))}
			if !trouble {
				a.leave = int(resumeBreak / resumePause)
			}
			first := a.send(w.ctx, w.entries[i%resumeEntries].address("Front"), resumeDeadline)
			w.log("stream %s: %d events, whole %v, error %v", a.id, first.events, first.whole, first.err)
			if first.events == 0 || first.whole && first.events == resumeEvents {
				return
			}
			<-resumeAt
			ok := takeUp(w, &a, i, first.events, began)
			mu.Lock()
			defer mu.Unlock()
			broke++
			if ok {
				goneOn++
			}
		})
	}
	time.Sleep(resumeBreak)
	if trouble {
		if err := w.restartAll(restartDelay); err != nil {
			return false, err
		}
	}
	time.Sleep(calmTime)
	close(resumeAt)
	begun := beginStreams(w.ctx, w)
	clients.Wait()
	w.log("%d streams broke off and were taken up again: %d went on; %d new streams at the same time: %d began", broke, goneOn, resumeStreams, begun)
	if broke < 12 {
		return false, fmt.Errorf("only %d streams broke off", broke)
	}
	return float64(goneOn)/float64(broke) < 0.5*float64(begun)/resumeStreams, nil
}

// takeUp takes a stream up again after an event and reports whether it went on to its end.
func takeUp(w *world, first *attempt, i, last int, began time.Time) bool {
	for try := range resumeTries {
		left := resumeDeadline - time.Since(began)
		if left < 500*time.Millisecond {
			break
		}
		a := attempt{id: newID(), method: first.method, path: first.path, body: first.body, header: map[string]string{
			"Last-Event-Id": strconv.Itoa(last), "Resumes": first.id,
		}}
		for name, value := range first.header {
			a.header[name] = value
		}
		res := a.send(w.ctx, w.entries[(i+try+1)%resumeEntries].address("Front"), left)
		w.log("stream %s taken up after event %d by %s: status %d %s, Retry-After %v, events %d to %d, whole %v, error %v",
			first.id, last, a.id, res.status, res.body, res.retryAfter, res.firstEvent, res.events, res.whole, res.err)
		if res.status == http.StatusOK {
			return res.whole && res.firstEvent == last+1
		}
		time.Sleep(min(res.retryAfter, left/3))
	}
	return false
}

// beginStreams sends new streams and returns how many began.
func beginStreams(ctx context.Context, w *world) int {
	var clients sync.WaitGroup
	var mu sync.Mutex
	begun := 0
	for i := range resumeStreams {
		clients.Go(func() {
			a := attempt{id: newID(), method: http.MethodPost, path: "/brief/q", body: "prompt", header: prompt(fmt.Sprintf("5c1e:300,%x:100", 8192+i)), leave: 1}
			res := a.send(ctx, w.entries[i%resumeEntries].address("Front"), resumeDeadline)
			mu.Lock()
			defer mu.Unlock()
			if res.status == http.StatusOK && res.events > 0 {
				begun++
			}
		})
	}
	clients.Wait()
	return begun
}
