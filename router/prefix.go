package router

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of the blocks by which engines cache prompts.
const blockBytes = 64

// levels are the lengths of prefix, in blocks, that are looked up. Looking at each block would cost
// more than it gains.
var levels = [...]int{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64}

// homeLevel is the index in levels of the prefix that decides a prompt's home.
const homeLevel = 3

// Prefix is the hashes of a prompt's beginnings, as engines publish them.
type Prefix struct {
	hashes [len(levels)]uint64
	count  int
	// blocks is the prompt's length.
	blocks int
}

// PrefixOf hashes a prompt's beginnings in one pass.
func PrefixOf(input string) Prefix {
	p := Prefix{blocks: len(input) / blockBytes}
	var digest xxhash.Digest
	digest.Reset()
	done := 0
	for i, level := range levels {
		if level > p.blocks {
			break
		}
		_, _ = digest.WriteString(input[done : level*blockBytes])
		done = level * blockBytes
		p.hashes[i] = digest.Sum64()
		p.count = i + 1
	}
	return p
}

// home is the hash that decides where a prompt's prefix is kept while nothing is known of it.
func (p *Prefix) home() uint64 { return p.hashes[min(homeLevel, p.count-1)] }

// reuse is the part of the prompt that an endpoint with this cache needs not work on again.
func (p *Prefix) reuse(m *cacheMap) float64 {
	if m == nil {
		return 0
	}
	for i := p.count - 1; i >= 0; i-- {
		if m.has(p.hashes[i]) {
			return float64(levels[i]) / float64(max(p.blocks, 1))
		}
	}
	return 0
}

// cacheMapSlots bounds what is remembered of one endpoint's cache: 16 KB.
const cacheMapSlots = 4096

// cacheMap is a hint which prefixes an endpoint holds: a table without chains, where a new prefix
// takes the place of an older one. What is wrong in it costs time, never a request.
type cacheMap struct {
	marks [cacheMapSlots]uint32
}

func (m *cacheMap) has(hash uint64) bool { return m.marks[hash%cacheMapSlots] == mark(hash) }

func (m *cacheMap) store(hash uint64) { m.marks[hash%cacheMapSlots] = mark(hash) }

func (m *cacheMap) evict(hash uint64) {
	if m.has(hash) {
		m.marks[hash%cacheMapSlots] = 0
	}
}

// mark tells prefixes with the same slot apart; 0 is an empty slot.
func mark(hash uint64) uint32 { return uint32(hash>>32) | 1 }

// CacheEventKind says what became of a prefix.
type CacheEventKind uint8

// The kinds of cache event.
const (
	CacheStored CacheEventKind = iota
	CacheEvicted
	CacheCleared
)

// CacheEvent tells that an endpoint stored or dropped a prefix.
type CacheEvent struct {
	Seq  int64
	Kind CacheEventKind
	Hash uint64
}

// ApplyCacheEvents takes a page of an endpoint's cache events, which come late and with gaps. Next is the
// number that follows the page.
func (r *Router) ApplyCacheEvents(address string, events []CacheEvent, next int64, _ time.Time) {
	e, known := r.endpoints[address]
	if !known {
		return
	}
	if next < e.cacheNext {
		// The count began anew, so the endpoint did, and its cache was empty. What it has stored since
		// is read from the beginning.
		e.voidCache()
		e.cacheNext = 0
		return
	}
	for _, event := range events {
		if event.Seq < e.cacheNext {
			continue
		}
		if event.Seq > e.cacheNext {
			// What happened in the gap is not known: the prefixes held may be gone.
			e.voidCache()
		}
		e.cacheNext = event.Seq + 1
		r.takeCacheEvent(e, event)
	}
	if next > e.cacheNext {
		e.voidCache()
		e.cacheNext = next
	}
}

func (r *Router) takeCacheEvent(e *endpoint, event CacheEvent) {
	switch event.Kind {
	case CacheStored:
		if m := r.cacheOf(e); m != nil {
			m.store(event.Hash)
		}
	case CacheEvicted:
		if e.cache != nil {
			e.cache.evict(event.Hash)
		}
	case CacheCleared:
		e.voidCache()
	}
}

func (e *endpoint) voidCache() {
	if e.cache != nil {
		*e.cache = cacheMap{}
	}
}

// cacheOf gives the endpoint's map, if the bound on maps allows it one.
func (r *Router) cacheOf(e *endpoint) *cacheMap {
	if e.cache == nil && r.cacheMaps < r.cfg.MaxCacheMaps {
		e.cache = &cacheMap{}
		r.cacheMaps++
	}
	return e.cache
}

// predict notes that a call's prompt will be in the endpoint's cache, well before its event comes.
func (r *Router) predict(e *endpoint, prefix *Prefix) {
	if prefix.count == 0 || !e.pool.caches {
		return
	}
	m := r.cacheOf(e)
	if m == nil {
		return
	}
	for _, hash := range prefix.hashes[:prefix.count] {
		m.store(hash)
	}
}
