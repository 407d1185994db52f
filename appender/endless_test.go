package appender

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a log that sends a response without end, which would fill the memory of an entry until its deadline.
func TestLogResponsesWithoutEndAreBounded(t *testing.T) {
	sent := make(chan int64, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		text := []byte(strings.Repeat(" ", 64<<10))
		var total int64
		for {
			n, err := w.Write(text)
			total += int64(n)
			if err != nil {
				sent <- total
				return
			}
		}
	}))
	defer server.Close()
	a, err := New(Config{URL: server.URL, ReadTimeout: time.Minute})
	require.NoError(t, err)
	defer a.Close()
	_, err = a.Read(t.Context(), "claims", 0, 1, 0)
	var size *SizeError
	require.ErrorAs(t, err, &size)
	// The sockets' buffers hold some more.
	require.Less(t, <-sent, int64(2*maxResponseBytes))
}
