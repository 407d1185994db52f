package reducer

import (
	"slices"
	"time"

	"geraniumline/scheduler"
)

// maxDeferredItems bounds the items that one run of dispatchQueued skips because no free endpoint holds their model.
const maxDeferredItems = 32

// deferredItems holds the items that found no endpoint while dispatchQueued looks for items of other models.
type deferredItems struct {
	items []scheduler.Item
	// unavailableModels are the models that no free endpoint holds, so that each is looked up once per run.
	unavailableModels []string
}

// chooseEndpoint returns an endpoint for the request's current stage, and false if no free endpoint holds its model.
func (c *Core) chooseEndpoint(r *request, deferred *deferredItems, now time.Time) (string, bool) {
	model := r.currentStage().Model
	if slices.Contains(deferred.unavailableModels, model) {
		return "", false
	}
	address, found := c.router.Choose(c.routerQuery(r), now)
	if !found {
		deferred.unavailableModels = append(deferred.unavailableModels, model)
	}
	return address, found
}

// deferItem defers an item that found no endpoint. It reports whether dispatchQueued may go on to the items of
// other models behind it, which is the case only for pools with a placement and fewer than maxDeferredItems items.
func (c *Core) deferItem(pool string, item scheduler.Item, deferred *deferredItems) bool {
	deferred.items = append(deferred.items, item)
	if _, placed := c.placedPools[pool]; !placed {
		return false
	}
	return len(deferred.items) < maxDeferredItems
}

// requeueDeferred returns the deferred items to the pool's queue.
func (c *Core) requeueDeferred(pool string, deferred *deferredItems, now time.Time) {
	for _, item := range deferred.items {
		c.scheduler.Push(pool, item, now)
	}
}
