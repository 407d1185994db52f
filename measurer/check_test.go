package measurer_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/measurer"
)

func atMost(v float64) measurer.Limit { return measurer.Limit{Direction: measurer.AtMost, Value: v} }

func atLeast(v float64) measurer.Limit { return measurer.Limit{Direction: measurer.AtLeast, Value: v} }

func goal(l measurer.Limit) *measurer.Limit { return &l }

// withBaselines tells whether the baselines run too. Only scripts/policy.sh asks for them: the
// bounds hold ours alone, and under the race detector the baselines take minutes.
func withBaselines() bool { return os.Getenv("GERANIUMLINE_BASELINES") != "" }

// check prints a row for scripts/policy.sh and holds it to its regression bound.
func check(t *testing.T, row measurer.Row) {
	t.Helper()
	t.Log(row.String())
	require.True(t, row.Bound.Holds(row.Ours), row.String())
}
