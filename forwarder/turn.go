package forwarder

import (
	"time"

	"geraniumline/selector"
)

// maxTurnWait bounds how long a request waits until an endpoint that has asked for fewer calls accepts one from this
// entry. A refused caller returns later than that.
const maxTurnWait = 150 * time.Millisecond

// awaitEndpoint selects the next endpoint for the request. If all endpoints have asked for fewer calls, it waits for the
// next one that accepts a call soon.
func (x *exchange) awaitEndpoint(query selector.Query) (selector.Choice, bool) {
	limit := time.Now().Add(maxTurnWait)
	for {
		now := time.Now()
		choice, found := x.chooseEndpoint(query, now)
		if found || !x.awaitTurn(limit, now) {
			return choice, found
		}
	}
}

// awaitTurn waits until an endpoint accepts a call from this entry again. It returns false at once if that is later than
// limit. now is the time at which none accepted one: at a later time, one may accept it already.
func (x *exchange) awaitTurn(limit, now time.Time) bool {
	x.f.mu.Lock()
	held, all := x.f.selector.Throttled(x.endpointQuery(selector.Query{}), now)
	x.f.mu.Unlock()
	if !all || !held.Local || held.Until.After(limit) || !now.Before(limit) {
		return false
	}
	timer := time.NewTimer(max(held.Until.Sub(now), time.Millisecond))
	defer timer.Stop()
	select {
	case <-x.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
