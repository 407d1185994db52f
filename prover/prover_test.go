package prover

import (
	"bytes"
	"context"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestProofs runs the proofs that are short and whose only time bounds are wide and part of a promise. Each starts real
// processes, injects faults, and compares the outcomes that callers received with the endpoints' ledgers; see Proofs.
// The other proofs run with make faults.
func TestProofs(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "./cmd/geraniumline", "./cmd/standin")
	build.Dir = ".."
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	inCI := map[string]bool{
		"entryKilled": true, "connectionCut": true, "plannedStop": true, "retentionPassed": true, "replacedInOutage": true,
		"leavingBySign": true, "streamsCut": true, "repliesMixed": true, "operatorsRace": true, "operationFound": true,
	}
	for _, proof := range Proofs() {
		if !inCI[proof.Name] {
			continue
		}
		t.Run(proof.Name, func(t *testing.T) {
			result := runProof(context.Background(), Config{Bin: bin, Dir: t.TempDir()}, proof)
			require.NoError(t, result.Err)
			require.True(t, result.Passed(), "%+v %s", result.Counts, result.Note)
			t.Logf("%+v %s", result.Counts, result.Note)
		})
	}
}

// TestReportCountsFailures checks that a failed proof makes the whole run fail and is counted in the summary line.
func TestReportCountsFailures(t *testing.T) {
	results := []Result{
		{Proof: Proof{Name: "a"}, Counts: Counts{Requests: 3, Answered: 3}},
		{Proof: Proof{Name: "b"}, Counts: Counts{Requests: 2, Answered: 1, Lost: 1}},
		{Proof: Proof{Name: "c"}, Counts: Counts{Requests: 2, Doubled: 1, Untrue: 1}},
		{Proof: Proof{Name: "d"}, Err: violated("no")},
	}
	var out bytes.Buffer
	err := report(&out, results)
	var failed *FailedError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, 3, failed.Failed)
	require.Contains(t, out.String(), "faults: proofs=4 passed=1 failed=3 lost=1 doubled=1 untrue=1\n")
}
