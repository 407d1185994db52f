package soaker

import (
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShortSoak runs one seed on real processes, with endpoints of one version and of two. Its recovery times allow for a
// busy machine.
func TestShortSoak(t *testing.T) {
	bin := buildForward(t)
	for name, versions := range map[string]bool{"one version": false, "two versions": true} {
		t.Run(name, func(t *testing.T) {
			result, err := Run(t.Context(), Config{
				Seed: 2, Bin: bin, Dir: t.TempDir(), Entries: 3, Length: 6 * time.Second,
				ConfigTime: 10 * time.Second, SettleTime: 14 * time.Second, Versions: versions,
			})
			require.NoError(t, err)
			require.Empty(t, result.Violations)
			require.Positive(t, result.Answered)
			t.Logf("%+v", result)
		})
	}
}

// buildForward builds the program and returns its directory.
func buildForward(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "./cmd/geraniumline")
	build.Dir = ".."
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	return bin
}
