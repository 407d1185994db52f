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

## The forwarding path (geraniumline forward)

Measured apart from the survey above: Go benchmarks on 8 cores, and plays of the users' days on simulated VMs of 0.4 of a
core (7 entries) and 0.192 to 0.8 of a core (76 entries).

| what | figure | how it grows |
|---|---|---|
| an entry at 7 entries, 23 requests a second in all | 0.014 of a core, 8.7 MB | with its requests: some 4 ms of processor each |
| an entry at 76 entries, 278 requests a second in all | 0.030 of a core at the mean, 0.099 at the most, 15.9 MB | with its requests, and with the entries up to 20 |
| between zones, 76 entries in 4 zones, requests too | 0.88 GB in 45 s, 260 KB a second for each | halved (from 1.63 GB) by heartbeats to 10 instead of 20 peers a round |
| what it tells peers, all told in each round | 8.9 KB a second at 7, 43 at 20, 465 at 80 | a pulse of 15 bytes for each entry in each frame; above 20 peers 10 frames a round |
| a round of heartbeats | 11 us at 7, 46 at 20, 150 at 80 | with the entries |
| a choice of an endpoint | 1.9 us at 9, 10 at 90, 81 at 900 | 0.09 us for each endpoint of the pool |
| an ask for pieces | 2 us behind 10 groups, 4 behind 100, 28 behind 1,000 | 0.03 us for each group that waits |
| calls to the store | 205 in a day of 44 s at 7 entries | one reader, one waiting read of the configuration in 20 s for each entry, one write for each start |
| calls to the store in an outage of 9 s | 10 for each entry and topic (40 before) | failed readings are tried less and less, up to 2.4 s apart |
| questions in an outage of the store | 180 a round at 60 entries (2,525 before) | three for each entry, answered only with news |

At the aim's size these mechanisms miss: heartbeats that name each entry would take over 5 MB a second at 2,400 (budget
15 KB), and one collecting entry for each service would be asked 99,000 times a second. Planned, not built: membership and
duties by availability zone (80 entries see each other, a few speak for their zone), a service's endpoints divided among
collecting entries by zone, and a choice among a sample of a pool beside the prompt's homes.
`
