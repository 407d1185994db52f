package reducer

import "geraniumline/drainer"

// Busy reports whether the core has work that depends on time: requests in flight, pending queries or changes,
// records to append, or a planned stop.
func (c *Core) Busy() bool {
	return len(c.requests) > 0 || len(c.peerQueries) > 0 || len(c.pendingChanges) > 0 || c.claimAppendsInFlight > 0 || c.batcher.Queued() > 0 ||
		c.drainer.Phase() != drainer.Serving
}

// Gauges are the current sizes of a core's state.
type Gauges struct {
	InFlight     int
	ConfigOffset int64
	ClaimsOffset int64
	PeersLive    int
}

// Gauges returns the current sizes of the core's state.
func (c *Core) Gauges() Gauges {
	return Gauges{
		InFlight:     len(c.requests),
		ConfigOffset: c.fold.Offset(),
		ClaimsOffset: c.table.Offset(),
		PeersLive:    c.liveEntries - 1,
	}
}

// Counters are a core's counts since its start. The performer copies them to the metrics registry.
type Counters struct {
	RequestsAnswered     uint64
	RequestsJoined       uint64
	StageCalls           uint64
	StageRetries         uint64
	StageHedges          uint64
	StageResumes         uint64
	PartsMisdelivered    uint64
	PartsLate            uint64
	PartsOverlapping     uint64
	PartsAfterGap        uint64
	ClaimsSent           uint64
	ClaimsWon            uint64
	ClaimsLost           uint64
	ClaimsLate           uint64
	ClaimRecordsInvalid  uint64
	ConfigRecordsInvalid uint64
	ConfigAccepted       uint64
	ConfigConflicts      uint64
	ConfigInvalid        uint64
	OutcomesRequested    uint64
	OutcomesHandedOff    uint64
	RequestsQuarantined  uint64
	ConfigFromPeers      uint64
	HeartbeatsSent       uint64
	HeartbeatsReceived   uint64
	PausesDetected       uint64
	EndpointsEjected     uint64
	ContentsQuarantined  uint64
	OrdersSent           uint64
	OrdersRefused        uint64
	OrdersUncertain      uint64
	LoadsOrdered         uint64
}
