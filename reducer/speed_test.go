package reducer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
	"geraniumline/reducer"
)

// pipelineRun sends requests to one core, together with the complete replies of their three stages.
type pipelineRun struct {
	entry *simEntry
	now   time.Time
	id    uint64
	hash  string
	// steps counts the events passed to Reduce.
	steps int
}

func newPipelineRun(t testing.TB) *pipelineRun {
	cfg := threePools(1)
	cfg.entries = 1
	s := newSystem(t, cfg)
	hash := sha256.Sum256([]byte("secret"))
	return &pipelineRun{entry: s.entries[0], now: s.now, id: 1 << 20, hash: hex.EncodeToString(hash[:])}
}

// requestArrived returns the next request's arrival. In production the performer allocates the event and its
// strings, not the core.
func (p *pipelineRun) requestArrived() *reducer.RequestArrived {
	return &reducer.RequestArrived{
		ID: p.id, Credentials: reducer.Credentials{Account: testAccount, Hash: p.hash}, Pipeline: "main",
		Key: "key-" + strconv.FormatUint(p.id, 10), Input: "input", Deadline: time.Second,
		Digest: [32]byte{byte(p.id), byte(p.id >> 8), byte(p.id >> 16)},
	}
}

func (p *pipelineRun) request() {
	p.id++
	p.now = p.now.Add(100 * time.Microsecond)
	effects := p.entry.core.Reduce(p.requestArrived(), p.now)
	p.steps++
	for stage := range 3 {
		call, ok := effects[len(effects)-1].(*reducer.CallStage)
		if !ok {
			panic("stage " + strconv.Itoa(stage) + " was not called")
		}
		p.now = p.now.Add(50 * time.Millisecond / 1000)
		effects = p.entry.core.Reduce(&reducer.StagePartArrived{Call: call.Call, Part: endpointserver.StagePart{
			RequestId: call.Body.RequestId, Stage: call.Body.Stage, Attempt: call.Body.Attempt, StreamId: call.Body.RequestId,
			Text: "text", Final: true, Total: endpointserver.NewOptInt(1), Cost: endpointserver.NewOptFloat64(50),
		}}, p.now)
		p.steps++
	}
	if p.steps%64 == 0 {
		p.entry.core.Reduce(reducer.Ticked{}, p.now)
	}
}

// A step is one event of a request: its arrival or a part of a reply. The bound covers the events themselves,
// which the performer allocates, averaged over the four steps of a request with three stages.
func TestStepAllocations(t *testing.T) {
	p := newPipelineRun(t)
	for range 5000 {
		p.request()
	}
	perRequest := testing.AllocsPerRun(2000, p.request)
	t.Logf("allocations per request %.1f, per step %.2f", perRequest, perRequest/4)
	require.LessOrEqual(t, perRequest/4, 3.0)
}

func BenchmarkReduceRequestEvent(b *testing.B) {
	p := newPipelineRun(b)
	for range 5000 {
		p.request()
	}
	b.ReportAllocs()
	p.steps = 0
	for b.Loop() {
		p.request()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(p.steps), "ns/step")
}
