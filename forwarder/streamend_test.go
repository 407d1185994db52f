package forwarder

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/connector"
)

func TestOnlyAnotherMediaTypeMakesAResponseNoEventStream(t *testing.T) {
	for contentType, want := range map[string]bool{
		"":                                 true,
		"text/event-stream":                true,
		"text/event-stream; charset=utf-8": true,
		"Text/Event-Stream":                true,
		"/":                                true,
		"application/json":                 false,
	} {
		resp := connector.NewResponse("", &http.Response{Header: http.Header{"Content-Type": {contentType}}})
		require.Equal(t, want, isEventStream(resp), contentType)
	}
}
