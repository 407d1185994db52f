package faker

import (
	"container/list"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumline/endpointserver"
)

// BlockBytes is the size in bytes of the input blocks in which engines cache prompt prefixes: 16 tokens.
const BlockBytes = 64

// maxCacheEvents limits the events kept for readers. A reader that asks for an older one sees a gap.
const maxCacheEvents = 8192

// PrefixHashes returns the hashes of all whole-block prefixes of the input, shortest first. The k-th hash
// is the xxhash64 of the first k*BlockBytes bytes, as 16 hex digits.
func PrefixHashes(input string) []string {
	digest := xxhash.New()
	hashes := make([]string, 0, len(input)/BlockBytes)
	for end := BlockBytes; end <= len(input); end += BlockBytes {
		// Writing to the digest never fails.
		_, _ = digest.WriteString(input[end-BlockBytes : end])
		hashes = append(hashes, fmt.Sprintf("%016x", digest.Sum64()))
	}
	return hashes
}

type cacheEvent struct {
	endpointserver.CacheEvent
	at   time.Time
	lost bool
}

// prefixCache is an LRU cache of prefix hashes with limited capacity. It records its changes as events.
type prefixCache struct {
	mu       sync.Mutex
	capacity int
	lru      *list.List
	byHash   map[string]*list.Element
	events   []cacheEvent
	nextSeq  int64
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, lru: list.New(), byHash: make(map[string]*list.Element)}
}

// match returns the number of leading blocks that are cached and marks them as recently used.
func (c *prefixCache) match(prefixes []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, prefix := range prefixes {
		element, cached := c.byHash[prefix]
		if !cached {
			return i
		}
		c.lru.MoveToFront(element)
	}
	return len(prefixes)
}

func (c *prefixCache) store(prefixes []string, now time.Time, isEventLost func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, prefix := range prefixes {
		if element, cached := c.byHash[prefix]; cached {
			c.lru.MoveToFront(element)
			continue
		}
		c.byHash[prefix] = c.lru.PushFront(prefix)
		c.addEvent(endpointserver.CacheEventKindStored, prefix, now, isEventLost())
		c.evict(now, isEventLost)
	}
}

func (c *prefixCache) evict(now time.Time, isEventLost func() bool) {
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		prefix := c.lru.Remove(oldest).(string)
		delete(c.byHash, prefix)
		c.addEvent(endpointserver.CacheEventKindEvicted, prefix, now, isEventLost())
	}
}

// clear removes all prefixes. It is called when another model is loaded.
func (c *prefixCache) clear(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru.Init()
	clear(c.byHash)
	c.addEvent(endpointserver.CacheEventKindCleared, "", now, false)
}

func (c *prefixCache) addEvent(kind endpointserver.CacheEventKind, prefix string, now time.Time, lost bool) {
	if len(c.events) >= maxCacheEvents {
		c.events = append(c.events[:0:0], c.events[maxCacheEvents/2:]...)
	}
	event := endpointserver.CacheEvent{Seq: c.nextSeq, Kind: kind, Prefix: prefix}
	c.events = append(c.events, cacheEvent{CacheEvent: event, at: now, lost: lost})
	c.nextSeq++
}

// eventsSince returns the events from a sequence number on that occurred no later than the cutoff.
func (c *prefixCache) eventsSince(from int64, cutoff time.Time) *endpointserver.CacheEventPage {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := &endpointserver.CacheEventPage{Events: []endpointserver.CacheEvent{}}
	for _, event := range c.events {
		if event.at.After(cutoff) {
			break
		}
		page.Next = event.Seq + 1
		if event.Seq >= from && !event.lost {
			page.Events = append(page.Events, event.CacheEvent)
		}
	}
	return page
}

func (e *Endpoint) cacheEventLost() bool {
	return e.occursAtRate(e.faults.get().CacheEventGapRate)
}

// ListCacheEvents returns the cache events of an engine, delayed and possibly with gaps. A service has no
// events. The error is always nil.
func (e *Endpoint) ListCacheEvents(
	_ context.Context, params endpointserver.ListCacheEventsParams,
) (*endpointserver.CacheEventPage, error) {
	g, ok := e.processor.(*generator)
	if !ok {
		return &endpointserver.CacheEventPage{Events: []endpointserver.CacheEvent{}}, nil
	}
	delay := g.cfg.CacheEventDelay
	if n := e.faults.get().CacheEventDelayMillis; n > 0 {
		delay = time.Duration(n) * time.Millisecond
	}
	return g.cache.eventsSince(params.From, time.Now().Add(-delay)), nil
}
