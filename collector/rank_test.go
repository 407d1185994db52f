package collector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestClassesOfRanks(t *testing.T) {
	for _, c := range []struct{ priority, route, rank, class int }{
		{0, 0, 0, 0},
		{2, 2, 2, 22},
		{9, 9, 9, 99},
		{0, 9, 109, 9},
		{1, 0, 110, 10},
		{2, 1, 121, 21},
		{-3, 12, 109, 9},
		{12, -3, 190, 90},
	} {
		rank := Rank(c.priority, c.route)
		require.Equal(t, c.rank, rank)
		require.Equal(t, c.class, Class(rank))
		require.Equal(t, min(max(c.priority, 0), MaxPriority), PriorityOf(c.class))
	}
	require.Equal(t, 22, Class(2), "from an entry of the release before, or where the account has no priority of its own")
	require.Equal(t, ClassCount-1, Class(1<<30))
	require.Zero(t, Class(-1))
}

// Guards against requests of a less urgent route that take the room from those of a more urgent one of the same client account,
// because they have more time left for their own call.
func TestAmongEqualPrioritiesTheMoreUrgentRouteGoesFirst(t *testing.T) {
	stage := defaultStage()
	stage.Batch = 1
	w := newSimulation(stage, 1)
	w.arrive(0, "running", 1, nil)
	order := []struct {
		id              string
		priority, route int
		due             time.Duration
	}{
		{"urgent account, least urgent route", 0, 2, 5 * time.Second},
		{"urgent route", 1, 0, 5 * time.Second},
		{"from the release before", 1, 1, 5 * time.Second},
		{"least urgent route", 1, 2, 4 * time.Second},
		{"least urgent account", 2, 0, 4 * time.Second},
	}
	var ids []GroupID
	for i := range order {
		o := order[len(order)-1-i]
		ids = append([]GroupID{w.arrive(0, o.id, 1, func(g *Group) {
			g.Priority, g.Due = Rank(o.priority, o.route), w.at(o.due)
		})}, ids...)
	}
	for _, o := range order {
		// All of them have an even share of the pool.
		w.pool.classes.recordPiece(Class(Rank(o.priority, o.route)), w.now)
	}
	w.run(2 * time.Second)
	for i := 1; i < len(ids); i++ {
		require.True(t, w.deliveredAt[ids[i-1]].Before(w.deliveredAt[ids[i]]), ids[i].Request)
	}
}

// Load: a surge of the most urgent route, and a few requests of the least urgent one, which would wait for its end.
func TestRouteWithLittleWorkIsNotPutBehindASurge(t *testing.T) {
	var c classes
	now := start
	surge, few, other := Class(Rank(1, 0)), Class(Rank(1, 2)), Class(Rank(2, 0))
	for _, class := range []int{surge, few, other} {
		c[class].usedAt = now
	}
	record := func(class, pieces int) {
		for range pieces {
			c.recordPiece(class, now)
		}
	}
	record(surge, 90)
	record(few, 10)
	order := c.order(now)
	require.Equal(t, order[surge], order[few])
	require.Greater(t, order[other], order[few], "a less urgent account stays behind")
	record(few, 10)
	order = c.order(now)
	require.Greater(t, order[few], order[surge], "it has more than a small share")
}
