package receiver

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/guarder"
)

// Guards against a request that is refused for lack of memory with a status that no caller sends again.
func TestABodyWithoutRoomMayBeSentAgain(t *testing.T) {
	failure := failureFromError(fmt.Errorf("read body: %w", &guarder.BodyQuotaError{}))
	require.Equal(t, http.StatusServiceUnavailable, failure.StatusCode)
	require.Equal(t, codeBodies, failure.Response.Code)
	require.Positive(t, failure.Response.RetryAfterMillis.Value)
}
