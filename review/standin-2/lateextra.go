package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	extraRequests = 400
	extraPause    = 90 * time.Millisecond
	// extraEvery is the inverse of the share of answers that come twice, 0.03.
	extraEvery   = 33
	stageCall    = 150 * time.Millisecond
	stagePiece   = 16 * time.Millisecond
	extraFrom    = 3 * time.Second
	extraFor     = 5 * time.Second
	extraGap     = 2 * time.Second
	extraEntries = 3
)

// stageEntry is one piece of a call.
type stageEntry struct {
	ID        string `json:"Id"`
	Phase     int
	Segment   int
	Key       string
	InputList []string
}

// ledger holds what each handle was made for.
type ledger struct {
	mu         sync.Mutex
	made       map[string]stageEntry
	n          int
	answers    int
	extras     int
	violations int
}

func runLateExtra(w *world, trouble bool) (bool, error) {
	l := &ledger{made: make(map[string]stageEntry)}
	traffic := time.Now()
	for _, service := range []string{"encode", "rank"} {
		for i := range 2 {
			s := newServer(w, fmt.Sprintf("i-%s-%d", service, i), service)
			// The disruption is at half of the servers of a service.
			s.handle = l.stageHandler(w, s, trouble && i == 0, traffic)
			if err := s.start(); err != nil {
				return false, err
			}
		}
	}
	for i := range 3 {
		s := newServer(w, fmt.Sprintf("i-pool-%d", i), "pool")
		s.handle = func(c *channel, r *http.Request, _ []byte) bool {
			l.checkInputs(w, r.Header.Get("Geraniumline-Attempt-Id"), 1, handles(r), "request")
			return stream(c, r, "stamp-"+s.id, 5, 10*time.Millisecond)
		}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	segments := map[string]any{
		"Slots": 1, "Queue": 2, "Batch": 8, "CallMs": 150.0, "ItemMs": 16.0, "HeadroomMb": 36.0, "HandleTtlS": 4.0, "LinkMbps": 10000,
	}
	w.configure([]map[string]any{
		route("digest", "streaming", "pool", map[string]any{"GapTargetMs": 400, "Sticky": true, "Phases": []map[string]any{
			{"Service": "encode", "After": []int{}, "ByteCount": 8000},
			{"Service": "rank", "After": []int{0}, "ByteCount": 6000},
		}}),
	}, []map[string]any{
		modelService(),
		{"Name": "encode", "HealthPath": "/healthz", "MaxConns": 360, "Segments": segments},
		{"Name": "rank", "HealthPath": "/healthz", "MaxConns": 360, "Segments": segments},
	})
	if err := w.startEntries(extraEntries); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for i := range extraRequests {
		clients.Go(func() {
			a := attempt{id: newID(), method: http.MethodPost, path: "/digest/q", body: "prompt", header: map[string]string{
				"Geraniumline-Model": "m", "Geraniumline-Token-Counts": "400,20", "Geraniumline-Prompt-Prefix": fmt.Sprintf("5c1e:300,%x:100", 4096+i),
				"Geraniumline-Chunk-Count": "1,1", "Geraniumline-Chunk-Key": fmt.Sprintf("7c1e%08x", i),
			}}
			res := a.send(w.ctx, w.entries[i%len(w.entries)].address("Front"), 15*time.Second)
			w.log("request %s: status %d, %d events, whole %v, error %v", a.id, res.status, res.events, res.whole, res.err)
			mu.Lock()
			defer mu.Unlock()
			statuses[res.status]++
		})
		time.Sleep(extraPause)
	}
	clients.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	w.log("%d calls answered by the stages, %d of these answers came once more, late; clients saw %v; %d runs with inputs of another request or stage, or not all",
		l.answers, l.extras, statuses, l.violations)
	return l.violations > 0, nil
}

// stageHandler runs pieces one call after the other. If the disruption is on, some answers come once more, late: at the point
// where the next answer on the channel is expected.
func (l *ledger) stageHandler(w *world, s *server, trouble bool, traffic time.Time) func(*channel, *http.Request, []byte) bool {
	var turn sync.Mutex
	inSpans := 0
	return func(c *channel, r *http.Request, body []byte) bool {
		if r.URL.Path != "/geraniumline/stage-run" {
			_, err := c.Write(answer(r, "200 OK", "", nil))
			return err == nil
		}
		if c.previous != nil {
			w.log("%s answers once more, late: %q", s.id, c.previous[len(c.previous)-60:])
			if _, err := c.Write(c.previous); err != nil {
				return false
			}
			c.previous = nil
		}
		var call struct{ Entries []stageEntry }
		if err := json.Unmarshal(body, &call); err != nil {
			_, err := c.Write(answer(r, "400 Bad Request", "", nil))
			return err == nil
		}
		turn.Lock()
		time.Sleep(stageCall + time.Duration(len(call.Entries))*stagePiece)
		turn.Unlock()
		data := l.make(w, s, call.Entries)
		full := answer(r, "200 OK", "Content-Type: application/json\r\n", data)
		l.mu.Lock()
		l.answers++
		// Spans of five seconds, with a pause between them.
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

// make makes the results of a call.
func (l *ledger) make(w *world, s *server, entries []stageEntry) []byte {
	type made struct{ Handle string }
	results := make([]made, len(entries))
	for i, e := range entries {
		if e.Phase > 0 {
			l.checkInputs(w, e.ID, e.Phase-1, e.InputList, "piece")
		}
		l.mu.Lock()
		l.n++
		results[i].Handle = fmt.Sprintf("%s/%x", s.address, 0x91bd3f060000+l.n)
		l.made[results[i].Handle] = e
		l.mu.Unlock()
	}
	data, err := json.Marshal(map[string]any{"Entries": results})
	if err != nil {
		return nil
	}
	return data
}

// checkInputs checks that the inputs are the one piece of the request's stage.
func (l *ledger) checkInputs(w *world, id string, phase int, inputs []string, kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sound := len(inputs) == 1
	var found []string
	for _, handle := range inputs {
		e := l.made[strings.TrimSpace(handle)]
		found = append(found, fmt.Sprintf("%s of request %s, stage %d", handle, e.ID, e.Phase))
		sound = sound && e.ID == id && e.Phase == phase
	}
	if sound {
		return
	}
	l.violations++
	slices.Sort(found)
	w.log("VIOLATION: %s of request %s is given inputs %v", kind, id, found)
}
