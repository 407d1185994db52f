package reducer

import (
	"slices"
	"time"

	"geraniumline/scheduler"
)

// maxSetAside bounds the items that one pump passes over for want of an endpoint with their model.
const maxDeferredItems = 32

// setAside holds the items that found no endpoint while a pump looks for items of other models.
type deferredItems struct {
	items []scheduler.Item
	// models are those that no free endpoint holds, so that each is looked for once in a pump.
	unavailableModels []string
}

// choose names an endpoint for the request's present stage.
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

// setAside tells whether the pump may look for items of other models behind one that found no endpoint.
func (c *Core) deferItem(pool string, item scheduler.Item, deferred *deferredItems) bool {
	deferred.items = append(deferred.items, item)
	if _, placed := c.placedPools[pool]; !placed {
		return false
	}
	return len(deferred.items) < maxDeferredItems
}

func (c *Core) requeueDeferred(pool string, deferred *deferredItems, now time.Time) {
	for _, item := range deferred.items {
		c.scheduler.Push(pool, item, now)
	}
}
