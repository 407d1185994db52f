package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// digestRate is the number of season digests a second, digestTimeout their deadline.
	digestRate    = 5.13
	digestTimeout = 15 * time.Second
	// doubledShare of a stage's engines send doubleRate of their answers twice while a disturbance lasts.
	doubledShare = 0.6
	doubleRate   = 0.03
	troubleTime  = 5 * time.Second
	calmTime     = time.Second
	troubles     = 10
)

// playStages has engines of the stages send some answers a second time, late, while season digests are asked for.
func playStages(ctx context.Context, w *world, trouble bool) (bool, error) {
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
	clients.Go(func() { w.sendDigests(clientsCtx, &clients) })
	err := sleep(ctx, calmTime)
	doubles := &doubler{share: doubleRate}
	for i := 0; i < troubles && err == nil; i++ {
		err = w.doubleAnswers(ctx, trouble, doubles)
	}
	stopClients()
	clients.Wait()
	w.rec.say("MIXED: %d pieces and requests were given results of another request, %d clients got an answer made from another's data",
		w.breachCount("MIXED"), w.breachCount("MIXED at the client"))
	return w.breachCount("MIXED")+w.breachCount("MIXED at the client") > 0, err
}

// doubleAnswers plays one disturbance and the calm after it.
func (w *world) doubleAnswers(ctx context.Context, trouble bool, doubles *doubler) error {
	faulty := w.faultyEngines()
	setDoubles := func(d *doubler) {
		for _, e := range faulty {
			e.mu.Lock()
			e.doubles = d
			e.mu.Unlock()
		}
	}
	if trouble {
		w.rec.add("a disturbance begins at %d engines of stages", len(faulty))
		setDoubles(doubles)
	}
	if err := sleep(ctx, troubleTime); err != nil {
		return err
	}
	setDoubles(nil)
	return sleep(ctx, calmTime)
}

// faultyEngines returns doubledShare of the engines of each stage's service.
func (w *world) faultyEngines() []*engine {
	byService := make(map[string][]*engine)
	for _, e := range w.engines {
		if services[e.service].batch > 0 {
			byService[e.service] = append(byService[e.service], e)
		}
	}
	var faulty []*engine
	for _, list := range byService {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		faulty = append(faulty, list[:int(math.Round(doubledShare*float64(len(list))))]...)
	}
	return faulty
}

// sendDigests sends season digests at random times, at all entries.
func (w *world) sendDigests(ctx context.Context, running *sync.WaitGroup) {
	client := newClient()
	for sleep(ctx, time.Duration(rand.ExpFloat64()/digestRate*float64(time.Second))) == nil {
		running.Go(func() { w.sendDigest(ctx, client) })
	}
}

// sendDigest sends one season digest and checks that its answer was made from its own data.
func (w *world) sendDigest(ctx context.Context, client *http.Client) {
	e := w.entries[rand.IntN(len(w.entries))]
	q := &request{id: newID(), key: newID()[:12], apiKey: tenantKey(rand.IntN(tenantCount)), path: digestPath + "7", header: make(http.Header)}
	first := 0
	if rand.Float64() < 0.4 {
		first = 1 + rand.IntN(2)
	}
	q.header.Set(headerCounts, fmt.Sprintf("%d,1,6,%d", first, 8+rand.IntN(17)))
	q.header.Set(headerPieceKey, q.key)
	q.header.Set("Geraniumline-Model", "m")
	q.header.Set("Geraniumline-Token-Counts", "17020,120")
	q.header.Set("Geraniumline-Prompt-Prefix", fmt.Sprintf("%08x:13300,%08x:3720", 100+rand.IntN(40), rand.Uint32()))
	got := w.send(context.WithoutCancel(ctx), client, e, q, digestTimeout)
	w.rec.add("client sent %s, stages' input %s, to %s: %d %v, %d bytes", q.id, q.key, e.name, got.status, got.err, len(got.body))
	if got.status != http.StatusOK || got.err != nil {
		return
	}
	if !strings.Contains(got.body, "made from "+q.key+" by") {
		line, _, _ := strings.Cut(got.body, "\n\n")
		w.breach("MIXED at the client", "the answer to %s, whose stages' input is %s, says: %q", q.id, q.key, line)
	}
}
