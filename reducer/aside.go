package reducer

import (
	"slices"
	"time"

	"geraniumline/scheduler"
)

// maxSetAside bounds the items that one pump passes over for want of an endpoint with their model.
const maxSetAside = 32

// setAside holds the items that found no endpoint while a pump looks for items of other models.
type setAside struct {
	items []scheduler.Item
	// models are those that no free endpoint holds, so that each is looked for once in a pump.
	models []string
}

// choose names an endpoint for the request's present stage.
func (c *Core) choose(r *request, aside *setAside, now time.Time) (string, bool) {
	model := r.stageConfig().Model
	if slices.Contains(aside.models, model) {
		return "", false
	}
	address, found := c.router.Choose(c.askOf(r), now)
	if !found {
		aside.models = append(aside.models, model)
	}
	return address, found
}

// setAside tells whether the pump may look for items of other models behind one that found no endpoint.
func (c *Core) setAside(pool string, item scheduler.Item, aside *setAside) bool {
	aside.items = append(aside.items, item)
	if _, placed := c.orderings[pool]; !placed {
		return false
	}
	return len(aside.items) < maxSetAside
}

func (c *Core) putBack(pool string, aside *setAside, now time.Time) {
	for _, item := range aside.items {
		c.scheduler.Push(pool, item, now)
	}
}
