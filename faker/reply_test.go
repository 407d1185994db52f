package faker_test

import (
	"bytes"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
	"geraniumline/faker"
)

// Runs two requests one after the other and injects each reply fault into the second. The golden files
// contain the faulty replies that an entry must detect; costs and stream ids vary and are omitted.
func TestReplyFaults(t *testing.T) {
	scenarios := []struct {
		testName string
		faults   faker.Faults
	}{
		{"none", faker.Faults{}},
		{"duplicated", faker.Faults{DuplicateParts: true}},
		{"outOfOrder", faker.Faults{OutOfOrder: true}},
		{"swapped", faker.Faults{SwapReplies: true}},
		{"cut", faker.Faults{CutStreamAfterParts: 3}},
	}
	golden := goldie.New(t)
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			e := faker.NewEngine(fastEngine())
			url := serveEndpoint(t, e)
			runCall(t, url, stageCall("other"))
			e.SetFaults(s.faults)
			golden.Assert(t, s.testName, encodeLines(t, runCall(t, url, stageCall("own"))))
		})
	}
}

func encodeLines(t *testing.T, parts []endpointserver.StagePart) []byte {
	var text bytes.Buffer
	for _, part := range parts {
		part.Cost.Reset()
		part.StreamId = ""
		line, err := part.MarshalJSON()
		require.NoError(t, err)
		text.Write(append(line, '\n'))
	}
	return text.Bytes()
}
