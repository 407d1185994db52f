package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"geraniumline/measurer"
)

// output returns the output of a run whose second row violates its bound. That row occurs in the test's log and again in the
// failure message.
func output() string {
	rows := []measurer.Row{
		{Case: "limits/steady", Measure: "over", Ours: 0.01, Bound: measurer.Limit{Direction: measurer.AtMost, Value: 0.02}},
		{
			Case: "fair/surge", Measure: "attainment", Ours: 0.5,
			Baselines: []measurer.Baseline{{Name: "firstCome", Value: 0.25}, {Name: "fair", Value: 0.4}},
			Bound:     measurer.Limit{Direction: measurer.AtLeast, Value: 0.9},
			Goal:      &measurer.Limit{Direction: measurer.AtLeast, Value: 0.99},
		},
	}
	point := measurer.Point{Policy: "ours", Load: 10, Attainment: 0.1, Cost: 980, Goodput: 1}
	return strings.Join([]string{
		"=== RUN   TestPolicyLimits",
		"    check_test.go:27: " + rows[0].String(),
		"    check_test.go:27: " + rows[1].String(),
		"        	Messages:   	" + rows[1].String(),
		"    policydeadlines_test.go:99: " + point.String(),
		"policy: cases=2 withinBounds=1",
	}, "\n")
}

// TestTable compares the table that scripts/policy.sh prints with testdata/table.golden.
func TestTable(t *testing.T) {
	results, err := read(strings.NewReader(output()))
	require.NoError(t, err)
	require.Equal(t, []measurer.Point{{Policy: "ours", Load: 10, Attainment: 0.1, Cost: 980, Goodput: 1}}, results.points)
	require.Equal(t, 1, results.withinBounds())
	var table bytes.Buffer
	require.NoError(t, printTable(&table, results.rows))
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "table", table.Bytes())
}

// TestReadReportsTheInvalidField reads a truncated row.
func TestReadReportsTheInvalidField(t *testing.T) {
	_, err := read(strings.NewReader("policy: case=a measure=b ours=0.5 bound=<="))
	var fieldErr *measurer.FieldError
	require.ErrorAs(t, err, &fieldErr)
	require.Equal(t, "bound=<=", fieldErr.Field)
}
