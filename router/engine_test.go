package router_test

import (
	"container/list"
	"slices"
	"time"

	"geraniumline/router"
)

type engine struct {
	at      int
	running int
	queue   []*job
	// cached is the blocks held, used the same with the least recently used first.
	cached map[uint64]*list.Element
	used   *list.List
	log    []cacheLog
}

func newEngine(at int) *engine {
	return &engine{at: at, cached: map[uint64]*list.Element{}, used: list.New()}
}

type cacheLog struct {
	at    time.Time
	event router.CacheEvent
	lost  bool
}

// store caches a prompt's blocks and gives how many of its leading ones were held.
func (e *engine) store(tr *trial, j *job) int {
	hit := 0
	for hit < len(j.hashes) && e.cached[j.hashes[hit]] != nil {
		hit++
	}
	for _, hash := range slices.Backward(j.hashes) {
		if held := e.cached[hash]; held != nil {
			e.used.MoveToBack(held)
			continue
		}
		e.note(tr, router.CacheStored, hash)
		e.cached[hash] = e.used.PushBack(hash)
	}
	for len(e.cached) > cacheBlocks {
		oldest := e.used.Remove(e.used.Front()).(uint64)
		delete(e.cached, oldest)
		e.note(tr, router.CacheEvicted, oldest)
	}
	return hit
}

func (e *engine) note(tr *trial, kind router.CacheEventKind, hash uint64) {
	event := router.CacheEvent{Seq: int64(len(e.log)), Kind: kind, Hash: hash}
	e.log = append(e.log, cacheLog{at: tr.now, event: event, lost: tr.rng.Float64() < gapRate/50})
}

type simEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }

func (h simHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *simHeap) Push(x any) { *h = append(*h, x.(simEvent)) }

func (h *simHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
