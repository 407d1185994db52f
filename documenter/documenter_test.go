package documenter

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The pages are committed for readers of the repository. One that lags behind the code would tell an
// operator of a setting that is refused, so the test compares them whole.
func TestPagesMatchTheCode(t *testing.T) {
	scenarios := []struct {
		testName string
		file     string
		page     func() (string, error)
	}{
		{"settings", "../docs/Config.md", Settings},
		{"metrics", "../docs/METRICS.md", Metrics},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			committed, err := os.ReadFile(s.file)
			require.NoError(t, err)
			made, err := s.page()
			require.NoError(t, err)
			require.Equal(t, made, string(committed), "run: go generate ./documenter")
			for _, line := range strings.Split(made, "\n") {
				require.False(t, strings.HasSuffix(line, "|  |"), "no meaning: %s", line)
			}
		})
	}
}
