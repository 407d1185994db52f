package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"geraniumline/cataloger"
	"geraniumline/connector"
)

// newStages makes the work of a request with images, whose results are large and go to the model, beside a lookup whose
// results are ranked. A call for the images takes 182 ms, for the lookup 166 ms, for the ranking 246 ms.
func newStages(t *testing.T, imageBytes int64) *stageWork {
	t.Helper()
	pool := &cataloger.StagePool{
		Slots: 1, Batch: 8, CallTime: 150 * time.Millisecond, ItemTime: 16 * time.Millisecond,
		RoomBytes: 36_000_000, ResultTTL: 4 * time.Second,
	}
	catalog, err := cataloger.New(cataloger.Config{Version: 1, Services: []cataloger.Service{
		{Name: "images", Stage: pool}, {Name: "lookup", Stage: pool}, {Name: "rank", Stage: pool}, {Name: "model"},
	}})
	require.NoError(t, err)
	f := New(Config{
		Name:         "entry",
		Client:       connector.New(connector.Config{}),
		DecodeConfig: func([]byte) (*cataloger.Catalog, error) { return catalog, nil },
		Log:          zap.NewNop(),
	}, time.Now())
	require.NoError(t, f.TakeConfig(nil, "test", time.Now()))
	service, _ := catalog.Service("model")
	return newStageWork(&exchange{
		f:       f,
		service: service,
		req:     Request{PieceCounts: []int{2, 1, 6}},
		route: &cataloger.Route{Stages: []cataloger.Stage{
			{Service: "images", ResultBytes: imageBytes},
			{Service: "lookup", ResultBytes: 8_000},
			{Service: "rank", After: []int{1}, ResultBytes: 8_000},
		}},
	})
}

// A request's images could be made at once, while its other stages take longer, or wait in a full pool. Callers then see
// refusals although endpoints are idle: finished images fill all space until the other stages are done, and those of
// requests that are given up there were made for nothing.
func TestLargeResultsAreMadeWhenTheOtherStagesAreNearlyDone(t *testing.T) {
	const large, small = 3_000_000, 8_000
	now := time.Now()
	for name, c := range map[string]struct {
		bytes int64
		// asked is how long ago the lookup was asked for; 0 not yet.
		asked time.Duration
		done  bool
		early bool
	}{
		"the others take 412 ms":                {bytes: large, early: true},
		"they take 312 ms more":                 {bytes: large, asked: 100 * time.Millisecond, early: true},
		"they take 262 ms more":                 {bytes: large, asked: 150 * time.Millisecond},
		"the lookup waits for much longer":      {bytes: large, asked: 2 * time.Second, early: true},
		"only the ranking is left":              {bytes: large, done: true},
		"small results take no space worth one": {bytes: small},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStages(t, c.bytes)
			if c.asked > 0 {
				s.states[1].ask, s.states[1].askedAt = &ask{}, now.Add(-c.asked)
			}
			if c.done {
				s.states[1].missing = 0
			}
			require.Equal(t, c.early, s.tooEarly(0, now))
			require.False(t, s.tooEarly(1, now), "results that another stage takes are made at once")
		})
	}
}
