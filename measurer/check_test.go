package measurer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/measurer"
)

func atMost(v float64) measurer.Limit { return measurer.Limit{Direction: measurer.AtMost, Value: v} }

func atLeast(v float64) measurer.Limit { return measurer.Limit{Direction: measurer.AtLeast, Value: v} }

func goal(l measurer.Limit) *measurer.Limit { return &l }

// check prints a row for scripts/policy.sh and holds it to its regression bound.
func check(t *testing.T, row measurer.Row) {
	t.Helper()
	t.Log(row.String())
	require.True(t, row.Bound.Holds(row.Ours), row.String())
}
