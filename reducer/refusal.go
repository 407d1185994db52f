package reducer

import (
	"time"

	"geraniumline/biller"
	"geraniumline/claimer"
	"geraniumline/detector"
	"geraniumline/scheduler"
)

// refusalQueryTimeout bounds the wait for peers' answers on whether a refused key has run there.
const refusalQueryTimeout = 300 * time.Millisecond

// refuseKey answers callers whose request with side effects is refused or given up before its claim was won.
//
// "Not run" is a statement about the key and not about this attempt: the caller may have sent the key to another
// entry before, where it ran. While the claims stream is current, the table shows that. While it is not, a caller
// that receives notRun might send a new key, and a side effect such as logging a ticket would happen twice. The
// peers are therefore queried, and if one that may have served the key can't answer, the answer is unknown.
func (c *Core) refuseKey(ids []uint64, refused refusedKey, failure Failure, now time.Time) {
	failure.Key = refused.key.Key
	for _, id := range ids {
		if failure.State != StateNotRun || c.claimsCurrent(now) && c.claimsComplete(refused.key) {
			c.answerRefusal(id, refused, failure)
			continue
		}
		query := &peerQuery{id: id, key: refused.key, refusedRequest: refused, refusal: &failure, peerLost: c.peerLostSince(refused.key)}
		c.queryPeers(query, now.Add(refusalQueryTimeout), now)
	}
}

// refusedKey holds the data of a refused request that its answer needs.
type refusedKey struct {
	key     claimer.Key
	digest  [32]byte
	urgency scheduler.Urgency
}

// answerRefusal answers a refused request and counts it by the state that its caller receives.
func (c *Core) answerRefusal(id uint64, refused refusedKey, failure Failure) {
	result := biller.NotRun
	if failure.State == StateUnknown {
		result = biller.Unknown
	}
	c.biller.CountOutcome(refused.key.Account, refused.urgency, result)
	c.emit(SendFailure{ID: id, Failure: failure})
}

// claimsCurrent reports whether the table holds the claims of all other entries except the newest.
func (c *Core) claimsCurrent(now time.Time) bool {
	health := c.streams[StreamClaims]
	return health.caughtUp && !health.failing && now.Sub(health.lastRead) < maxClaimsAge
}

// claimsComplete reports whether no claim for the key can have been missed. An entry that started when the log had
// already truncated its oldest records does not know the claims of that time.
func (c *Core) claimsComplete(key claimer.Key) bool {
	birth, err := claimer.KeyTime(key.Key)
	return err == nil && c.table.CheckVerifiable(birth) == nil
}

// maxClaimsAge is the longest time since the last read of the claims stream at which the table counts as current.
// A read waits up to a second for a record, so a healthy stream is read only a little less often than that.
const maxClaimsAge = 1500 * time.Millisecond

// peerLostSince reports whether an entry that can't be queried any more was alive when the key may have been used.
func (c *Core) peerLostSince(key claimer.Key) bool {
	birth, err := claimer.KeyTime(key.Key)
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

// finishRefusal answers a refused request according to the peers' answers.
func (c *Core) finishRefusal(query *peerQuery) {
	best := query.best
	switch {
	case best.State == StateAnswered && best.Digest != query.refusedRequest.digest:
		c.refuse(query.id, query.key.Key, keyReusedFailure())
	case best.State == StateAnswered:
		c.sendOutcome(query.id, query.key, best)
	case best.State == StateRunning || best.State == StateUnknown || query.peerLost || query.pendingReplies > 0:
		c.answerRefusal(query.id, query.refusedRequest, mayHaveRunFailure(query.key, query.refusal.RetryAfter))
	case c.beforeEra(query.key):
		c.answerRefusal(query.id, query.refusedRequest, mayHaveRunFailure(query.key, query.refusal.RetryAfter))
	default:
		c.answerRefusal(query.id, query.refusedRequest, *query.refusal)
	}
}

// beforeEra reports whether the log may have lost a claim of the key when it was restored from an older copy.
func (c *Core) beforeEra(key claimer.Key) bool {
	birth, err := claimer.KeyTime(key.Key)
	return err == nil && c.table.PredatesEra(birth)
}

// mayHaveRunFailure is the failure for a refused key that another entry may have served.
func mayHaveRunFailure(key claimer.Key, retryAfter time.Duration) Failure {
	return Failure{
		Code:       CodeMayHaveRun,
		Message:    "this attempt did not run, but another entry may have served the key, and the log can't be read to tell",
		State:      StateUnknown,
		Key:        key.Key,
		RetryAfter: retryAfter,
	}
}
