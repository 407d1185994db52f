package launcher

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/loader"
)

// Operators begin with the files of docs/examples, so these must have no faults.
func TestTheExamplesHaveNoFaults(t *testing.T) {
	files, err := filepath.Glob("../docs/examples/*.json")
	require.NoError(t, err)
	require.Len(t, files, 5)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			src, err := os.ReadFile(file)
			require.NoError(t, err)
			if loader.HoldsObjects(src) {
				_, err = checkedObjects(src)
			} else {
				_, err = loader.Parse(src)
			}
			require.NoError(t, err)
		})
	}
}
