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
	// orderEvery is how often the orders to engines are decided.
	orderEvery = 500 * time.Millisecond
	// readAssignmentEvery is how often an engine is asked what it holds.
	readAssignmentEvery = 2 * time.Second
	// readAgainEvery bounds the readings of all engines after failed calls.
	readAgainEvery = 200 * time.Millisecond
	// orderTimeout bounds one order, and leastOrderTime is what must be left of the lease to begin one.
	orderTimeout   = 2 * time.Second
	leastOrderTime = 500 * time.Millisecond
	// demandKept is how long the demand that a peer tells is believed.
	demandKept = 5 * time.Second
)

// ordering is what the core knows of a pool whose engines a placement places.
type ordering struct {
	pool   string
	placer *placer.Placer
	// lacks is the placer's, kept so that no choice of an endpoint has to make it.
	lacks func(address, model string, now time.Time) bool
	asked map[string]time.Time
	// doubted is when a failed call last had all engines read.
	doubted time.Time
	peers   map[string]peerDemand
}

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

func (c *Core) newOrdering(pool string) *ordering {
	o := &ordering{pool: pool, placer: placer.New(c.cfg.Placer), asked: map[string]time.Time{}, peers: map[string]peerDemand{}}
	o.lacks = o.placer.CannotServe
	return o
}

// stepOrders reads engines back, keeps the lease on each placed pool and gives the orders that are due.
func (c *Core) stepOrders(now time.Time) {
	if now.Before(c.orderAt) {
		return
	}
	c.orderAt = now.Add(orderEvery)
	placed := map[string]bool{}
	for _, placement := range c.fold.Placements() {
		if placed[placement.Pool] {
			continue
		}
		placed[placement.Pool] = true
		o, known := c.orderings[placement.Pool]
		if !known {
			o = c.newOrdering(placement.Pool)
			c.orderings[placement.Pool] = o
		}
		c.stepOrdering(o, placement, now)
	}
	for pool, o := range c.orderings {
		o.placer.SetPoolCount(len(placed))
		if !placed[pool] {
			delete(c.orderings, pool)
		}
	}
}

func (c *Core) stepOrdering(o *ordering, placement *publisher.Placement, now time.Time) {
	c.readBack(o, now)
	c.bidForLease(o.pool, now)
	own := c.modelDemand(o.pool)
	lease, held := c.leaser.Held(o.pool, now)
	if !held {
		c.tellDemand(o.pool, own)
		return
	}
	o.placer.ObserveDemand(o.total(own, now), now)
	if lease.Remaining < leastOrderTime || c.drainer.Phase() != drainer.Serving {
		return
	}
	right := placer.Lease{Fence: lease.Fence, Granted: lease.Granted}
	for _, order := range o.placer.Orders(placement, c.modelsInUse(o.pool), right, now) {
		c.countOrder(&order)
		c.emit(OrderEngine{Pool: o.pool, Address: order.Address, State: order.State, Until: now.Add(min(lease.Remaining, orderTimeout))})
	}
}

func (c *Core) countOrder(order *placer.Order) {
	c.counters.OrdersSent++
	if order.Load {
		c.counters.LoadsOrdered++
	}
}

// readBack asks engines what they hold: each now and then, and at once where an order's end is uncertain.
func (c *Core) readBack(o *ordering, now time.Time) {
	addresses := c.router.PoolAddresses(o.pool)
	o.placer.SetEngines(addresses)
	for _, address := range o.placer.Unsettled() {
		if now.Sub(o.asked[address]) > orderEvery {
			o.asked[address] = time.Time{}
		}
	}
	asked := make(map[string]time.Time, len(addresses))
	for _, address := range addresses {
		asked[address] = o.asked[address]
		if now.Sub(asked[address]) < readAssignmentEvery || o.placer.OrderInFlight(address) {
			continue
		}
		asked[address] = now
		c.emit(ReadAssignment{Pool: o.pool, Address: address, Asked: now})
	}
	o.asked = asked
}

// readAgain has a pool's engines read back at once when one of them failed a call: it may hold another model than it
// did, and the model that the call needs may be elsewhere. Until it is read the engine gets no calls: a stage that is
// tried again would go to it, be refused and have no tries left before the truth is known.
func (c *Core) readAgain(pool, address string, now time.Time) {
	o, placed := c.orderings[pool]
	if !placed {
		return
	}
	o.placer.MarkDoubtful(address)
	o.asked[address] = time.Time{}
	if now.Sub(o.doubted) < readAgainEvery {
		return
	}
	o.doubted = now
	clear(o.asked)
	c.readBack(o, now)
}

// bidForLease appends to the leases stream if a bid or a renewal is due. An entry that can't read the stream would
// not see its own record, and one that is stopping leaves the lease to others.
func (c *Core) bidForLease(pool string, now time.Time) {
	health := c.logs[StreamLeases]
	if !health.caughtUp || health.failing || c.drainer.Phase() != drainer.Serving {
		return
	}
	data, id, due := c.leaser.AcquireOrRenew(pool, c.orderRank(pool), now)
	if due {
		c.emit(Append{Stream: StreamLeases, BatchID: id, Data: data})
	}
}

// orderRank is this entry's place among the live ones for a pool, by rendezvous hash, so that pools have different
// orderers. Entries that differ about who lives only bid at the same time; the log decides.
func (c *Core) orderRank(pool string) int {
	own := xxhash.Sum64String(pool + "/" + c.cfg.Entry)
	rank := 0
	for _, member := range c.detector.Members() {
		if member.State == detector.Live && xxhash.Sum64String(pool+"/"+member.Name) > own {
			rank++
		}
	}
	return rank
}

func (c *Core) foldLeases(e LogRead, now time.Time) {
	if c.leaser.ResetOnGap(e.First, now) {
		c.emit(LogChange{Message: "the log cut leases before they were read", Subject: string(StreamLeases)})
	}
	for _, record := range e.Records {
		change, changed := c.leaser.Apply(record, now)
		if changed && c.logs[StreamLeases].caughtUp {
			c.emit(LogChange{Message: "orderer", Subject: change.Pool, To: change.Entry})
		}
	}
}

func (c *Core) takeAssignment(e AssignmentRead, now time.Time) {
	if o, placed := c.orderings[e.Pool]; placed {
		o.placer.ObserveState(e.Address, e.State, e.Asked, now)
		c.pump(e.Pool, now)
	}
}

func (c *Core) takeOrderEnded(e OrderEnded, now time.Time) {
	switch e.Result.(type) {
	case placer.Refused:
		c.counters.OrdersRefused++
	case placer.Uncertain:
		c.counters.OrdersUncertain++
	}
	if o, placed := c.orderings[e.Pool]; placed {
		o.placer.RecordResult(e.Address, e.Result, now)
	}
}

// modelDemand is the work that this entry's requests still have for the pool's models, in endpoint milliseconds.
// It is summed up in whole numbers: the order of a map would show in the last digits of a sum of fractions.
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

// tellDemand tells the pool's orderer what waits here. It alone needs to know, so it is not in the heartbeats.
func (c *Core) tellDemand(pool string, own map[string]int64) {
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

func (c *Core) takeDemand(from string, message *carrier.Demand, now time.Time) {
	if o, placed := c.orderings[message.Pool]; placed {
		o.peers[from] = peerDemand{models: message.Models, at: now}
	}
}

// total adds the peers' demand to this entry's own.
func (o *ordering) total(own map[string]int64, now time.Time) map[string]float64 {
	total := map[string]float64{}
	for model, millis := range own {
		total[model] = float64(millis)
	}
	for from, demand := range o.peers {
		if now.Sub(demand.at) > demandKept {
			delete(o.peers, from)
			continue
		}
		for _, model := range demand.models {
			total[model.Model] += float64(max(model.Millis, 0))
		}
	}
	return total
}

// modelsInUse are the models of the pool that a pipeline in force names. Demand alone would not tell: an account
// whose requests other entries serve may need a model that this one never saw in use.
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
