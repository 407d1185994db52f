package surveyor

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// The page is made from the committed survey; a figure on it that no run gave would mislead whoever plans by it.
func TestPageIsThatOfTheCommittedSurvey(t *testing.T) {
	survey, err := Load("../docs/capacity.json")
	require.NoError(t, err)
	page, err := os.ReadFile("../docs/CAPACITY.md")
	require.NoError(t, err)
	require.Equal(t, survey.Page(), string(page), "run `go run ./cmd/capacity --page-only`")
}

func TestSurveyHasEverySlopeAtThreeSizesOrMore(t *testing.T) {
	survey, err := Load("../docs/capacity.json")
	require.NoError(t, err)
	for _, m := range measurements() {
		slope := survey.Find(m.name)
		require.GreaterOrEqual(t, len(slope.Sizes), 3, m.name)
		for _, value := range slope.Values {
			require.Positive(t, value, m.name)
		}
	}
}
