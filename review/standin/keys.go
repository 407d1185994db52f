package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	tenantCount = 5
	// unknownKey is a key that no configuration ever holds.
	unknownKey = "never-issued-key"
	// configTime is the site's ConfigMs.
	configTime = 2 * time.Second
	// alertTimeout is the deadline of a rain alert.
	alertTimeout = 1500 * time.Millisecond
	// alertPause is the time between two alerts of one client.
	alertPause = 300 * time.Millisecond
)

func tenantName(i int) string { return fmt.Sprintf("club-%d", i+1) }

func tenantKey(i int) string { return fmt.Sprintf("key-of-club-%d", i+1) }

// publish writes the configuration in force. A tenant without a key keeps its entry.
func (w *world) publish() {
	w.mu.Lock()
	w.configVersion++
	version := w.configVersion
	var tenants []map[string]any
	for i := range tenantCount {
		list := []string{}
		if _, revoked := w.revokedAt[tenantKey(i)]; !revoked {
			list = append(list, tenantKey(i))
		}
		tenants = append(tenants, map[string]any{"Name": tenantName(i), "ApiKeys": list, "Priority": 1})
	}
	w.mu.Unlock()
	w.configure(version, routeRecords(), serviceRecords(), tenants)
}

// revoke takes keys away, one after the other.
func (w *world) revoke(ctx context.Context, first, count int, gap time.Duration) error {
	for i := first; i < first+count; i++ {
		w.mu.Lock()
		w.revokedAt[tenantKey(i)] = time.Now()
		w.mu.Unlock()
		w.publish()
		// The bound counts from the store's acknowledgement.
		w.mu.Lock()
		w.revokedAt[tenantKey(i)] = time.Now()
		w.mu.Unlock()
		w.rec.add("the key of %s is taken away", tenantName(i))
		if err := sleep(ctx, gap); err != nil {
			return err
		}
	}
	return nil
}

// outOfForce reports whether a request that was sent at the given time must not run, by its key.
func (w *world) outOfForce(key string, sentAt time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, revoked := w.revokedAt[key]
	return revoked && sentAt.Sub(at) > configTime
}

// checkRun checks a request that an engine begins to run.
func (w *world) checkRun(e *engine, r *http.Request) {
	id := r.Header.Get(headerAttempt)
	w.mu.Lock()
	q, known := w.requests[id]
	if known {
		q.runs++
	}
	w.mu.Unlock()
	w.rec.add("%s runs %s, tenant %q, authorization %q", e.id, id, r.Header.Get("Geraniumline-Tenant"), r.Header.Get("Authorization"))
	if !known {
		w.breach("UNASKED", "%s runs %s, which no client sent", e.id, id)
		return
	}
	if passed := r.Header.Get("Authorization"); passed != "" {
		w.breach("UNASKED", "%s runs %s, to which the client's key was passed on: %s", e.id, id, passed)
	}
	switch {
	case q.apiKey == unknownKey:
		w.breach("ROUTE", "%s runs %s with the key %q, which no configuration ever held", e.id, id, q.apiKey)
	case w.outOfForce(q.apiKey, q.sentAt):
		w.breach("CONFIG", "%s runs %s with the key %q, sent later than ConfigMs after the configuration without it", e.id, id, q.apiKey)
	}
}

// playKeys takes away all keys of a site while its clients go on, and a stranger tries a key that was never given out.
func playKeys(ctx context.Context, w *world, trouble bool) (bool, error) {
	if err := w.startServices(); err != nil {
		return false, err
	}
	w.publish()
	if err := w.startEntries(ctx); err != nil {
		return false, err
	}
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var clients sync.WaitGroup
	clientKeys := []string{unknownKey}
	for i := range tenantCount {
		clientKeys = append(clientKeys, tenantKey(i))
	}
	for i, key := range clientKeys {
		clients.Go(func() { w.sendAlerts(clientsCtx, key, i) })
	}
	err := w.takeKeysAway(ctx, trouble)
	stopClients()
	clients.Wait()
	for _, rule := range []string{"UNASKED", "ROUTE", "CONFIG"} {
		w.rec.say("%s: %d requests ran that must not", rule, w.breachCount(rule))
	}
	return w.breachCount("UNASKED")+w.breachCount("ROUTE")+w.breachCount("CONFIG") > 0, err
}

// takeKeysAway plays the operator.
func (w *world) takeKeysAway(ctx context.Context, trouble bool) error {
	if err := sleep(ctx, 5*time.Second); err != nil {
		return err
	}
	if trouble {
		if err := w.revoke(ctx, 0, 3, 400*time.Millisecond); err != nil {
			return err
		}
	}
	if err := sleep(ctx, 5*time.Second); err != nil {
		return err
	}
	if trouble {
		if err := w.revoke(ctx, 3, tenantCount-3, 400*time.Millisecond); err != nil {
			return err
		}
	}
	return sleep(ctx, 8*time.Second)
}

// sendAlerts sends one alert after the other, at each entry in turn.
func (w *world) sendAlerts(ctx context.Context, key string, first int) {
	client := newClient()
	defer client.CloseIdleConnections()
	for i := first; ctx.Err() == nil; i++ {
		e := w.entries[i%len(w.entries)]
		q := &request{id: newID(), apiKey: key, path: alertPath + "42"}
		got := w.send(context.WithoutCancel(ctx), client, e, q, alertTimeout)
		w.rec.add("client with key %q sent %s to %s: %d %v", key, q.id, e.name, got.status, got.err)
		if sleep(ctx, alertPause) != nil {
			return
		}
	}
}
