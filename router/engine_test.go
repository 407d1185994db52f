package router_test

import (
	"container/list"
	"slices"
	"time"

	"geraniumline/router"
)

type engine struct {
	index   int
	running int
	queue   []*job
	// cached holds the cached blocks by hash, and lru the same blocks with the least recently used
	// first.
	cached map[uint64]*list.Element
	lru    *list.List
	log    []loggedEvent
}

func newEngine(index int) *engine {
	return &engine{index: index, cached: map[uint64]*list.Element{}, lru: list.New()}
}

type loggedEvent struct {
	at    time.Time
	event router.CacheEvent
	lost  bool
}

// store caches a prompt's blocks and returns how many of its leading blocks were already cached.
func (e *engine) store(sim *simulation, j *job) int {
	cachedBlocks := 0
	for cachedBlocks < len(j.hashes) && e.cached[j.hashes[cachedBlocks]] != nil {
		cachedBlocks++
	}
	for _, hash := range slices.Backward(j.hashes) {
		if element := e.cached[hash]; element != nil {
			e.lru.MoveToBack(element)
			continue
		}
		e.logEvent(sim, router.CacheStored, hash)
		e.cached[hash] = e.lru.PushBack(hash)
	}
	for len(e.cached) > cacheBlocks {
		oldest := e.lru.Remove(e.lru.Front()).(uint64)
		delete(e.cached, oldest)
		e.logEvent(sim, router.CacheEvicted, oldest)
	}
	return cachedBlocks
}

func (e *engine) logEvent(sim *simulation, kind router.CacheEventKind, hash uint64) {
	event := router.CacheEvent{Seq: int64(len(e.log)), Kind: kind, Hash: hash}
	e.log = append(e.log, loggedEvent{at: sim.now, event: event, lost: sim.rng.Float64() < gapRate/50})
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
