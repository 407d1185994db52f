package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of the blocks in which engines cache prompts.
const blockBytes = 64

// prefixLengths are the prefix lengths, in blocks, that are looked up. Looking up every block would
// cost more than it gains.
var prefixLengths = [...]int{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64}

// homePrefixIndex is the index in prefixLengths of the prefix that selects a prompt's home
// endpoints.
const homePrefixIndex = 3

// Prefix holds the hashes of a prompt's leading blocks, as published by engines.
type Prefix struct {
	hashes [len(prefixLengths)]uint64
	count  int
	// blocks is the length of the prompt in blocks.
	blocks int
}

// PrefixOf hashes the leading blocks of a prompt in one pass.
func PrefixOf(input string) Prefix {
	p := Prefix{blocks: len(input) / blockBytes}
	var digest xxhash.Digest
	digest.Reset()
	done := 0
	for i, length := range prefixLengths {
		if length > p.blocks {
			break
		}
		_, _ = digest.WriteString(input[done : length*blockBytes])
		done = length * blockBytes
		p.hashes[i] = digest.Sum64()
		p.count = i + 1
	}
	return p
}

// SharedPrefixes returns the hashes of those prefixes of an input that other inputs may have too: all that are shorter than it.
func SharedPrefixes(input string) []uint64 {
	p := PrefixOf(input)
	shared := p.hashes[:p.count]
	if p.count > 0 && prefixLengths[p.count-1]*blockBytes == len(input) {
		shared = shared[:p.count-1]
	}
	return slices.Clone(shared)
}

// homeHash returns the hash that selects the home endpoints of the prompt's prefix, for use when no
// endpoint is known to cache it.
func (p *Prefix) homeHash() uint64 { return p.hashes[min(homePrefixIndex, p.count-1)] }

// cachedFraction returns the fraction of the prompt that an endpoint with this cache does not have
// to process again.
func (p *Prefix) cachedFraction(m *cacheMap) float64 {
	if m == nil {
		return 0
	}
	for i := p.count - 1; i >= 0; i-- {
		if m.has(p.hashes[i]) {
			return float64(prefixLengths[i]) / float64(max(p.blocks, 1))
		}
	}
	return 0
}

// cacheMapSlots limits what is remembered of one endpoint's cache: 16 KB.
const cacheMapSlots = 4096

// cacheMap is an approximate set of the prefixes that an endpoint holds. It is a hash table without
// chaining, in which a new prefix replaces an older one with the same slot. A wrong entry costs
// time but never fails a request.
type cacheMap struct {
	tags [cacheMapSlots]uint32
}

func (m *cacheMap) has(hash uint64) bool { return m.tags[hash%cacheMapSlots] == tag(hash) }

func (m *cacheMap) store(hash uint64) { m.tags[hash%cacheMapSlots] = tag(hash) }

func (m *cacheMap) evict(hash uint64) {
	if m.has(hash) {
		m.tags[hash%cacheMapSlots] = 0
	}
}

// tag distinguishes prefixes that share a slot. It is never 0, which marks an empty slot.
func tag(hash uint64) uint32 { return uint32(hash>>32) | 1 }

// CacheEventKind is the kind of change to a cached prefix.
type CacheEventKind uint8

// The kinds of cache events.
const (
	CacheStored CacheEventKind = iota
	CacheEvicted
	CacheCleared
)

// CacheEvent reports that an endpoint stored or dropped a prefix, or cleared its cache. Seq is its
// sequence number at the endpoint.
type CacheEvent struct {
	Seq  int64
	Kind CacheEventKind
	Hash uint64
}

// ApplyCacheEvents applies a page of an endpoint's cache events, which arrive late and with gaps.
// next is the sequence number that follows the page.
func (r *Router) ApplyCacheEvents(address string, events []CacheEvent, next int64, _ time.Time) {
	e, known := r.endpoints[address]
	if !known {
		return
	}
	if next < e.cacheNext {
		// The sequence numbers restarted, so the endpoint restarted with an empty cache. Events
		// since then are read from the beginning.
		e.clearCache()
		e.cacheNext = 0
		return
	}
	for _, event := range events {
		if event.Seq < e.cacheNext {
			continue
		}
		if event.Seq > e.cacheNext {
			// Events were lost, and the prefixes held so far may have been evicted.
			e.clearCache()
		}
		e.cacheNext = event.Seq + 1
		r.applyCacheEvent(e, event)
	}
	if next > e.cacheNext {
		e.clearCache()
		e.cacheNext = next
	}
}

func (r *Router) applyCacheEvent(e *endpoint, event CacheEvent) {
	switch event.Kind {
	case CacheStored:
		if m := r.cacheMapOf(e); m != nil {
			m.store(event.Hash)
		}
	case CacheEvicted:
		if e.cache != nil {
			e.cache.evict(event.Hash)
		}
	case CacheCleared:
		e.clearCache()
	}
}

func (e *endpoint) clearCache() {
	if e.cache != nil {
		*e.cache = cacheMap{}
	}
}

// cacheMapOf returns the endpoint's cache map. It creates one if MaxCacheMaps allows, and else
// returns nil.
func (r *Router) cacheMapOf(e *endpoint) *cacheMap {
	if e.cache == nil && r.cacheMaps < r.cfg.MaxCacheMaps {
		e.cache = &cacheMap{}
		r.cacheMaps++
	}
	return e.cache
}

// predictCache records that the prompt of a call will be in the endpoint's cache, well before its
// cache event arrives.
func (r *Router) predictCache(e *endpoint, prefix *Prefix) {
	if prefix.count == 0 || !e.pool.cachesPrompts {
		return
	}
	m := r.cacheMapOf(e)
	if m == nil {
		return
	}
	for _, hash := range prefix.hashes[:prefix.count] {
		m.store(hash)
	}
}
