package reducer

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumline/carrier"
	"geraniumline/detector"
	"geraniumline/drainer"
	"geraniumline/leaser"
	"geraniumline/placer"
	"geraniumline/publisher"
)

const (
	// orderInterval is the time between two decisions on orders to engines.
	orderInterval = 500 * time.Millisecond
	// readAssignmentInterval is the time between two reads of an engine's assignment.
	readAssignmentInterval = 2 * time.Second
	// minRereadInterval is the least time between two reads of all engines that failed calls cause.
	minRereadInterval = 200 * time.Millisecond
	// orderTimeout bounds one order. minOrderTime is the least time that must be left of the lease to begin one.
	orderTimeout = 2 * time.Second
	minOrderTime = 500 * time.Millisecond
	// peerDemandTTL is how long a peer's reported demand is used.
	peerDemandTTL = 5 * time.Second
)

// placedPool is the state of a pool whose engines are assigned models by a placement.
type placedPool struct {
	pool   string
	placer *placer.Placer
	// cannotServe is the placer's method value, kept to avoid an allocation at each choice of an endpoint.
	cannotServe func(address, model string, now time.Time) bool
	lastReads   map[string]time.Time
	// lastReread is when a failed call last caused a read of all engines.
	lastReread  time.Time
	peerDemands map[string]peerDemand
}

// peerDemand is the demand for a pool's models that a peer reported last.
type peerDemand struct {
	models []carrier.ModelDemand
	at     time.Time
}

func leaserConfig(cfg Config) leaser.Config {
	lease := cfg.Leaser
	lease.Entry = cfg.Entry
	lease.Incarnation = cfg.Incarnation
	return lease
}

func (c *Core) newPlacedPool(pool string) *placedPool {
	p := &placedPool{pool: pool, placer: placer.New(c.cfg.Placer), lastReads: map[string]time.Time{}, peerDemands: map[string]peerDemand{}}
	p.cannotServe = p.placer.CannotServe
	return p
}

// updatePlacedPools reads the engines' assignments, bids for or renews the lease on each pool with a placement and
// sends the orders that are due.
func (c *Core) updatePlacedPools(now time.Time) {
	if now.Before(c.nextOrders) {
		return
	}
	c.nextOrders = now.Add(orderInterval)
	placed := map[string]bool{}
	for _, placement := range c.fold.Placements() {
		if placed[placement.Pool] {
			continue
		}
		placed[placement.Pool] = true
		p, known := c.placedPools[placement.Pool]
		if !known {
			p = c.newPlacedPool(placement.Pool)
			c.placedPools[placement.Pool] = p
		}
		c.updatePlacedPool(p, placement, now)
	}
	for pool, p := range c.placedPools {
		p.placer.SetPoolCount(len(placed))
		if !placed[pool] {
			delete(c.placedPools, pool)
		}
	}
}

func (c *Core) updatePlacedPool(p *placedPool, placement *publisher.Placement, now time.Time) {
	c.readAssignments(p, now)
	c.bidForLease(p.pool, now)
	own := c.modelDemand(p.pool)
	lease, held := c.leaser.Held(p.pool, now)
	if !held {
		c.sendDemand(p.pool, own)
		return
	}
	p.placer.ObserveDemand(p.totalDemand(own, now), now)
	if lease.Remaining < minOrderTime || c.drainer.Phase() != drainer.Serving {
		return
	}
	placerLease := placer.Lease{Fence: lease.Fence, Granted: lease.Granted}
	for _, order := range p.placer.Orders(placement, c.modelsInUse(p.pool), placerLease, now) {
		c.countOrder(&order)
		c.emit(OrderEngine{Pool: p.pool, Address: order.Address, State: order.State, Deadline: now.Add(min(lease.Remaining, orderTimeout))})
	}
}

func (c *Core) countOrder(order *placer.Order) {
	c.counters.OrdersSent++
	if order.Load {
		c.counters.LoadsOrdered++
	}
}

// readAssignments reads the engines' assignments: each at intervals, and sooner where an order's result is uncertain.
func (c *Core) readAssignments(p *placedPool, now time.Time) {
	addresses := c.router.PoolAddresses(p.pool)
	p.placer.SetEngines(addresses)
	for _, address := range p.placer.Unsettled() {
		if now.Sub(p.lastReads[address]) > orderInterval {
			p.lastReads[address] = time.Time{}
		}
	}
	reads := make(map[string]time.Time, len(addresses))
	for _, address := range addresses {
		reads[address] = p.lastReads[address]
		if now.Sub(reads[address]) < readAssignmentInterval || p.placer.OrderInFlight(address) {
			continue
		}
		reads[address] = now
		c.emit(ReadAssignment{Pool: p.pool, Address: address, RequestedAt: now})
	}
	p.lastReads = reads
}

// rereadAssignments reads all assignments of a pool when one of its engines failed a call: that engine may hold
// another model than before, and the model that the call needs may be elsewhere. The engine gets no calls until its
// assignment is read: a stage that is tried again could otherwise use up its attempts there before that.
func (c *Core) rereadAssignments(pool, address string, now time.Time) {
	p, placed := c.placedPools[pool]
	if !placed {
		return
	}
	p.placer.MarkDoubtful(address)
	p.lastReads[address] = time.Time{}
	if now.Sub(p.lastReread) < minRereadInterval {
		return
	}
	p.lastReread = now
	clear(p.lastReads)
	c.readAssignments(p, now)
}

// bidForLease appends to the leases stream if a bid or a renewal is due. An entry that can't read the stream does
// not bid, since it would not see its own record. Neither does one that is stopping, which leaves the lease to others.
func (c *Core) bidForLease(pool string, now time.Time) {
	health := c.streams[StreamLeases]
	if !health.caughtUp || health.failing || c.drainer.Phase() != drainer.Serving {
		return
	}
	data, id, due := c.leaser.AcquireOrRenew(pool, c.leaseRank(pool), now)
	if due {
		c.emit(Append{Stream: StreamLeases, BatchID: id, Data: data})
	}
}

// leaseRank returns this entry's rank among the live entries for a pool by rendezvous hashing, so that different
// entries send the orders of different pools. If entries disagree about which ones live, they may only bid at
// the same time; the log then decides.
func (c *Core) leaseRank(pool string) int {
	own := xxhash.Sum64String(pool + "/" + c.cfg.Entry)
	rank := 0
	for _, member := range c.detector.Members() {
		if member.State == detector.Live && xxhash.Sum64String(pool+"/"+member.Name) > own {
			rank++
		}
	}
	return rank
}

// foldLeases applies the records of a page to the leases.
func (c *Core) foldLeases(e LogRead, now time.Time) {
	if c.leaser.ResetOnGap(e.First, now) {
		c.emit(LogChange{Message: "log truncated leases before they were read", Subject: string(StreamLeases)})
	}
	for _, record := range e.Records {
		change, changed := c.leaser.Apply(record, now)
		if changed && c.streams[StreamLeases].caughtUp {
			c.emit(LogChange{Message: "orderer", Subject: change.Pool, To: change.Entry})
		}
	}
}

func (c *Core) handleAssignmentRead(e AssignmentRead, now time.Time) {
	if p, placed := c.placedPools[e.Pool]; placed {
		p.placer.ObserveState(e.Address, e.State, e.RequestedAt, now)
		c.dispatchQueued(e.Pool, now)
	}
}

func (c *Core) handleOrderEnded(e OrderEnded, now time.Time) {
	switch e.Result.(type) {
	case placer.Refused:
		c.counters.OrdersRefused++
	case placer.Uncertain:
		c.counters.OrdersUncertain++
	}
	if p, placed := c.placedPools[e.Pool]; placed {
		p.placer.RecordResult(e.Address, e.Result, now)
	}
}

// modelDemand returns the remaining work of this entry's requests for the pool's models, in endpoint milliseconds.
// It is summed in integers, since a floating-point sum would depend on the iteration order of the map.
func (c *Core) modelDemand(pool string) map[string]int64 {
	demand := map[string]int64{}
	for _, r := range c.requests {
		for i := r.stage; i < len(r.plan.pipeline.Stages); i++ {
			stage := &r.plan.pipeline.Stages[i]
			if stage.Pool == pool && stage.Model != "" {
				demand[stage.Model] += max(int64(c.expectedStageCost(r.plan, i)), 1)
			}
		}
	}
	return demand
}

// sendDemand sends this entry's demand to the holder of the pool's lease. No other entry needs it, so it is not
// part of the heartbeats.
func (c *Core) sendDemand(pool string, own map[string]int64) {
	holder, _ := c.leaser.Holder(pool)
	member, known := c.detector.Member(holder)
	if !known || member.State != detector.Live || holder == c.cfg.Entry || len(own) == 0 {
		return
	}
	message := &carrier.Demand{Pool: pool}
	for _, model := range sortedKeys(own) {
		message.Models = append(message.Models, carrier.ModelDemand{Model: model, Millis: own[model]})
	}
	c.emit(SendPeer{Address: member.PeerAddress, Message: message})
}

// handleDemand stores the demand that a peer reported.
func (c *Core) handleDemand(from string, message *carrier.Demand, now time.Time) {
	if p, placed := c.placedPools[message.Pool]; placed {
		p.peerDemands[from] = peerDemand{models: message.Models, at: now}
	}
}

// totalDemand returns the sum of this entry's demand and the recent demand of peers, by model.
func (p *placedPool) totalDemand(own map[string]int64, now time.Time) map[string]float64 {
	total := map[string]float64{}
	for model, millis := range own {
		total[model] = float64(millis)
	}
	for from, demand := range p.peerDemands {
		if now.Sub(demand.at) > peerDemandTTL {
			delete(p.peerDemands, from)
			continue
		}
		for _, model := range demand.models {
			total[model.Model] += float64(max(model.Millis, 0))
		}
	}
	return total
}

// modelsInUse returns the models of the pool that a pipeline in force names. Demand alone does not show them: an
// account whose requests other entries serve may need a model for which this entry has had no request.
func (c *Core) modelsInUse(pool string) map[string]bool {
	used := map[string]bool{}
	for _, pipeline := range c.fold.Pipelines() {
		for i := range pipeline.Stages {
			stage := &pipeline.Stages[i]
			if stage.Pool == pool && stage.Model != "" {
				used[stage.Model] = true
			}
		}
	}
	return used
}

func sortedKeys(m map[string]int64) []string { return slices.Sorted(maps.Keys(m)) }
