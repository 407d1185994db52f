package explainer

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

const logs = `0.2 entry-b {"level":"info","time":"2026-01-01T00:00:00.3Z","msg":"call for pieces","entry":"entry-b","requests":["id-1","id-2"],"pieces":2}
{"level":"info","time":"2026-01-01T00:00:00.1Z","msg":"endpoint chosen","entry":"entry-a","request":"id-1","endpoint":"i-1"}
{"level":"info","time":"2026-01-01T00:00:00.2Z","msg":"endpoint chosen","entry":"entry-a","request":"id-10","endpoint":"i-1"}
not a log line of id-1
{"level":"warn","time":"2026-01-01T00:00:00.5Z","msg":"request failed","entry":"entry-a","request":"id-1","reason":"stagelate","status":503}
`

func TestReport(t *testing.T) {
	report, err := Read(strings.NewReader(logs), "id-1")
	require.NoError(t, err)
	require.Equal(t, "stagelate", report.Cause)
	require.Equal(t, 1, report.Unreadable)
	var b strings.Builder
	require.NoError(t, report.Write(&b))
	goldie.New(t).Assert(t, "report", []byte(b.String()))
}

func TestStateChangesAreIncluded(t *testing.T) {
	report, err := Read(strings.NewReader(logs+
		`{"level":"warn","time":"2025-12-31T23:59:58Z","msg":"store has returned from an older copy; what was written since may be lost","entry":"entry-a","era":2}
{"level":"info","time":"2026-01-01T00:00:00.2Z","msg":"configuration in force","entry":"entry-b","version":7}
{"level":"info","time":"2025-12-31T23:59:50Z","msg":"configuration in force","entry":"entry-a","version":5}
{"level":"info","time":"2026-01-01T00:00:00.2Z","msg":"configuration in force","entry":"entry-c","version":7}
`), "id-1")
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, report.Write(&b))
	goldie.New(t).Assert(t, "knowledge", []byte(b.String()))
}

func TestUnknownRequest(t *testing.T) {
	report, err := Read(strings.NewReader(logs), "id-7")
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, report.Write(&b))
	require.Contains(t, b.String(), "no line names id-7")
}

// A reason of a newer release must not be explained as another one.
func TestUnknownReason(t *testing.T) {
	report, err := Read(strings.NewReader(strings.ReplaceAll(logs, "stagelate", "brandNew")), "id-1")
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, report.Write(&b))
	require.Contains(t, b.String(), "cause: brandNew: unknown reason")
}

// A line that is too long must not end the report as if the log ended there.
func TestLineTooLong(t *testing.T) {
	_, err := Read(strings.NewReader(strings.Repeat("x", maxLine+1)+"\n"+logs), "id-1")
	require.ErrorIs(t, err, bufio.ErrTooLong)
}

// Each reason in the forwarder's sources must have an explanation, and each explained reason must exist there.
func TestEachReasonIsExplained(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "forwarder", "*.go"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	found := map[string]bool{}
	pattern := regexp.MustCompile(`(?:notRun|mayHaveRun|giveUp)\("([A-Za-z]+)"|Reason: "([A-Za-z]+)"`)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, m := range pattern.FindAllStringSubmatch(string(text), -1) {
			found[m[1]+m[2]] = true
		}
	}
	delete(found, "stage") // a prefix; a piece's reason is appended to it
	for _, piece := range []string{"late", "inputGone", "noRoom", "failed", "overload", "evacuated", "heldBack"} {
		found["stage"+piece] = true
	}
	for reason := range found {
		require.Contains(t, causes, reason)
	}
	require.Len(t, Reasons(), len(found))
}

// State messages that the forwarder no longer logs would silently be missing from reports.
func TestStateMessagesExist(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "forwarder", "*.go"))
	require.NoError(t, err)
	var sources strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		sources.Write(text)
	}
	for message := range stateMessages {
		require.Contains(t, sources.String(), `"`+message+`"`)
	}
}
