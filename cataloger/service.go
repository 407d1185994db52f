package cataloger

import "time"

// StagePool says how the endpoints of a service that works on stages take calls. Each value is for one endpoint.
type StagePool struct {
	// Slots is how many calls an endpoint works on at a time, Queue how many more may wait there.
	Slots int
	Queue int
	// Batch is the most pieces of one call.
	Batch int
	// CallTime is what a call takes besides its pieces, ItemTime what a piece adds.
	CallOverhead time.Duration
	PieceTime    time.Duration
	// RoomBytes is the space for results that have not been freed.
	ResultSpaceBytes int64
	// ResultTTL is how long a result is kept that is not freed.
	ResultTTL time.Duration
	// LinkBytes is what an endpoint's link carries in a second; 0 where the configuration does not say.
	LinkBytesPerSecond int64
}

// CallDuration is the usual time of a call with n pieces.
func (p *StagePool) CallDuration(n int) time.Duration {
	return p.CallOverhead + time.Duration(n)*p.PieceTime
}

// FetchTime is how long an endpoint takes to fetch inputs of so many bytes; 0 where its link is not known.
func (p *StagePool) FetchTime(bytes int64) time.Duration {
	if p.LinkBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(p.LinkBytesPerSecond) * float64(time.Second))
}

// ModelPool says what a model engine holds.
type ModelPool struct {
	// Slots is how many requests run at a time in one engine.
	Slots int
	// CapacityTokens is the memory that running requests and cached prompt parts share.
	CapacityTokens int
}

// Service is a pool of endpoints that do the same work.
type Service struct {
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// ColdTime is how long an endpoint stays cold after its start, ColdPerSecond how many requests a second it bears
	// meanwhile. Both are 0 where the endpoints are never cold.
	ColdTime      time.Duration
	ColdPerSecond float64
	// MaxConnections is what one endpoint accepts from all entries together.
	MaxConnections int
	// Model is set for model engines, Stage for services that work on stages; neither for plain services.
	Model *ModelPool
	Stage *StagePool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority goes before the route's where HasPriority is set.
	Priority    int
	HasPriority bool
	// Homes are the regions that the account's requests may be served in; empty where all are.
	AllowedRegions []string
}
