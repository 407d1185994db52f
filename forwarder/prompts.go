package forwarder

import (
	"time"

	"geraniumline/carrier"
	"geraniumline/meter"
	"geraniumline/selector"
	"geraniumline/switcher"
)

const (
	// minReportedTokens is the least size of the shared parts of a prompt that is reported. Shorter ones are read within a few
	// milliseconds.
	minReportedTokens = 500
	// minReportingShare is the least share of the live peers that must report for this entry to rely on their placements.
	minReportingShare = 0.5
)

// prompts holds placements of prompts. It answers the load of thousands of prompts that are each sent a few times: an entry
// alone meets most of them once.
type prompts struct {
	observations[carrier.PromptPlacement]
}

// add stores a placement by this entry.
func (p *prompts) add(choice *selector.Choice, parts []selector.Part, now time.Time) {
	if selector.SharedTokens(parts) < minReportedTokens {
		return
	}
	p.observations.add(carrier.PromptPlacement{
		ID:            choice.Endpoint.ID,
		StartedMillis: toUnixMillis(choice.Endpoint.Started),
		Sequence:      p.next(),
		Prefixes:      selector.SharedPrefixes(parts),
	}, now)
}

// unapplied returns those of a peer's placements that have not been applied yet, and marks them as applied.
func (p *prompts) unapplied(peer string, incarnation uint64, list []carrier.PromptPlacement) []carrier.PromptPlacement {
	return p.observations.unapplied(peer, incarnation, list, func(m *carrier.PromptPlacement) uint64 { return m.Sequence })
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
