package documenter

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The generated pages are committed for readers of the repository. An outdated page could document a setting that is
// rejected, so the test compares the complete pages.
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
			generated, err := s.page()
			require.NoError(t, err)
			require.Equal(t, generated, string(committed), "run: go generate ./documenter")
			for _, line := range strings.Split(generated, "\n") {
				require.False(t, strings.HasSuffix(line, "|  |"), "row without a description: %s", line)
			}
		})
	}
}
