package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// smuggleTries is the number of channels on which the requests are sent.
const smuggleTries = 6

func runSmuggle(w *world, trouble bool) (bool, error) {
	var mu sync.Mutex
	ran := make(map[string]string)
	for i := range 3 {
		s := newServer(w, fmt.Sprintf("i-desk-%d", i), "desk")
		s.handle = func(c *channel, r *http.Request, _ []byte) bool {
			id := r.Header.Get("Geraniumline-Attempt-Id")
			mu.Lock()
			ran[id] = r.Method + " " + r.RequestURI
			mu.Unlock()
			_, err := c.Write(answer(r, "200 OK", "Geraniumline-Server-Stamp: stamp-"+s.id+"\r\n", []byte("done")))
			return err == nil
		}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	w.configure([]map[string]any{
		route("upload", "idempotent", "desk", map[string]any{"TimeoutMs": 1500, "GoalMs": 300, "MaxAttempts": 2}),
		route("alert", "non_idempotent", "desk", map[string]any{"TimeoutMs": 1500, "GoalMs": 300}),
	}, []map[string]any{{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 100}})
	if err := w.startEntries(2); err != nil {
		return false, err
	}
	sent := make(map[string]bool)
	hidden := make(map[string]bool)
	for i := range smuggleTries {
		first := attempt{id: newID(), method: http.MethodGet, path: "/upload/a"}
		inner := attempt{id: newID(), method: http.MethodPost, path: "/alert/hidden", body: "hidden"}
		outerID := newID()
		sent[first.id], sent[outerID], hidden[inner.id] = true, true, true
		body := "0\r\n\r\n" + inner.encode(1500*time.Millisecond)
		outer := fmt.Sprintf("POST /upload/b HTTP/1.1\r\nHost: %s\r\nGeraniumline-Attempt-Id: %s\r\nAuthorization: Bearer %s\r\n"+
			"Geraniumline-Deadline-Ms: 1500\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", host, outerID, key, len(body), body)
		answers, err := sendTwo(w.entries[i%2].address("Front"), first.encode(1500*time.Millisecond), outer, trouble)
		w.log("channel %d: sent %s and %s, whose body of %d bytes holds %s; answers %v, then %v", i, first.id, outerID, len(body), inner.id, answers, err)
	}
	mu.Lock()
	defer mu.Unlock()
	smuggled := 0
	for id, target := range ran {
		if hidden[id] {
			smuggled++
			w.log("VIOLATION: a server ran %s %q, which was hidden in the body of another request", id, target)
		}
	}
	w.log("%d requests ran, %d of them were hidden in bodies", len(ran), smuggled)
	return smuggled > 0, nil
}

// sendTwo sends two requests on one channel and returns the statuses of all answers. If pipelined is set, the second one
// follows without waiting for the first answer.
func sendTwo(address, first, second string, pipelined bool) ([]string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	br := bufio.NewReader(conn)
	var answers []string
	read := func() error {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		answers = append(answers, strings.TrimSpace(resp.Status+" "+string(body)))
		return err
	}
	if pipelined {
		first, second = first+second, ""
	}
	if _, err := io.WriteString(conn, first); err != nil {
		return nil, err
	}
	if err := read(); err != nil {
		return answers, err
	}
	if _, err := io.WriteString(conn, second); err != nil {
		return answers, err
	}
	for {
		if err := read(); err != nil {
			return answers, err
		}
	}
}
