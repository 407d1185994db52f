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

// trialReplyTimeout bounds the wait for the grant of a trial: many round trips.
const trialReplyTimeout = 150 * time.Millisecond

// trialCalls holds where the replies to this entry's calls for trials go, by the number of the call. The lock of the Forwarder
// guards it.
type trialCalls struct {
	waiting map[uint64]chan<- bool
	last    uint64
}

// takeTrial asks the entry that grants the trials of a part for one. It decides alone, so that there is one in the whole
// fleet at a time.
func (x *exchange) takeTrial(part quarantiner.Part, now time.Time) bool {
	f := x.f
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
	f.trialCalls.last++
	call := &carrier.TrialCall{CallID: f.trialCalls.last}
	for _, p := range x.parts {
		call.Parts = append(call.Parts, uint64(p))
	}
	reply := make(chan bool, 1)
	f.trialCalls.waiting[call.CallID] = reply
	send := f.sendTo(owner, call)
	f.mu.Unlock()
	defer f.withLock(func() []func() { delete(f.trialCalls.waiting, call.CallID); return nil })
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
	return f.partPeers.Tracks(peer) || !f.partPeers.HasEarlier()
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
	if waiting, known := f.trialCalls.waiting[m.CallID]; known {
		delete(f.trialCalls.waiting, m.CallID)
		waiting <- m.Granted
	}
}
