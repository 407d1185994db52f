package surveyor

import "fmt"

// pageHead opens docs/CAPACITY.md.
var pageHead = fmt.Sprintf(`# Capacity

The size to design for, from the users' letter: %d entries before %d engines in %d regions with %d availability
zones, %d client accounts, %d models, %d requests a second at the peak, %d changes of configuration a day in force
everywhere within %d s. For control a node may spend %.1f%% of a core, %d MB and %d KB a second. What runs today, 7 entries
before some 30 endpoints, comes first; this page says what holds at the size aimed at, and what does not yet.

What the letter does not say is assumed: %.0f%% of requests must not be repeated; changes come %d times faster than the
day's mean in their busiest hour; %d heartbeats a second; an account is told of %d entries; a request is in an entry for %d s;
a key is remembered for %d s.

`, aimNodes, aimEngines, aimRegions, aimZones, aimAccounts, aimModels, aimRequestsPerSec, aimChangesADay, budgetForceSecs, budgetCorePercent,
	budgetMegabytes, budgetKilobytes, 100*assumedSideEffects, assumedPeak, assumedHeartbeats, assumedEntriesOfAccount, assumedInFlightSecs, keyHorizonSecs)

// pageFoot closes docs/CAPACITY.md.
const pageFoot = `
## How to read this

- Figures per entry are slopes times counts; intercepts are the process itself, and are in the idle figures above.
- "Planned" mechanisms are not built: their lines are worked out from the slopes of today's code, not run.
- In force within 19 s: measured at 7 entries only (docs/PROOFS.md). At 2,400 the path is log, one reader for each
  zone, peers of the zone: two more hops than today. Not measured.
- Resident memory of a Go process is more than the heap that the slopes count. The idle figures show it.
- Losses of regions from each other: each region has a log of its own in this plan, and accounts belong to one
  region at a time. Moving an account between regions is not designed yet.
`
