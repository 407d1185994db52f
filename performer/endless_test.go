package performer

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/connector"
	"geraniumline/endpointserver"
	"geraniumline/reducer"
)

// blankLines is a reader that returns line breaks without end.
type blankLines struct{}

func (blankLines) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '\n'
	}
	return len(p), nil
}

// Guards against an endpoint that goes on sending after the final part of its reply, which would keep the call until its
// deadline although its result is whole.
func TestNothingIsReadAfterTheFinalPart(t *testing.T) {
	posted := 0
	s := &stageCaller{post: func(reducer.Event) { posted++ }}
	part, err := (&endpointserver.StagePart{RequestId: "r", Stage: "s", Seq: 1, Final: true}).MarshalJSON()
	require.NoError(t, err)
	body := io.MultiReader(bytes.NewReader(append(part, '\n')), blankLines{})
	_, ended := s.readParts(reducer.CallID{}, body, connector.NewBudget(0).Hold("endpoint"))
	require.True(t, ended)
	require.Equal(t, 1, posted)
}
