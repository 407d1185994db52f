package launcher

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/explainer"
)

const (
	refusedLine = `{"level":"warn","time":"2026-01-01T00:00:00Z","msg":"request failed","entry":"entry-1","request":"id-1","route":"r-1","account":"acc-1","status":503,"reason":"overload"}` + "\n"
	lostLine    = `{"level":"warn","time":"2026-01-01T00:00:01Z","msg":"request failed","entry":"entry-2","request":"id-2","route":"r-1","account":"acc-2","status":502,"reason":"endpointBroke"}` + "\n"
)

func TestOutcomes(t *testing.T) {
	c := newConsole(t)
	c.cfg.Stdin = strings.NewReader(refusedLine + lostLine)
	code, stdout, stderr := c.run("outcomes")
	require.Equal(t, ExitOK, code)
	require.Empty(t, stderr)
	require.Contains(t, stdout, "2 requests ended at 2 entries")
	require.Contains(t, stdout, "overload")

	files := []string{writeFile(t, "entry-1.log", refusedLine), writeFile(t, "entry-2.log", lostLine)}
	code, stdout, stderr = newConsole(t).run(append([]string{"outcomes", "--json", "--by", "account"}, files...)...)
	require.Equal(t, ExitOK, code)
	require.Empty(t, stderr)
	var report explainer.Outcomes
	require.NoError(t, json.Unmarshal([]byte(stdout), &report))
	require.Equal(t, 1, report.Total.Lost)
	require.Len(t, report.Groups, 2)

	code, stdout, _ = newConsole(t).run(append([]string{"outcomes", "--by", "time", "--interval", "1s", "--rows", "1"}, files...)...)
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "1 more groups")
}

func TestOutcomesOfUnreadableInput(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.log")
	scenarios := []struct {
		testName string
		stdin    string
		args     []string
		want     ExitCode
		stderr   string
	}{
		{"no such file", "", []string{missing}, ExitUsage, "can't read " + missing},
		{"a directory", "", []string{t.TempDir()}, ExitUsage, "reading the log failed after 0 lines"},
		{"not a log", "a\nb\n", nil, ExitFailed, "none of the 2 lines is a log line of an entry"},
		{"unknown property", "", []string{"--by", "colour"}, ExitUsage, "--by is one of"},
		{"no interval", "", []string{"--interval", "0s"}, ExitUsage, "--interval must be positive"},
		{"negative rows", "", []string{"--rows", "-1"}, ExitUsage, "--rows must not be negative"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := newConsole(t)
			c.cfg.Stdin = strings.NewReader(s.stdin)
			code, stdout, stderr := c.run(append([]string{"outcomes"}, s.args...)...)
			require.Equal(t, s.want, code)
			require.Empty(t, stdout)
			require.Contains(t, stderr, s.stderr)
		})
	}
}

func TestExplain(t *testing.T) {
	c := newConsole(t)
	c.cfg.Stdin = strings.NewReader(refusedLine + lostLine)
	code, stdout, stderr := c.run("explain", "id-2")
	require.Equal(t, ExitOK, code)
	require.Empty(t, stderr)
	require.Contains(t, stdout, "cause: endpointBroke")
	require.NotContains(t, stdout, "overload")

	for _, args := range [][]string{{"explain"}, {"explain", "id-1", "id-2"}} {
		code, stdout, stderr = newConsole(t).run(args...)
		require.Equal(t, ExitUsage, code)
		require.Empty(t, stdout)
		require.Contains(t, stderr, "the id of one request")
	}
}
