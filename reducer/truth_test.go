package reducer

import (
	"github.com/stretchr/testify/require"
)

// runs returns how often a stage ran for a key.
func (w *world) runs(key, stage string) int {
	n := 0
	for _, e := range w.ledger {
		if e.key == key && e.stage == stage {
			n++
		}
	}
	return n
}

// wantText returns the complete answer to a request. No other request has the same answer.
func wantText(pipeline, body string) string {
	if pipeline == ticket {
		return "log(draft(encode(" + body + ")))"
	}
	return "rank(draft(encode(" + body + ")))"
}

// checkInvariants checks the conditions that hold in any run: nothing that must not be repeated ran twice, no
// attempt that ran was answered notRun, each answer is complete and the request's own, and no attempt was answered
// twice.
func (w *world) checkInvariants() {
	ran := map[string]bool{}
	sideEffects := map[string]int{}
	for _, e := range w.ledger {
		ran[e.request] = true
		if !e.repeatable {
			sideEffects[e.key+e.stage]++
			require.LessOrEqual(w.t, sideEffects[e.key+e.stage], 1, "stage %s of key %s ran twice", e.stage, e.key)
		}
	}
	for _, a := range w.attempts {
		require.LessOrEqual(w.t, len(w.replies[a.id]), 1, "attempt %s was answered twice", a.name)
		state, _, text := w.result(a.id)
		if state == StateNotRun {
			require.False(w.t, ran[a.name], "attempt %s was answered notRun and ran", a.name)
		}
		if state == StateAnswered {
			require.Equal(w.t, wantText(a.pipeline, a.body), text)
		}
	}
}
