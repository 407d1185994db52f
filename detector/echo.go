package detector

import "time"

// trackedSteps is the number of own steps whose times are kept: at 50 ms per step, the last 12.8 s.
const trackedSteps = 256

// ackTracker tracks the time of the latest own step that any peer has reported back. Without it, an entry that
// receives from all peers but reaches none of them would keep handing itself out to callers.
type ackTracker struct {
	steppedAt [trackedSteps]time.Time
	newest    uint64
	ackedAt   time.Time
}

// recordStep stores the time of an own step.
func (a *ackTracker) recordStep(sequence uint64, now time.Time) {
	a.newest = sequence
	a.steppedAt[sequence%trackedSteps] = now
}

// recordAck records that a peer knows an own step. Steps whose times are no longer kept are ignored.
func (a *ackTracker) recordAck(sequence uint64) {
	if sequence > a.newest || a.newest-sequence >= trackedSteps {
		return
	}
	if at := a.steppedAt[sequence%trackedSteps]; at.After(a.ackedAt) {
		a.ackedAt = at
	}
}
