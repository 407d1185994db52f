package main

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	if err := command(&out, io.Discard).Run(t.Context(), append([]string{"experiment"}, args...)); err != nil {
		return err.Error(), exitCode(err)
	}
	return out.String(), 0
}

// Runs with the same seeds are identical, so a change of policy changes the golden files.
func TestReportsMatchGoldenFiles(t *testing.T) {
	for _, name := range []string{"threeStagesLost", "digests"} {
		t.Run(name, func(t *testing.T) {
			text, code := runCommand(t, "run", name, "--seeds", "2")
			require.Zero(t, code, text)
			goldie.New(t).Assert(t, name, []byte(text))
		})
	}
}

func TestInvalidInputIsReportedAndNothingIsWritten(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "out")
	file := filepath.Join(t.TempDir(), "wrong.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"name": "x", "colour": 1}`), 0o600))
	for _, tc := range []struct {
		name string
		args []string
		want string
	}{
		{"no scenario", []string{"run"}, "one scenario"},
		{"unknown scenario", []string{"run", "nosuch", "--out", dir}, "nosuch"},
		{"unknown field", []string{"run", file, "--out", dir}, "colour"},
		{"unknown mechanism", []string{"run", "calm", "--without", "magic", "--out", dir}, "magic"},
		{"unknown key", []string{"run", "calm", "--set", "colour=1", "--out", dir}, "colour"},
		{"out of range", []string{"run", "calm", "--set", "entries=0", "--out", dir}, "entries"},
		{"no seeds", []string{"run", "calm", "--seeds", "0", "--out", dir}, "--seeds"},
		{"unknown flag", []string{"run", "calm", "--colour", "--out", dir}, "colour"},
		{"nothing to ablate", []string{"ablate"}, "ablate"},
		{"one report", []string{"compare", "a.json"}, "two reports"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text, code := runCommand(t, tc.args...)
			require.Equal(t, exitUsage, code, text)
			require.Contains(t, text, tc.want)
			require.NoDirExists(t, dir)
		})
	}
}

func TestReportsCanBeCompared(t *testing.T) {
	a, b := t.TempDir(), t.TempDir()
	for dir, without := range map[string]string{a: "zoneWait", b: "lateLast"} {
		text, code := runCommand(t, "run", "overCapacity", "--set", "seconds=8", "--seeds", "3", "--without", without, "--out", dir)
		require.Zero(t, code, text)
		for _, extension := range []string{".md", ".json", ".svg"} {
			require.FileExists(t, filepath.Join(dir, "overCapacity"+extension))
		}
	}
	text, code := runCommand(t, "compare", filepath.Join(a, "overCapacity.json"), filepath.Join(b, "overCapacity.json"))
	require.Zero(t, code, text)
	require.Contains(t, text, "seeds 3")
	text, code = runCommand(t, "compare", filepath.Join(a, "overCapacity.json"), filepath.Join(a, "overCapacity.json"))
	require.Zero(t, code, text)
	require.Contains(t, text, "difference +0.0000 +- 0.0000, won 0")
}

func TestBoundAndListCommands(t *testing.T) {
	text, code := runCommand(t, "bound", "overCapacity")
	require.Zero(t, code, text)
	require.Contains(t, text, "the stages allow 0.")
	text, code = runCommand(t, "list")
	require.Zero(t, code, text)
	require.Contains(t, text, "threeStages")
	require.Contains(t, text, "zoneWait")
}
