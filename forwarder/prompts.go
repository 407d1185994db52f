package forwarder

import (
	"time"

	"geraniumline/carrier"
	"geraniumline/meter"
	"geraniumline/selector"
	"geraniumline/switcher"
)

const (
	// promptWindow is how long a placement is reported. Within it, each peer receives a report, also where reports go to a
	// part of the peers in each round.
	promptWindow = time.Second
	// maxPrompts bounds the placements in one report. An entry that makes more reports the newest ones.
	maxPrompts = 128
	// minReportedTokens is the least size of the shared parts of a prompt that is reported. Shorter ones are read within a few
	// milliseconds.
	minReportedTokens = 500
	// minReportingShare is the least share of the live peers that must report for this entry to rely on their placements.
	minReportingShare = 0.5
)

// prompts holds this entry's recent placements of prompts, and which placements of peers it has applied. It answers the load of
// thousands of prompts that are each sent a few times: an entry alone meets most of them once.
type prompts struct {
	sequence uint64
	recent   []recentPrompt
	applied  map[string]appliedPrompts
}

type recentPrompt struct {
	placement carrier.PromptPlacement
	at        time.Time
}

// appliedPrompts is the number of a peer's last placement that was applied.
type appliedPrompts struct {
	incarnation uint64
	sequence    uint64
}

// add stores a placement by this entry.
func (p *prompts) add(choice *selector.Choice, parts []selector.Part, now time.Time) {
	if selector.SharedTokens(parts) < minReportedTokens {
		return
	}
	p.sequence++
	p.recent = append(p.recent, recentPrompt{at: now, placement: carrier.PromptPlacement{
		ID:            choice.Endpoint.ID,
		StartedMillis: toUnixMillis(choice.Endpoint.Started),
		Sequence:      p.sequence,
		Prefixes:      selector.SharedPrefixes(parts),
	}})
	if len(p.recent) > maxPrompts {
		p.recent = p.recent[len(p.recent)-maxPrompts:]
	}
}

// report returns the placements of the last moment.
func (p *prompts) report(now time.Time) []carrier.PromptPlacement {
	for len(p.recent) > 0 && now.Sub(p.recent[0].at) > promptWindow {
		p.recent = p.recent[1:]
	}
	list := make([]carrier.PromptPlacement, len(p.recent))
	for i, r := range p.recent {
		list[i] = r.placement
	}
	return list
}

// unapplied returns those of a peer's placements that have not been applied yet, and marks them as applied. A peer that has
// restarted numbers its placements from the start.
func (p *prompts) unapplied(peer string, incarnation uint64, list []carrier.PromptPlacement) []carrier.PromptPlacement {
	applied := p.applied[peer]
	if applied.incarnation != incarnation {
		applied = appliedPrompts{incarnation: incarnation}
	}
	var fresh []carrier.PromptPlacement
	last := applied.sequence
	for _, m := range list {
		if m.Sequence > applied.sequence {
			fresh = append(fresh, m)
			last = max(last, m.Sequence)
		}
	}
	applied.sequence = last
	if p.applied == nil {
		p.applied = make(map[string]appliedPrompts)
	}
	p.applied[peer] = applied
	return fresh
}

// forget drops the state of peers that are no longer known.
func (p *prompts) forget(known func(peer string) bool) {
	for peer := range p.applied {
		if !known(peer) {
			delete(p.applied, peer)
		}
	}
}

// countPrompt counts a call by whether its endpoint has to read the shared parts of the prompt.
func (f *Forwarder) countPrompt(choice *selector.Choice, parts []selector.Part) {
	shared := selector.SharedTokens(parts)
	if shared == 0 {
		return
	}
	name := meter.ForwardPromptsRead
	if choice.Cached >= shared {
		name = meter.ForwardPromptsCached
	}
	f.cfg.Meter.Counter(name, choice.Endpoint.Service).Inc(1)
}

// applyPrompts applies a peer's placements of prompts. The lock must be held.
func (f *Forwarder) applyPrompts(from string, list []carrier.PromptPlacement) {
	member, known := f.detector.Member(from)
	if !known || len(list) == 0 {
		return
	}
	for _, m := range f.prompts.unapplied(from, member.Incarnation, list) {
		f.selector.RecordPeerPrompt(m.ID, fromUnixMillis(m.StartedMillis), m.Prefixes)
	}
}

// updatePromptsKnown sets whether this entry may rely on its peers' placements. An entry that hears few of its peers takes
// prompts for cached at their homes. The lock must be held.
func (f *Forwarder) updatePromptsKnown(livePeers int) {
	f.prompts.forget(func(peer string) bool { _, known := f.detector.Member(peer); return known })
	known := !f.cfg.Disabled.Has(switcher.PromptReports) && livePeers > 0 && livePeers <= maxReportPeers && float64(len(f.reportedAt)) >= minReportingShare*float64(livePeers)
	f.selector.SetPromptsKnown(known)
	reported := int64(0)
	if known {
		reported = 1
	}
	f.cfg.Meter.Gauge(meter.PromptsReported).Update(reported)
}
