package faker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"geraniumline/platformserver"
)

const maxCountedModels = 1024

// WeightsConfig configures the weight store. Zero fields take the defaults given in brackets.
type WeightsConfig struct {
	// LoadsPerSecond limits the rate at which loads start [2], with a burst of Burst loads [2].
	LoadsPerSecond float64
	Burst          int
	// TransferTime is the duration of one load [300 ms].
	TransferTime time.Duration
	// Bytes is the size that the store reports for each model, in bytes [1 GiB].
	Bytes  int64
	Faults WeightFaults
}

// WeightFaults are the fault switches of the weight store stand-in.
type WeightFaults struct {
	Outage     Outage `json:"outage"`
	SlowMillis int64  `json:"slowMillis"`
}

func (f WeightFaults) check() error {
	return firstError(f.Outage.check(), checkNotNegative("slowMillis", f.SlowMillis))
}

// WeightLedger counts the loads that were started, by model@version, and those refused by the rate limit.
type WeightLedger struct {
	Loads       map[string]int64 `json:"loads"`
	RateLimited int64            `json:"rateLimited"`
}

// Weights is a running stand-in for the rate-limited weight store.
type Weights struct {
	unimplemented
	cfg     WeightsConfig
	faults  *switches[WeightFaults]
	limiter *rate.Limiter
	handler http.Handler
	mu      sync.Mutex
	ledger  WeightLedger
}

// NewWeights returns a weight store that contains every model.
func NewWeights(cfg WeightsConfig) *Weights {
	cfg.LoadsPerSecond = valueOrDefault(cfg.LoadsPerSecond, 2)
	cfg.Burst = valueOrDefault(cfg.Burst, 2)
	cfg.TransferTime = valueOrDefault(cfg.TransferTime, 300*time.Millisecond)
	cfg.Bytes = valueOrDefault(cfg.Bytes, 1<<30)
	s := &Weights{
		cfg:     cfg,
		faults:  newSwitches(cfg.Faults),
		limiter: rate.NewLimiter(rate.Limit(cfg.LoadsPerSecond), cfg.Burst),
		ledger:  WeightLedger{Loads: make(map[string]int64)},
	}
	mux := newPlatformMux(s)
	handleSwitches(mux, s.faults, WeightFaults.check)
	mux.HandleFunc("GET "+ledgerPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Ledger())
	})
	s.handler = mux
	return s
}

// Handler returns the HTTP handler of the store and its control paths.
func (s *Weights) Handler() http.Handler { return s.handler }

// SetFaults replaces all fault switches.
func (s *Weights) SetFaults(faults WeightFaults) { s.faults.set(faults) }

// Ledger returns a copy of the counters since the start.
func (s *Weights) Ledger() WeightLedger {
	s.mu.Lock()
	defer s.mu.Unlock()
	ledger := WeightLedger{Loads: make(map[string]int64, len(s.ledger.Loads)), RateLimited: s.ledger.RateLimited}
	for model, n := range s.ledger.Loads {
		ledger.Loads[model] = n
	}
	return ledger
}

// GetWeights simulates the transfer of a model's weights and returns after the transfer time. It returns
// a PlatformError during an outage or over the rate limit.
func (s *Weights) GetWeights(
	ctx context.Context, params platformserver.GetWeightsParams,
) (*platformserver.Weights, error) {
	err := failInOutage(ctx, s.faults, func(f WeightFaults) Outage { return f.Outage })
	if err != nil {
		return nil, err
	}
	faults := s.faults.get()
	if err := s.startLoad(params, time.Now()); err != nil {
		return nil, err
	}
	if err := sleep(ctx, s.cfg.TransferTime+millis(faults.SlowMillis)); err != nil {
		return nil, err
	}
	return &platformserver.Weights{Model: params.Model, Version: params.Version, Bytes: s.cfg.Bytes}, nil
}

func (s *Weights) startLoad(params platformserver.GetWeightsParams, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	reservation := s.limiter.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		s.ledger.RateLimited++
		return &PlatformError{
			Code:             codeRateLimited,
			Message:          "too many loads",
			RetryAfterMillis: wait.Milliseconds() + 1,
		}
	}
	model := params.Model + "@" + params.Version
	if _, known := s.ledger.Loads[model]; known || len(s.ledger.Loads) < maxCountedModels {
		s.ledger.Loads[model]++
	}
	return nil
}
