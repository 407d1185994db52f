package cataloger

import (
	"fmt"
	"time"
)

// StagePool describes the capacity of a stage service's endpoints. Each value applies to one endpoint.
type StagePool struct {
	// Slots is the number of calls that an endpoint processes at a time, Queue how many more can wait there.
	Slots int
	Queue int
	// Batch is the maximum number of pieces in one call.
	Batch int
	// CallOverhead is the fixed time of a call, PieceTime the additional time for each piece.
	CallOverhead time.Duration
	PieceTime    time.Duration
	// ResultSpaceBytes is the space for results that have not been freed.
	ResultSpaceBytes int64
	// ResultTTL is how long a result is kept if it is not freed.
	ResultTTL time.Duration
	// LinkBytesPerSecond is the bandwidth of an endpoint's link; 0 if it is not configured.
	LinkBytesPerSecond int64
}

// CallDuration returns the usual duration of a call with n pieces.
func (p *StagePool) CallDuration(n int) time.Duration {
	return p.CallOverhead + time.Duration(n)*p.PieceTime
}

// FetchTime returns how long an endpoint takes to fetch inputs of the given size in bytes, or 0 if its bandwidth is unknown.
func (p *StagePool) FetchTime(bytes int64) time.Duration {
	if p.LinkBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(p.LinkBytesPerSecond) * float64(time.Second))
}

// ModelPool describes the capacity of a model engine.
type ModelPool struct {
	// Slots is the number of requests that one engine runs at a time.
	Slots int
	// CapacityTokens is the memory, in tokens, that running requests and cached prompt parts share.
	CapacityTokens int
}

// Service is a set of endpoints that do the same work.
type Service struct {
	Name string
	// HealthPath is the path for health checks.
	HealthPath string
	// ColdTime is how long an endpoint stays cold after its start, ColdPerSecond the number of requests per second that it can
	// handle meanwhile. Both are 0 if the endpoints are never cold.
	ColdTime      time.Duration
	ColdPerSecond float64
	// MaxConnections is the number of connections that one endpoint accepts from all entries together.
	MaxConnections int
	// Model is set for model engines, Stage for stage services; neither is set for plain services.
	Model *ModelPool
	Stage *StagePool
}

// DefaultBodyBytes is the maximum size of a request body if the configuration has none.
const DefaultBodyBytes = 8 << 20

// Limits bounds the size and duration of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
}

// LimitError reports a missing limit, and the one that applies instead.
type LimitError struct {
	Field   string
	Applied int64
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("limit %s is missing, %d applies", e.Field, e.Applied)
}

// applyDefaults bounds what the configuration doesn't: an entry holds whole bodies in memory.
func (l *Limits) applyDefaults() error {
	if l.BodyBytes > 0 {
		return nil
	}
	l.BodyBytes = DefaultBodyBytes
	return &LimitError{Field: "BodyBytes", Applied: DefaultBodyBytes}
}
