package connector

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against many responses without end that together take all memory, though each is bounded, and against one endpoint
// whose responses leave no room for those of the others.
func TestIncompleteResponsesShareABudget(t *testing.T) {
	const limit = 1 << 20
	budget := NewBudget(limit)
	endless := func(address string) *Response {
		return NewResponse(address, &http.Response{Body: io.NopCloser(repeatedByte('x')), ContentLength: -1})
	}
	inTrouble := budget.Hold("in trouble")
	require.NoError(t, inTrouble.Resize(limit/2))
	var full *BudgetError
	_, err := endless("in trouble").ReadAll(budget, limit)
	require.ErrorAs(t, err, &full)
	_, err = endless("another").ReadAll(budget, limit)
	require.ErrorAs(t, err, &full, "an endpoint gets at most its share")
	inTrouble.Release()
	require.Zero(t, budget.total, "failed responses hold nothing")
	require.Empty(t, budget.byAddress)
	var size *SizeError
	_, err = endless("another").ReadAll(budget, limit/4)
	require.ErrorAs(t, err, &size)
}

func TestHoldGrowsAndShrinks(t *testing.T) {
	budget := NewBudget(100)
	h := budget.Hold("a")
	require.NoError(t, h.Resize(50))
	require.Error(t, h.Resize(51))
	require.NoError(t, h.Resize(20))
	other := budget.Hold("a")
	require.NoError(t, other.Resize(30))
	require.Error(t, other.Resize(31))
	h.Release()
	other.Release()
	require.Zero(t, budget.total)
	require.Empty(t, budget.byAddress)
}
