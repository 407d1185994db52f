package faker

import (
	"context"
	"sync"
	"time"

	"geraniumline/endpointserver"
)

const maxLoadSamples = 65_536

type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// loadHistory stores past load samples, for lookup by time.
type loadHistory struct {
	mu      sync.Mutex
	samples []loadSample
}

func (h *loadHistory) record(now time.Time, running, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) >= maxLoadSamples {
		h.samples = append(h.samples[:0:0], h.samples[maxLoadSamples/2:]...)
	}
	h.samples = append(h.samples, loadSample{at: now, running: running, waiting: waiting})
}

func (h *loadHistory) at(cutoff time.Time) loadSample {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(cutoff) {
			return h.samples[i]
		}
	}
	return loadSample{}
}

// GetLoad returns the load as of one report lag ago. Its error is always nil.
func (e *Endpoint) GetLoad(context.Context) (*endpointserver.LoadReport, error) {
	faults := e.faults.get()
	lag := e.cfg.LoadLag
	if faults.LoadLagMillis > 0 {
		lag = time.Duration(faults.LoadLagMillis) * time.Millisecond
	}
	asOf := time.Now().Add(-lag)
	sample := e.load.at(asOf)
	return &endpointserver.LoadReport{
		AsOfMillis: asOf.UnixMilli(),
		Running:    sample.running,
		Waiting:    sample.waiting,
		Slots:      e.cfg.Slots,
		Leaving:    faults.Leaving,
	}, nil
}
