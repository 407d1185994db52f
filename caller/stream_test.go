package caller

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReadStream(t *testing.T) {
	scenarios := []struct {
		testName string
		text     string
		want     string
		wantErr  string
	}{
		{"truncated stream", "event: part\ndata: {\"text\": \"a\"}\n\n", "", "the stream ended"},
		{"unknown event and comment", ": hello\n\nevent: later\ndata: {}\n\nevent: answer\ndata: {\"requestId\":\"r\",\"key\":\"k\",\"answer\":\"x\",\"totalParts\":1}\n\n", "x", ""},
		{"failure after a part", "event: part\ndata: {\"text\": \"a\"}\n\nevent: failure\ndata: {\"code\":\"stageFailed\",\"message\":\"m\",\"outcome\":\"unknown\"}\n\n", "", "stageFailed: m"},
		{"part that is not JSON", "event: part\ndata: nonsense\n\n", "", "read a part"},
		{"endless line", "data: " + strings.Repeat("x", maxEventBytes+1), "", "read the stream"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			answer, err := readStream(io.NopCloser(strings.NewReader(s.text)), func(string) {})
			if s.wantErr != "" {
				require.ErrorContains(t, err, s.wantErr)
				return
			}
			require.NoError(t, err)
			require.Equal(t, s.want, answer.Answer)
		})
	}
}
