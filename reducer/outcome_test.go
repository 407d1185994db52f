package reducer

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/claimer"
)

func TestOutcomesAreBounded(t *testing.T) {
	for _, s := range []struct {
		testName string
		limit    int
		answer   int
		puts     int
		kept     int
	}{
		{"by count", 10, 100, 25, 10},
		{"by bytes", 100, maxOutcomeBytes / 4, 25, 4},
		{"one larger than the bound is kept until the next one", 100, 2 * maxOutcomeBytes, 3, 1},
	} {
		t.Run(s.testName, func(t *testing.T) {
			store := newOutcomeStore(s.limit)
			answer := strings.Repeat("x", s.answer)
			for i := range s.puts {
				key := claimer.Key{Account: account, Key: strconv.Itoa(i)}
				store.put(key, Outcome{State: StateRunning})
				store.put(key, Outcome{State: StateAnswered, Answer: answer})
			}
			require.Len(t, store.byKey, s.kept)
			require.Len(t, store.order, s.kept)
			require.Equal(t, s.kept*s.answer, store.bytes)
			_, newest := store.get(claimer.Key{Account: account, Key: strconv.Itoa(s.puts - 1)})
			require.True(t, newest)
		})
	}
}
