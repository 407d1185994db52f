package performer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"geraniumline/endpointserver"
	"geraniumline/reducer"
	"geraniumline/router"
)

const (
	// reportTimeout limits one request for an endpoint's load or cache events.
	reportTimeout = time.Second
	// maxConcurrentReports is the maximum number of endpoints that are polled at the same time.
	maxConcurrentReports = 16
	// maxReport is the maximum size of a report's body, in bytes.
	maxReport = 4 << 20
	// cacheRetry is the wait after a failed request for cache events, as from an endpoint that has none.
	cacheRetry = time.Minute
)

// endpointPoller polls endpoints for their load and their cache events.
type endpointPoller struct {
	performer *Performer
	// polling is held during a round of polls.
	polling sync.Mutex

	mu        sync.Mutex
	endpoints map[string]*polledEndpoint
}

// polledEndpoint is the polling state of one endpoint. Only one goroutine at a time polls it.
type polledEndpoint struct {
	address string
	// lastSeen is when the endpoint was last listed or last reported its load.
	lastSeen time.Time
	// nextCacheEvent is the sequence number of the next cache event to read. None is requested before cacheRetryAt.
	nextCacheEvent int64
	cacheRetryAt   time.Time
}

func newEndpointPoller(p *Performer) *endpointPoller {
	return &endpointPoller{performer: p, endpoints: map[string]*polledEndpoint{}}
}

// updateList updates the endpoints from the list of VMs. An endpoint that is missing from the list is polled as long as
// it answers: the list lags, and the endpoint's own report is better evidence.
func (p *endpointPoller) updateList(vms []router.VM, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, vm := range vms {
		e, ok := p.endpoints[vm.Address]
		if !ok {
			e = &polledEndpoint{address: vm.Address}
			p.endpoints[vm.Address] = e
		}
		e.lastSeen = now
	}
	for address, e := range p.endpoints {
		if now.Sub(e.lastSeen) > router.DefaultForgetAfter {
			delete(p.endpoints, address)
		}
	}
}

// snapshot returns all endpoints to poll.
func (p *endpointPoller) snapshot() []*polledEndpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*polledEndpoint, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		all = append(all, e)
	}
	return all
}

// startRound polls all endpoints once in the background, at most maxConcurrentReports at a time. It does nothing while
// a round is running.
func (p *endpointPoller) startRound(ctx context.Context, now time.Time) {
	if !p.polling.TryLock() {
		return
	}
	go func() {
		defer p.polling.Unlock()
		var wg sync.WaitGroup
		slots := make(chan struct{}, maxConcurrentReports)
		for _, e := range p.snapshot() {
			slots <- struct{}{}
			wg.Go(func() {
				p.poll(ctx, e, now)
				<-slots
			})
		}
		wg.Wait()
	}()
}

// poll reads an endpoint's load and, if it answered, its cache events.
func (p *endpointPoller) poll(ctx context.Context, e *polledEndpoint, now time.Time) {
	err := p.readLoad(ctx, e.address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.performer.Post(reducer.EndpointConnectionRefused{Address: e.address})
	}
	if err != nil {
		return
	}
	p.mu.Lock()
	e.lastSeen = now
	p.mu.Unlock()
	if now.Before(e.cacheRetryAt) {
		return
	}
	if !p.readCacheEvents(ctx, e) {
		e.cacheRetryAt = now.Add(cacheRetry)
	}
}

// StatusError reports that an endpoint answered a poll with an HTTP status other than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return "unexpected HTTP status " + strconv.Itoa(e.Status) }

// get requests url and decodes the JSON report.
func (p *endpointPoller) get(ctx context.Context, url string, report any) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := p.performer.cfg.Endpoints.Do(request)
	if err != nil {
		return err
	}
	defer drain(response)
	if response.StatusCode != http.StatusOK {
		return &StatusError{Status: response.StatusCode}
	}
	hold := p.performer.cfg.Responses.Hold(request.URL.Host)
	defer hold.Release()
	return json.NewDecoder(&heldReader{r: io.LimitReader(response.Body, maxReport), hold: hold}).Decode(report)
}

// readLoad requests an endpoint's load report and posts it.
func (p *endpointPoller) readLoad(ctx context.Context, address string) error {
	var report endpointserver.LoadReport
	if err := p.get(ctx, "http://"+address+"/v1/load", &report); err != nil {
		return err
	}
	p.performer.Post(reducer.LoadReported{Address: address, Report: router.LoadReport{
		AsOf:    time.UnixMilli(report.AsOfMillis),
		Running: report.Running,
		Waiting: report.Waiting,
		Slots:   report.Slots,
		Leaving: report.Leaving,
	}})
	return nil
}

// readCacheEvents requests an endpoint's next cache events and posts them. It returns false if the request failed.
func (p *endpointPoller) readCacheEvents(ctx context.Context, e *polledEndpoint) bool {
	var page endpointserver.CacheEventPage
	if p.get(ctx, "http://"+e.address+"/v1/cacheEvents?from="+strconv.FormatInt(e.nextCacheEvent, 10), &page) != nil {
		return false
	}
	restarted := page.Next < e.nextCacheEvent
	e.nextCacheEvent = page.Next
	if restarted {
		// The endpoint restarted and numbers its events from the beginning, so they are read from the beginning.
		e.nextCacheEvent = 0
	}
	if len(page.Events) > 0 || restarted {
		p.performer.Post(newCacheEventsRead(e.address, page))
	}
	return true
}

func newCacheEventsRead(address string, page endpointserver.CacheEventPage) reducer.CacheEventsRead {
	read := reducer.CacheEventsRead{Address: address, Next: page.Next}
	for _, event := range page.Events {
		hash, err := strconv.ParseUint(event.Prefix, 16, 64)
		if err != nil && event.Kind != endpointserver.CacheEventKindCleared {
			continue
		}
		read.Events = append(read.Events, router.CacheEvent{Seq: event.Seq, Kind: cacheKindOf(event.Kind), Hash: hash})
	}
	return read
}

func cacheKindOf(kind endpointserver.CacheEventKind) router.CacheEventKind {
	switch kind {
	case endpointserver.CacheEventKindStored:
		return router.CacheStored
	case endpointserver.CacheEventKindEvicted:
		return router.CacheEvicted
	default:
		return router.CacheCleared
	}
}
