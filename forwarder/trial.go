package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/detector"
	"geraniumline/hasher"
	"geraniumline/meter"
	"geraniumline/quarantiner"
)

const (
	// trialReplyTimeout bounds the wait for the grant of a trial: many round trips.
	trialReplyTimeout = 150 * time.Millisecond
	// partSettleTime is how long this entry's parts must be unchanged before it sends all of them to a peer that knows others:
	// changes reach all peers within some rounds of heartbeats.
	partSettleTime = 4 * heartbeatInterval
	// partRepairInterval is the least time between two such messages to one peer, and maxPartRepairs the number of them between
	// two heartbeats.
	partRepairInterval = time.Second
	maxPartRepairs     = 8
)

// partPeers is what this entry knows of its peers with regard to parts of prompts that crash endpoints. The lock of the
// Forwarder guards it.
type partPeers struct {
	// tracks holds the peers heard directly whose release tracks parts, with the time at which all parts were last sent to
	// each.
	tracks map[string]time.Time
	// earlier holds the peers heard directly whose release doesn't track parts.
	earlier map[string]bool
	// repairs counts the peers that all parts were sent to since the last heartbeat.
	repairs int
	// calls holds where the replies to this entry's calls for trials go, by the number of the call.
	calls    map[uint64]chan<- bool
	lastCall uint64
}

func newPartPeers() partPeers {
	return partPeers{tracks: make(map[string]time.Time), earlier: make(map[string]bool), calls: make(map[uint64]chan<- bool)}
}

// forget drops what is known of a peer.
func (p *partPeers) forget(peer string) {
	delete(p.tracks, peer)
	delete(p.earlier, peer)
}

// takeTrial asks the entry that grants the trials of a part for one. It decides alone, so that there is one in the whole
// fleet at a time.
func (x *exchange) takeTrial(part quarantiner.Part) bool {
	f, now := x.f, time.Now()
	f.mu.Lock()
	owner := f.trialOwner(part)
	if owner == f.cfg.Name {
		granted := f.grantTrial(x.parts, now)
		f.mu.Unlock()
		x.logTrial(part, owner, granted)
		return granted
	}
	if !f.grantsTrials(owner) {
		f.mu.Unlock()
		x.logTrial(part, owner, false)
		return false
	}
	f.partPeers.lastCall++
	call := &carrier.TrialCall{CallID: f.partPeers.lastCall}
	for _, p := range x.parts {
		call.Parts = append(call.Parts, uint64(p))
	}
	reply := make(chan bool, 1)
	f.partPeers.calls[call.CallID] = reply
	send := f.sendTo(owner, call)
	f.mu.Unlock()
	defer f.withLock(func() []func() { delete(f.partPeers.calls, call.CallID); return nil })
	send()
	timer := time.NewTimer(trialReplyTimeout)
	defer timer.Stop()
	granted := false
	select {
	case granted = <-reply:
	case <-timer.C:
	case <-x.ctx.Done():
	}
	x.logTrial(part, owner, granted)
	return granted
}

func (x *exchange) logTrial(part quarantiner.Part, owner string, granted bool) {
	outcome := trialDenied
	if granted {
		outcome = trialGranted
	}
	x.f.cfg.Meter.Counter(meter.PartTrials, outcome).Inc(1)
	x.f.logSampled("trial of a part of prompts",
		zap.String("request", x.req.ID), zap.String("part", formatPart(part)), zap.String("owner", owner), zap.Bool("granted", granted))
}

// Label values of the counter of trials.
const (
	trialGranted = "granted"
	trialDenied  = "denied"
)

// trialOwner returns the entry that grants the trials of a part. The lock must be held.
func (f *Forwarder) trialOwner(part quarantiner.Part) string {
	names := []string{f.cfg.Name}
	for m := range f.detector.All() {
		if m.Name != f.cfg.Name && m.State == detector.Live {
			names = append(names, m.Name)
		}
	}
	return hasher.Top(uint64(part), names, 1)[0]
}

// grantsTrials reports whether a peer's release grants trials. Of a peer that was not heard directly this is only known if
// all that were do. The lock must be held.
func (f *Forwarder) grantsTrials(peer string) bool {
	_, tracks := f.partPeers.tracks[peer]
	return tracks || len(f.partPeers.earlier) == 0
}

// grantTrial grants a trial of parts if one is due. The lock must be held.
func (f *Forwarder) grantTrial(parts []quarantiner.Part, now time.Time) bool {
	return f.parts.TakeTrial(parts, f.random.Uint64(), now)
}

// answerTrialCall answers a peer's call for a trial. The lock must be held.
func (f *Forwarder) answerTrialCall(from string, m *carrier.TrialCall, now time.Time) []func() {
	parts := make([]quarantiner.Part, len(m.Parts))
	for i, part := range m.Parts {
		parts[i] = quarantiner.Part(part)
	}
	return []func(){f.sendTo(from, &carrier.TrialReply{CallID: m.CallID, Granted: f.grantTrial(parts, now)})}
}

// deliverTrialReply passes the reply to a call for a trial to the request that waits for it. The lock must be held.
func (f *Forwarder) deliverTrialReply(m *carrier.TrialReply) {
	if waiting, known := f.partPeers.calls[m.CallID]; known {
		delete(f.partPeers.calls, m.CallID)
		waiting <- m.Granted
	}
}

// partChanges returns the changes of parts to send to peers, or nil. The lock must be held.
func (f *Forwarder) partChanges(now time.Time) *carrier.PartCrashes {
	f.partPeers.repairs = 0
	f.broken.expire(now)
	f.parts.Expire(now)
	list := f.parts.Changes(now)
	if len(list) == 0 {
		return nil
	}
	return &carrier.PartCrashes{Parts: list}
}

// partTargets returns the peers that changes of parts are sent to: all whose release tracks parts, or some of many, which
// pass on what is new to them. Not all peers that heartbeats go to are known to track them. The lock must be held.
func (f *Forwarder) partTargets() []string {
	var targets []string
	for m := range f.detector.All() {
		if _, tracks := f.partPeers.tracks[m.Name]; tracks && f.isRunningPeer(m) {
			targets = append(targets, m.PeerAddress)
		}
	}
	if len(targets) <= fullRoundPeers {
		return targets
	}
	f.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:heartbeatsPerRound]
}

// applyPartSum compares a peer's checksum of parts with this entry's, and sends all parts to a peer that knows others: one
// that has just started, or that has missed a change. The lock must be held.
func (f *Forwarder) applyPartSum(from string, sum uint32, now time.Time) []func() {
	if sum == 0 {
		f.partPeers.forget(from)
		f.partPeers.earlier[from] = true
		return nil
	}
	delete(f.partPeers.earlier, from)
	sentAt := f.partPeers.tracks[from]
	f.partPeers.tracks[from] = sentAt
	unsettled := now.Sub(f.parts.ChangedAt()) < partSettleTime
	if sum == f.parts.Sum() || unsettled || now.Sub(sentAt) < partRepairInterval || f.partPeers.repairs >= maxPartRepairs {
		return nil
	}
	all := f.parts.All(now)
	if len(all) == 0 {
		return nil
	}
	f.partPeers.tracks[from] = now
	f.partPeers.repairs++
	return []func(){f.sendTo(from, &carrier.PartCrashes{Parts: all})}
}

// applyPartCrashes applies a peer's parts of prompts that crash endpoints. The lock must be held.
func (f *Forwarder) applyPartCrashes(m *carrier.PartCrashes, now time.Time) {
	f.logPartChanges(f.parts.Merge(m.Parts, now))
}
