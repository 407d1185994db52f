package reducer

import (
	"time"

	"geraniumline/biller"
	"geraniumline/claimer"
	"geraniumline/detector"
	"geraniumline/scheduler"
)

// refusalWait bounds how long peers may take to say whether a key has run at them.
const refusalWait = 300 * time.Millisecond

// refuseKey answers callers whose request with side effects is refused or given up before its claim was won.
//
// "Not run" speaks of the key, not of this attempt: the caller may have sent the key to another entry
// before, where it ran. While the claims stream is current the table would show that. While it is not, a
// caller told notRun would send a new key and have its ticket twice; so the peers are asked, and where one
// that may have served the key can't answer, the answer is unknown.
func (c *Core) refuseKey(ids []uint64, refused refusedKey, failure Failure, now time.Time) {
	failure.Key = refused.key.Key
	for _, id := range ids {
		if failure.State != StateNotRun || c.claimsCurrent(now) && c.provable(refused.key) {
			c.tellRefusal(id, refused, failure)
			continue
		}
		ask := &pendingAsk{id: id, key: refused.key, refused: refused, refusal: &failure, lost: c.lostSince(refused.key)}
		c.askPeers(ask, now.Add(refusalWait), now)
	}
}

// refusedKey is what is kept of a request that is refused.
type refusedKey struct {
	key     claimer.Key
	digest  [32]byte
	urgency scheduler.Urgency
}

// tellRefusal answers a refused request and counts it as what its caller was told.
func (c *Core) tellRefusal(id uint64, refused refusedKey, failure Failure) {
	result := biller.NotRun
	if failure.State == StateUnknown {
		result = biller.Unknown
	}
	c.biller.CountOutcome(refused.key.Account, refused.urgency, result)
	c.emit(SendFailure{ID: id, Failure: failure})
}

// claimsCurrent tells whether the table holds the claims of all other entries, but for the newest.
func (c *Core) claimsCurrent(now time.Time) bool {
	health := c.logs[StreamClaims]
	return health.caughtUp && !health.failing && now.Sub(health.readAt) < claimsAge
}

// provable tells whether no claim for the key can have been missed: an entry that started at a log whose oldest
// records were cut does not know the claims of that time.
func (c *Core) provable(key claimer.Key) bool {
	birth, err := claimer.Birth(key.Key)
	return err == nil && c.table.CheckProvable(birth) == nil
}

// claimsAge is the longest time since the claims stream was last read to its end. A reading waits a second
// for a record, so a healthy stream is never older than that by much.
const claimsAge = 1500 * time.Millisecond

// lostSince tells whether an entry that can't be asked any more was alive when the key may have been used.
func (c *Core) lostSince(key claimer.Key) bool {
	birth, err := claimer.Birth(key.Key)
	if err != nil {
		return false
	}
	for _, member := range c.detector.Members() {
		if member.State == detector.Dead && member.LastHeard.After(birth.Add(-claimer.MaxSkew)) {
			return true
		}
	}
	return false
}

// endRefusal answers a refused request by what the peers have said.
func (c *Core) endRefusal(ask *pendingAsk) {
	best := ask.best
	switch {
	case best.State == StateAnswered && best.Digest != ask.refused.digest:
		c.refuse(ask.id, ask.key.Key, keyReused())
	case best.State == StateAnswered:
		c.sendOutcome(ask.id, ask.key, best)
	case best.State == StateRunning || best.State == StateUnknown || ask.lost || ask.waiting > 0:
		c.tellRefusal(ask.id, ask.refused, mayHaveRun(ask.key, ask.refusal.RetryAfter))
	case c.beforeEra(ask.key):
		c.tellRefusal(ask.id, ask.refused, mayHaveRun(ask.key, ask.refusal.RetryAfter))
	default:
		c.tellRefusal(ask.id, ask.refused, *ask.refusal)
	}
}

// beforeEra tells whether the log may have lost a claim of the key when it returned from an older copy.
func (c *Core) beforeEra(key claimer.Key) bool {
	birth, err := claimer.Birth(key.Key)
	return err == nil && c.table.BeforeEra(birth)
}

// mayHaveRun is the truth about a refused key that another entry may have served.
func mayHaveRun(key claimer.Key, retryAfter time.Duration) Failure {
	return Failure{
		Code:       CodeMayHaveRun,
		Message:    "this attempt did not run, but another entry may have served the key, and the log can't be read to tell",
		State:      StateUnknown,
		Key:        key.Key,
		RetryAfter: retryAfter,
	}
}
