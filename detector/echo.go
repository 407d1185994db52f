package detector

import "time"

// echoSteps is how many of the newest own steps have their times kept: with steps of 50 ms, the last 12.8 s.
const echoSteps = 256

// echo tells when the newest own step was made that some peer has heard, from what peers say of this entry.
// Without it, an entry that hears all peers but that none hears would go on giving itself to callers.
type echo struct {
	madeAt  [echoSteps]time.Time
	newest  uint64
	heardAt time.Time
}

// made notes the time of an own step.
func (e *echo) made(sequence uint64, now time.Time) {
	e.newest = sequence
	e.madeAt[sequence%echoSteps] = now
}

// heard notes that a peer knows of an own step. Steps too old to have their times kept say nothing.
func (e *echo) heard(sequence uint64) {
	if sequence > e.newest || e.newest-sequence >= echoSteps {
		return
	}
	if at := e.madeAt[sequence%echoSteps]; at.After(e.heardAt) {
		e.heardAt = at
	}
}
