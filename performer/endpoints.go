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
	// reportTimeout bounds one reading of an endpoint's load or cache events.
	reportTimeout = time.Second
	// reportReaders is how many endpoints are asked at a time.
	reportReaders = 16
	// maxReport bounds a report's body, in bytes.
	maxReport = 4 << 20
	// cacheRetry is how long an endpoint that has no cache events is not asked for them.
	cacheRetry = time.Minute
)

// endpointReader asks endpoints for their load and their cache events.
type endpointReader struct {
	performer *Performer
	busy      sync.Mutex

	mu        sync.Mutex
	endpoints map[string]*readEndpoint
}

// readEndpoint is how far one endpoint was read. One goroutine at a time reads it.
type readEndpoint struct {
	address string
	// heard is when the endpoint was listed or answered last.
	heard time.Time
	// cacheNext is the number of the next cache event, cacheFrom the time before which none is asked for.
	cacheNext int64
	cacheFrom time.Time
}

func newEndpointReader(p *Performer) *endpointReader {
	return &endpointReader{performer: p, endpoints: map[string]*readEndpoint{}}
}

// listed takes the list of VMs. An endpoint that it lacks is still asked while it answers: the list
// lags, and the endpoint's own report is better evidence.
func (l *endpointReader) listed(vms []router.VM, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, vm := range vms {
		e, known := l.endpoints[vm.Address]
		if !known {
			e = &readEndpoint{address: vm.Address}
			l.endpoints[vm.Address] = e
		}
		e.heard = now
	}
	for address, e := range l.endpoints {
		if now.Sub(e.heard) > router.DefaultForgetAfter {
			delete(l.endpoints, address)
		}
	}
}

func (l *endpointReader) known() []*readEndpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*readEndpoint, 0, len(l.endpoints))
	for _, e := range l.endpoints {
		all = append(all, e)
	}
	return all
}

// read asks all endpoints once, some at a time. A round that is still under way is not doubled.
func (l *endpointReader) read(ctx context.Context, now time.Time) {
	if !l.busy.TryLock() {
		return
	}
	go func() {
		defer l.busy.Unlock()
		var wg sync.WaitGroup
		slots := make(chan struct{}, reportReaders)
		for _, e := range l.known() {
			slots <- struct{}{}
			wg.Go(func() {
				l.ask(ctx, e, now)
				<-slots
			})
		}
		wg.Wait()
	}()
}

func (l *endpointReader) ask(ctx context.Context, e *readEndpoint, now time.Time) {
	err := l.askLoad(ctx, e.address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.performer.Post(reducer.EndpointConnectionRefused{Address: e.address})
	}
	if err != nil {
		return
	}
	l.mu.Lock()
	e.heard = now
	l.mu.Unlock()
	if now.Before(e.cacheFrom) {
		return
	}
	if !l.askCache(ctx, e) {
		e.cacheFrom = now.Add(cacheRetry)
	}
}

// StatusError tells that an endpoint answered a question with another status than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) }

// get reads a JSON report.
func (l *endpointReader) get(ctx context.Context, url string, report any) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := l.performer.cfg.Endpoints.Do(request)
	if err != nil {
		return err
	}
	defer drain(response)
	if response.StatusCode != http.StatusOK {
		return &StatusError{Status: response.StatusCode}
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(report)
}

func (l *endpointReader) askLoad(ctx context.Context, address string) error {
	var report endpointserver.LoadReport
	if err := l.get(ctx, "http://"+address+"/v1/load", &report); err != nil {
		return err
	}
	l.performer.Post(reducer.LoadReported{Address: address, Report: router.LoadReport{
		AsOf:    time.UnixMilli(report.AsOfMillis),
		Running: report.Running,
		Waiting: report.Waiting,
		Slots:   report.Slots,
		Leaving: report.Leaving,
	}})
	return nil
}

func (l *endpointReader) askCache(ctx context.Context, e *readEndpoint) bool {
	var page endpointserver.CacheEventPage
	if l.get(ctx, "http://"+e.address+"/v1/cacheEvents?from="+strconv.FormatInt(e.cacheNext, 10), &page) != nil {
		return false
	}
	restarted := page.Next < e.cacheNext
	e.cacheNext = page.Next
	if restarted {
		// The endpoint counts anew: what it has counted since its start is read from the beginning.
		e.cacheNext = 0
	}
	if len(page.Events) > 0 || restarted {
		l.performer.Post(cacheEventsOf(e.address, page))
	}
	return true
}

func cacheEventsOf(address string, page endpointserver.CacheEventPage) reducer.CacheEventsRead {
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
