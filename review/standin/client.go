package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	id string
	// key is the input of its first stages, apiKey the client's key; empty for none.
	key, apiKey string
	sentAt      time.Time
	path        string
	header      http.Header
	runs        int
}

// reply is what the client got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request to an entry and reads the whole answer.
func (w *world) send(ctx context.Context, client *http.Client, e *entry, q *request, timeout time.Duration) reply {
	q.sentAt = time.Now()
	w.mu.Lock()
	w.requests[q.id] = q
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.front+q.path, strings.NewReader(`{"input":"`+newID()+`"}`))
	if err != nil {
		return reply{err: err}
	}
	r.Host = siteHost
	for name, values := range q.header {
		r.Header[name] = values
	}
	r.Header.Set(headerAttempt, q.id)
	r.Header.Set(headerDeadline, fmt.Sprint(timeout.Milliseconds()))
	if q.apiKey != "" {
		r.Header.Set("Authorization", "Bearer "+q.apiKey)
	}
	resp, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true}}
}
