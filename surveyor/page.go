package surveyor

import (
	"fmt"
	"strings"
)

// The size that the system is designed for, from the users' letter.
const (
	aimNodes          = 2400
	aimEngines        = 10_000
	aimAccounts       = 43_000
	aimChangesADay    = 62_000
	aimZones          = 29
	aimRegions        = 10
	aimRequestsPerSec = 99_000
	aimModels         = 34

	// The budget of control of one node.
	budgetCorePercent = 2.1
	budgetMegabytes   = 32
	budgetKilobytes   = 15
	budgetForceSecs   = 19
)

// What is assumed where the letter gives no number. Each is said on the page.
const (
	// assumedSideEffects is the part of requests that must not be repeated.
	assumedSideEffects = 0.10
	// assumedPeak is how much faster than the day's mean changes come in their busiest hour.
	assumedPeak = 10
	// assumedHeartbeats is heartbeats a second.
	assumedHeartbeats = 5
	// assumedEntriesOfAccount is how many entries an account is told of.
	assumedEntriesOfAccount = 5
	// assumedInFlightSecs is how long a request is in an entry.
	assumedInFlightSecs = 3
	// keyHorizonSecs is the horizon of keys by default.
	keyHorizonSecs = 3600
	// gossipTargets is the mean of the heartbeats that an entry sends a second with a fan-out of 3 and 2 relays for
	// each zone, from the detector's trial of 240 entries (docs/dev/PEERS.md).
	gossipTargets = 2.6
	// claimStreams is how many streams a region's log splits its keys over.
	claimStreams = 16

	bytesInMegabyte = 1 << 20
	bytesInKilobyte = 1024
	daySeconds      = 86_400
	microsInSecond  = 1e6
)

// line is one mechanism's demand on one node at the size aimed at.
type line struct {
	mechanism string
	built     string
	working   string
	megabytes float64
	kilobytes float64
	percent   float64
}

func (s Survey) megabytes(name string, n float64) float64 {
	return s.Find(name).Slope * n / bytesInMegabyte
}

func (s Survey) kilobytes(name string, perSecond float64) float64 {
	return s.Find(name).Slope * perSecond / bytesInKilobyte
}

func (s Survey) percent(name string, perSecond float64) float64 {
	return 100 * s.Find(name).Slope * perSecond / microsInSecond
}

const changesPerSecond = float64(aimChangesADay) / daySeconds

// asBuilt is what a node would need if today's mechanisms were run at the size aimed at as they are.
func (s Survey) asBuilt() []line {
	claims := aimRequestsPerSec * assumedSideEffects
	return []line{
		{"every contract at every entry", "built", fmt.Sprintf("%d contracts", aimAccounts),
			s.megabytes(ContractBytes, aimAccounts), s.kilobytes(ChangeBytes, changesPerSecond*assumedPeak), s.percent(ChangeMicros, changesPerSecond*assumedPeak)},
		{"every endpoint at every entry", "built", fmt.Sprintf("%d endpoints", aimEngines),
			s.megabytes(EndpointBytes, aimEngines), 0, 0},
		{"heartbeats between all entries", "built", fmt.Sprintf("%d entries, %d a second to each", aimNodes, assumedHeartbeats),
			s.megabytes(MemberBytes, aimNodes), s.kilobytes(HeartbeatBytes, aimNodes*aimNodes*assumedHeartbeats), s.percent(HeartbeatMicros, aimNodes*aimNodes*assumedHeartbeats)},
		{"every claim read by every entry", "built", fmt.Sprintf("%.0f claims a second, horizon %d s", claims, keyHorizonSecs),
			s.megabytes(ClaimBytes, claims*keyHorizonSecs), s.kilobytes(ClaimWireBytes, claims), s.percent(ClaimMicros, claims)},
	}
}

// asPlanned is what a node needs with the mechanisms that are planned for the size.
func (s Survey) asPlanned() []line {
	perZone := float64(aimNodes) / aimZones
	accounts := float64(aimAccounts) * assumedEntriesOfAccount / aimNodes
	endpoints := float64(aimEngines) / aimRegions
	perNode := float64(aimRequestsPerSec) / aimNodes
	claims := perNode * assumedSideEffects
	regionClaims := aimRequestsPerSec * assumedSideEffects / aimRegions
	streamClaims := regionClaims / claimStreams
	perRegion := float64(aimNodes) / aimRegions
	return []line{
		{"account subsets: an entry holds the contracts of the accounts that are told to use it, and asks a zone's holder for others", "planned",
			fmt.Sprintf("%.0f contracts in use", accounts),
			s.megabytes(ContractBytes, accounts) + s.megabytes(ContractLimitBytes, accounts), s.kilobytes(ChangeBytes, changesPerSecond*assumedPeak/aimZones*assumedEntriesOfAccount), s.percent(ChangeMicros, changesPerSecond*assumedPeak/aimZones)},
		{"configuration passed on by peers (records call), one reader of the log for each zone", "passing on is built, one reader planned",
			fmt.Sprintf("%.2f changes a second, %d times that at the peak", changesPerSecond, assumedPeak),
			0, s.kilobytes(ChangeBytes, changesPerSecond*assumedPeak), 0},
		{"endpoints of the own region only", "planned", fmt.Sprintf("%.0f endpoints", endpoints),
			s.megabytes(EndpointBytes, endpoints), s.kilobytes(EndpointLoadBytes, endpoints/perZone*assumedHeartbeats), 0},
		{"gossip with zone relays (docs/dev/PEERS.md), in one group for each region", "gossip is built and off, groups planned",
			fmt.Sprintf("%.0f entries in a region, %.1f targets, once a second", perRegion, gossipTargets),
			s.megabytes(MemberBytes, perRegion), gossipTargets * s.Find(HeartbeatBytes).At(perRegion) / bytesInKilobyte, s.percent(HeartbeatMicros, gossipTargets*perRegion)},
		{"limits: uses only of accounts in use, to the entries that share them", "grouping planned", fmt.Sprintf("%.0f accounts, %d entries each", accounts, assumedEntriesOfAccount),
			0, s.kilobytes(AccountUseBytes, accounts), s.percent(AccountUseMicros, accounts*assumedEntriesOfAccount)},
		{"claims: a log for each region, its keys split over 16 streams, each read by its holders in the zones; other entries ask them", "planned",
			fmt.Sprintf("%.0f claims a second from a node, %.0f a second in a stream", claims, streamClaims),
			s.megabytes(ClaimBytes, streamClaims*keyHorizonSecs/6), s.kilobytes(ClaimWireBytes, streamClaims), s.percent(ClaimMicros, streamClaims)},
	}
}

// Page is docs/CAPACITY.md.
func (s Survey) Page() string {
	var b strings.Builder
	b.WriteString(pageHead)
	fmt.Fprintf(&b, "Measured with %s on %d cores, shared with other work. `make capacity` measures again and rewrites this page\nand `docs/capacity.json`; CI compares the two.\n\n", s.Go, s.Cores)
	b.WriteString("## Slopes\n\n| name | for each | unit | slope | intercept | r2 | sizes |\n|---|---|---|---|---|---|---|\n")
	for _, slope := range s.Slopes {
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g | %.4g | %.3f | %s |\n", slope.Name, slope.Per, slope.Unit, slope.Slope, slope.Intercept, slope.R2, sizes(slope.Sizes))
	}
	s.writeRoles(&b)
	b.WriteString("\n## An entry, with today's mechanisms at that size\n\nThis is what stands in the way: the mechanisms that serve seven entries, run at the size aimed at as they are.\n\n")
	writeLines(&b, s.asBuilt())
	b.WriteString("\n## An entry, with the mechanisms planned for that size\n\n")
	writeLines(&b, s.asPlanned())
	b.WriteString(pageFoot)
	return b.String()
}

// writeRoles gives what the data path and the shared services see.
func (s Survey) writeRoles(b *strings.Builder) {
	perNode := float64(aimRequestsPerSec) / aimNodes
	inFlight := perNode * assumedInFlightSecs
	regionClaims := aimRequestsPerSec * assumedSideEffects / aimRegions
	appends := float64(aimNodes) / aimRegions * 25
	b.WriteString("\n## Roles\n\n| role | state | messages a second | processor | memory | mechanism |\n|---|---|---|---|---|---|\n")
	fmt.Fprintf(b, "| entry, data path | %.0f requests in flight | %.0f requests | %.2f%% of a core for the core's steps | %.2f MB in the core | one reducer; effects as data (built) |\n",
		inFlight, perNode, s.percent(RequestMicros, perNode), s.megabytes(RequestBytes, inFlight))
	fmt.Fprintf(b, "| entry, choice of endpoint | %d endpoints | %.0f choices | %.3f%% of a core | %.2f MB | choice among a few at random (built) |\n",
		aimEngines/aimRegions, perNode*4, 100*s.Find(ChooseMicros).At(aimEngines)*perNode*4/microsInSecond, s.megabytes(EndpointBytes, aimEngines/aimRegions))
	fmt.Fprintf(b, "| log of a region, claims | %.0f claims in a horizon | %.0f claims; %.0f appends if each entry batched for itself (25 a second each), %d with one batching duty for each stream | the platform's | the platform's | claim by log order (built), duty for each stream (planned) |\n",
		regionClaims*keyHorizonSecs, regionClaims, appends, claimStreams*25)
	fmt.Fprintf(b, "| log, configuration | %d contracts, %d models | %.2f changes, %.1f KB at the peak | the platform's | the platform's | compare and set by offset, snapshots (built) |\n",
		aimAccounts, aimModels, changesPerSecond, s.kilobytes(ChangeBytes, changesPerSecond*assumedPeak))
	fmt.Fprintf(b, "| holder of all contracts in a zone | %d contracts | %.1f changes at the peak | %.3f%% of a core | %.1f MB | full fold (built), a holder for each zone (planned) |\n",
		aimAccounts, changesPerSecond*assumedPeak, s.percent(ChangeMicros, changesPerSecond*assumedPeak), s.megabytes(ContractBytes, aimAccounts))
}

func sizes(values []float64) string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = fmt.Sprintf("%.0f", v)
	}
	return strings.Join(texts, ", ")
}

func writeLines(b *strings.Builder, lines []line) {
	b.WriteString("| mechanism | state | worked out for | MB | KB/s | % of a core |\n|---|---|---|---|---|---|\n")
	var total line
	for _, l := range lines {
		fmt.Fprintf(b, "| %s | %s | %s | %.2f | %.2f | %.3f |\n", l.mechanism, l.built, l.working, l.megabytes, l.kilobytes, l.percent)
		total.megabytes += l.megabytes
		total.kilobytes += l.kilobytes
		total.percent += l.percent
	}
	fmt.Fprintf(b, "| **sum** | | | %.2f | %.2f | %.3f |\n", total.megabytes, total.kilobytes, total.percent)
	fmt.Fprintf(b, "| **budget** | | | %d | %d | %.1f |\n", budgetMegabytes, budgetKilobytes, budgetCorePercent)
	fmt.Fprintf(b, "| **verdict** | | | %s | %s | %s |\n", verdict(total.megabytes, budgetMegabytes), verdict(total.kilobytes, budgetKilobytes), verdict(total.percent, budgetCorePercent))
}

func verdict(needed, budget float64) string {
	if needed <= budget {
		return "pass"
	}
	return fmt.Sprintf("miss, %.1f times", needed/budget)
}
