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

// baselinesEnabled reports whether the baselines run too. Only scripts/policy.sh enables them: the bounds apply to
// the measured policy alone, and under the race detector the baselines take minutes.
func baselinesEnabled() bool { return os.Getenv("GERANIUMLINE_BASELINES") != "" }

// check logs a row for scripts/policy.sh and asserts its regression bound.
func check(t *testing.T, row measurer.Row) {
	t.Helper()
	t.Log(row.String())
	require.True(t, row.Bound.Holds(row.Ours), row.String())
}
