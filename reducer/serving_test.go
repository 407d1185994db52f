package reducer

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"geraniumline/operatorserver"
	"geraniumline/publisher"
)

// publish publishes an object at a node and returns the id under which the verdict arrives.
func (w *world) publish(i int, operation string, object any, base int64) uint64 {
	body, err := json.Marshal(object)
	require.NoError(w.t, err)
	change := publisher.Change{OperationID: operation, Operator: "op", BaseVersion: base, Body: body}
	switch o := object.(type) {
	case publisher.Pool:
		change.Kind, change.Name = publisher.KindPool, o.Name
	case publisher.Pipeline:
		change.Kind, change.Name = publisher.KindPipeline, o.Name
	case publisher.Contract:
		change.Kind, change.Name = publisher.KindContract, o.Account
	case publisher.Placement:
		change.Kind, change.Name = publisher.KindPlacement, o.Name
	}
	id := w.newID()
	w.deliver(i, ChangeRequested{ID: id, Change: change})
	return id
}

func repeatable(names ...string) []publisher.Stage {
	var stages []publisher.Stage
	for _, name := range names {
		stages = append(stages, publisher.Stage{Name: name, Pool: "encoders", Repeatable: true, ExpectedMillis: 5})
	}
	return stages
}

// awaitAccepted waits for the verdict on a change and fails the test unless the change was accepted.
func (w *world) awaitAccepted(id uint64) {
	w.until("a verdict", func() bool { return len(w.replies[id]) > 0 })
	verdict, ok := w.replies[id][0].effect.(SendVerdict)
	require.True(w.t, ok, "%+v", w.replies[id])
	require.Equal(w.t, operatorserver.ConfigVerdictVerdictAccepted, verdict.Verdict.Verdict)
}

func contract(weight float64) publisher.Contract {
	return publisher.Contract{
		Account: account, CredentialSha256: credentialHash, Weight: weight, RatePerSecond: 1000, Burst: 1000, Concurrency: 1000, CostPerSecond: 1e6,
		Urgency: publisher.Normal, Pipelines: []string{ticket, summary},
	}
}

const credentialHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// newServingWorld returns a world whose nodes have a configuration and have discovered each other.
func newServingWorld(t require.TestingT, n int) *world {
	w := newWorld(t, n)
	objects := []any{
		publisher.Pool{Name: "encoders", Kind: publisher.PoolEncoder, SlotsPerEndpoint: 8},
		publisher.Pool{Name: "tickets", Kind: publisher.PoolService, SlotsPerEndpoint: 8},
		publisher.Pipeline{Name: ticket, Stages: append(repeatable("encode", "draft"), publisher.Stage{Name: "log", Pool: "tickets", ExpectedMillis: 5})},
		publisher.Pipeline{Name: summary, Stages: repeatable("encode", "draft", "rank")},
		contract(1),
	}
	for i, object := range objects {
		w.awaitAccepted(w.publish(0, fmt.Sprintf("setup-%d", i), object, 0))
	}
	w.until("a configuration and all peers at each node", func() bool {
		return !slices.ContainsFunc(w.nodes, func(n *node) bool {
			return n.core.fold.Offset() < int64(len(objects)) || n.core.liveEntries < len(w.nodes)
		})
	})
	return w
}

// keyAt returns a UUIDv7 with the given creation time.
func keyAt(birth time.Time, n uint16) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(birth.UnixMilli())<<16)
	id[6], id[8] = 0x70, 0x80
	binary.BigEndian.PutUint16(id[14:], n)
	return id.String()
}
