package faker

import (
	"fmt"
	"sync"

	"geraniumline/endpointserver"
)

const maxFencedKeys = 65_536

// fencedKey identifies a side effect, for which the endpoint stores the highest fence and its result.
type fencedKey struct {
	account        string
	idempotencyKey string
	stage          string
}

type fencedResult struct {
	fence  int64
	stream *stream
}

// fenceTable prevents calls under an outdated claim from running: a call with a fence below the highest
// one seen is refused, an equal fence returns the stored result, and only a higher fence runs.
type fenceTable struct {
	mu      sync.Mutex
	results map[fencedKey]fencedResult
	order   []fencedKey
}

func fencedKeyOf(call *endpointserver.StageCall) (fencedKey, bool) {
	key := fencedKey{account: call.Account, idempotencyKey: call.IdempotencyKey.Or(""), stage: call.Stage}
	fenced := key.idempotencyKey != "" && call.Fence.Or(0) > 0
	return key, fenced
}

// startOnce returns the stored stream for an equal fence and calls start for a higher one. It holds the
// lock during start so that two concurrent calls with the same fence cannot both run.
func (t *fenceTable) startOnce(call *endpointserver.StageCall, start func() (*stream, error)) (*stream, error) {
	key, fenced := fencedKeyOf(call)
	if !fenced {
		return start()
	}
	fence := call.Fence.Or(0)
	t.mu.Lock()
	defer t.mu.Unlock()
	stored, found := t.results[key]
	if found && fence < stored.fence {
		message := fmt.Sprintf("fence %d is below %d", fence, stored.fence)
		return nil, refuse(endpointserver.RefusalCodeStaleFence, message)
	}
	if found && fence == stored.fence {
		return stored.stream, nil
	}
	s, err := start()
	if err != nil {
		return nil, err
	}
	t.store(key, fencedResult{fence: fence, stream: s}, found)
	return s, nil
}

func (t *fenceTable) store(key fencedKey, result fencedResult, found bool) {
	t.results[key] = result
	if found {
		return
	}
	t.order = append(t.order, key)
	if len(t.order) > maxFencedKeys {
		delete(t.results, t.order[0])
		t.order = t.order[1:]
	}
}
