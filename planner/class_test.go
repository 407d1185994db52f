package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/cataloger"
	"geraniumline/collector"
	"geraniumline/registrar"
	"geraniumline/switcher"
)

func TestClassOf(t *testing.T) {
	all := Load{Wait: 3 * time.Second, Turnaround: 2 * time.Second, OverloadedFor: time.Second, ShortOfSpace: true}
	classes := []collector.ClassLoad{
		{Class: collector.Class(0), Turnaround: 500 * time.Millisecond},
		{Class: collector.Class(2), Wait: time.Second, Turnaround: 1500 * time.Millisecond},
		{Class: collector.Class(4), Wait: 3 * time.Second, Turnaround: 4 * time.Second},
	}
	for priority, want := range map[int]Load{
		0:           {Turnaround: 500 * time.Millisecond, Ahead: true, ShortOfSpace: true},
		1:           {Ahead: true, Turnaround: 1500 * time.Millisecond, ShortOfSpace: true},
		2:           {Ahead: true, Wait: time.Second, Turnaround: 1500 * time.Millisecond, ShortOfSpace: true},
		3:           {Wait: time.Second, Turnaround: 2 * time.Second, ShortOfSpace: true},
		4:           {Wait: 3 * time.Second, Turnaround: 4 * time.Second, ShortOfSpace: true, OverloadedFor: time.Second},
		leastUrgent: {Wait: 3 * time.Second, Turnaround: 2 * time.Second, ShortOfSpace: true, OverloadedFor: time.Second},
	} {
		require.Equal(t, want, ClassOf(all, classes, priority), priority)
		require.Equal(t, all, ClassOf(all, nil, priority), "entries of the release before report none")
	}
}

// classView is a View of one contended service with loads by priority.
type classView struct {
	uniformView
	classes []collector.ClassLoad
}

func (v classView) Load(service string, rank int) Load {
	return ClassOf(v.uniformView[service], v.classes, rank)
}

// Guards against urgent groups that go behind less urgent ones, and urgent callers that are refused, because of the wait of the
// less urgent ones at a later stage.
func TestUrgentRequestsAreNotJudgedByTheWaitOfOthers(t *testing.T) {
	view := classView{uniformView: uniformView{"c": {Wait: 6 * time.Second, Turnaround: 3 * time.Second, OverloadedFor: time.Second}}, classes: []collector.ClassLoad{
		{Class: collector.Class(0), Turnaround: 400 * time.Millisecond}, {Class: collector.Class(2), Wait: 6 * time.Second, Turnaround: 5 * time.Second},
	}}
	planOf := func(priority int) *Plan {
		return New(Config{
			Request: "r", Priority: priority, RoutePriority: priority, PieceCounts: []int{1, 1, 1},
			Due: start.Add(1500 * time.Millisecond), FirstEventDeadline: start.Add(6 * time.Second),
			Stages: []cataloger.Stage{{Service: "a"}, {Service: "b", DependsOn: []int{0}}, {Service: "c", DependsOn: []int{1}}},
		})
	}
	for priority, want := range map[int]struct {
		due        time.Duration
		latest     time.Duration
		refused    bool
		retryAfter time.Duration
	}{
		0: {due: 1100 * time.Millisecond, latest: 1334 * time.Millisecond, retryAfter: minRetryDelay},
		2: {due: -3500 * time.Millisecond, latest: -3500 * time.Millisecond, refused: true, retryAfter: 7*time.Second + minRetryDelay},
	} {
		p := planOf(priority)
		_, refused := p.Overloaded(view, start)
		require.Equal(t, want.refused, refused)
		addResults(p, p.StartStage(0, view, start), "z")
		g := p.StartStage(1, view, start)
		require.Equal(t, start.Add(want.due), g.Due)
		require.Equal(t, start.Add(want.latest), g.LatestDue, "its own call suffices where its priority goes first")
		require.Equal(t, want.retryAfter, RetryAfter(view.Load("c", priority), 0))
	}
}

// An entry that collects for a pool and its peers must judge alike.
func TestReportedLoadsAgreeWithThePools(t *testing.T) {
	stage, _ := uniformView{}.Pool("a")
	p := collector.New(collector.Config{Stage: stage})
	p.Reduce(collector.EndpointsChanged{Endpoints: []registrar.Endpoint{{ID: "e", Address: "e:80"}}}, start)
	for i := range 40 {
		p.Reduce(collector.GroupArrived{Group: collector.Group{
			ID: collector.GroupID{Request: fmt.Sprint(i)}, Segments: []int{0, 1, 2, 3}, Priority: 3 * (i % 3),
			Due: start.Add(time.Second), Deadline: start.Add(time.Minute),
		}}, start)
		for priority := range 10 {
			require.Equal(t, LoadFor(p, priority, start), ClassOf(LoadOf(p, start), p.ClassLoads(start), priority))
		}
	}
	require.NotEmpty(t, p.ClassLoads(start))
}

// Where client accounts have no priority of their own, the pieces' priority is the request's, as entries of the release before
// send it.
func TestRankOfAPlan(t *testing.T) {
	without, err := switcher.Disable(string(switcher.RouteRank))
	require.NoError(t, err)
	for _, c := range []struct {
		priority, route int
		disabled        switcher.Disabled
		want            int
	}{
		{priority: 2, route: 2, want: 2},
		{priority: 1, route: 2, want: collector.Rank(1, 2)},
		{priority: 1, route: 2, disabled: without, want: 1},
	} {
		p := New(Config{Priority: c.priority, RoutePriority: c.route, Disabled: c.disabled, Stages: []cataloger.Stage{{Service: "a"}}})
		require.Equal(t, c.want, p.Rank())
		require.Equal(t, c.want, p.StartStage(0, uniformView{}, start).Priority)
	}
}
