package reducer

import (
	"slices"
	"strconv"
	"time"

	"geraniumline/carrier"
	"geraniumline/detector"
	"geraniumline/hasher"
	"geraniumline/quarantiner"
	"geraniumline/router"
)

const (
	// crashWindow is the time within which the losses of an endpoint's connections are one crash: addresses don't tell its
	// processes apart, and one that has crashed is back after seconds.
	crashWindow = 10 * time.Second
	// partPeersPerRound bounds the peers that changes of parts are sent to at a time. They pass on what is new to them.
	partPeersPerRound = 10
)

// parts returns the prefixes of the input of the request's current stage, which other inputs may share.
func (r *request) parts() []quarantiner.Part {
	prefixes := router.SharedPrefixes(r.input)
	parts := make([]quarantiner.Part, len(prefixes))
	for i, prefix := range prefixes {
		parts[i] = quarantiner.PartOf(r.currentStage().Pool, prefix)
	}
	return parts
}

// recordPartCrash counts the loss of an endpoint against the prefixes of an input that had no reply there.
func (c *Core) recordPartCrash(r *request, call *callState, now time.Time) {
	if call.nextSeq > 0 {
		return
	}
	process := quarantiner.ProcessOf(call.address, now.Truncate(crashWindow))
	c.logPartChanges(c.parts.RecordCrash(r.parts(), process, now))
}

// recordPartAnswer records that an endpoint began to reply to the request's current stage.
func (c *Core) recordPartAnswer(r *request, now time.Time) {
	if !c.parts.Empty() {
		c.logPartChanges(c.parts.RecordAnswer(r.parts(), now))
	}
}

// logPartChanges logs which prefixes of inputs are quarantined from now on, and which no longer.
func (c *Core) logPartChanges(changes []quarantiner.PartChange) {
	for _, change := range changes {
		from, to := "quarantined", "released"
		if change.Quarantined {
			from, to = "used", "quarantined"
		}
		c.emit(LogChange{Message: "prefix of inputs", Subject: strconv.FormatUint(uint64(change.Part), 16), From: from, To: to})
	}
}

// applyPartVerdict fails a request whose input has a prefix that crashes endpoints, and runs the trial of one isolated. It
// reports whether it did either.
func (c *Core) applyPartVerdict(r *request, now time.Time) bool {
	if c.parts.Empty() {
		return false
	}
	parts := r.parts()
	switch verdict := c.parts.Verdict(parts, now).(type) {
	case quarantiner.Refuse:
		c.parts.RecordRefusal(verdict.Part, now)
		c.failForPart(r, verdict.RetryAfter, now)
		return true
	case quarantiner.AwaitTrial:
		c.failForPart(r, verdict.Until.Sub(now), now)
		return true
	case quarantiner.SendAsTrial:
		if !c.grantsTrials(verdict.Part) || !c.parts.TakeTrial(parts, c.rand.Uint64(), now) {
			c.failForPart(r, crashWindow, now)
			return true
		}
		c.runIsolated(r, now)
		return true
	default:
		return false
	}
}

func (c *Core) failForPart(r *request, retryAfter time.Duration, now time.Time) {
	c.counters.RequestsQuarantined++
	c.fail(r, CodeQuarantined, "endpoints that ran inputs with the same beginning were lost", retryAfter, now)
}

// grantsTrials reports whether this entry runs the trials of a part: one entry does, so that there is one at a time.
func (c *Core) grantsTrials(part quarantiner.Part) bool {
	names := []string{c.cfg.Entry}
	for _, m := range c.detector.Members() {
		if m.Name != c.cfg.Entry && m.State == detector.Live {
			names = append(names, m.Name)
		}
	}
	return hasher.Top(uint64(part), names, 1)[0] == c.cfg.Entry
}

// sendPartChanges sends what has changed about parts to peers.
func (c *Core) sendPartChanges(now time.Time) {
	c.partPeers.BeginRound()
	c.parts.Expire(now)
	changes := c.parts.Changes(now)
	if len(changes) == 0 {
		return
	}
	var targets []string
	for _, m := range c.detector.Members() {
		if c.partPeers.Tracks(m.Name) && m.State != detector.Dead && m.State != detector.Stopped {
			targets = append(targets, m.PeerAddress)
		}
	}
	slices.Sort(targets)
	c.rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, address := range targets[:min(len(targets), partPeersPerRound)] {
		c.emit(SendPeer{Address: address, Message: &carrier.PartCrashes{Parts: changes}})
	}
}

// handlePartSum sends all parts to a peer whose checksum of them differs.
func (c *Core) handlePartSum(from carrier.Member, sum uint32, now time.Time) {
	if all := c.partPeers.Receive(from.Name, sum, c.parts, now); len(all) > 0 {
		c.emit(SendPeer{Address: from.PeerAddress, Message: &carrier.PartCrashes{Parts: all}})
	}
}
