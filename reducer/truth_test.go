package reducer

import (
	"github.com/stretchr/testify/require"
)

// runs counts how often a stage ran for a key.
func (w *world) runs(key, stage string) int {
	n := 0
	for _, e := range w.ledger {
		if e.key == key && e.stage == stage {
			n++
		}
	}
	return n
}

// wantText is the whole answer to a request, which no other request has.
func wantText(pipeline, body string) string {
	if pipeline == ticket {
		return "log(draft(encode(" + body + ")))"
	}
	return "rank(draft(encode(" + body + ")))"
}

// check checks what must hold whatever happened: nothing that must not be repeated ran twice, nobody was told
// notRun of an attempt that ran, each answer is whole and the request's own, and nobody was answered twice.
func (w *world) check() {
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
		state, _, text := w.ended(a.id)
		if state == StateNotRun {
			require.False(w.t, ran[a.name], "attempt %s was told notRun and ran", a.name)
		}
		if state == StateAnswered {
			require.Equal(w.t, wantText(a.pipeline, a.body), text)
		}
	}
}
