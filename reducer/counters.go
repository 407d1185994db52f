package reducer

import "geraniumline/drainer"

// Busy tells whether any caller waits for this entry or anything is to be appended, so that time matters.
func (c *Core) Busy() bool {
	return len(c.requests) > 0 || len(c.asked) > 0 || len(c.publishes) > 0 || c.appending > 0 || c.batcher.Queued() > 0 ||
		c.drainer.Phase() != drainer.Serving
}

// Gauges are this core's present sizes.
type Gauges struct {
	InFlight     int
	ConfigOffset int64
	ClaimsOffset int64
	PeersLive    int
}

// Gauges gives this core's present sizes.
func (c *Core) Gauges() Gauges {
	return Gauges{
		InFlight:     len(c.requests),
		ConfigOffset: c.fold.Offset(),
		ClaimsOffset: c.table.Offset(),
		PeersLive:    c.liveEntries - 1,
	}
}

// Counters are this core's counts since its start. The performer copies them into the metrics registry.
type Counters struct {
	RequestsAnswered  uint64
	RequestsJoined    uint64
	StageCalls        uint64
	StageRetries      uint64
	StageHedges       uint64
	StageResumes      uint64
	PartsForeign      uint64
	PartsLate         uint64
	PartsOverlapping  uint64
	PartsAfterGap     uint64
	ClaimsSent        uint64
	ClaimsWon         uint64
	ClaimsLost        uint64
	ClaimsLate        uint64
	ClaimsRecordsBad  uint64
	ConfigRecordsBad  uint64
	ConfigAccepted    uint64
	ConfigConflicts   uint64
	ConfigInvalid     uint64
	OutcomesAsked     uint64
	OutcomesHandedOff uint64
	PoisonRefused     uint64
	ConfigFromPeers   uint64
	HeartbeatsSent    uint64
	HeartbeatsTaken   uint64
	PausesNoticed     uint64
	EndpointsEjected  uint64
	PoisonFound       uint64
	OrdersSent        uint64
	OrdersRefused     uint64
	OrdersUncertain   uint64
	LoadsOrdered      uint64
}
