package claimer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/recorder"
)

// batchAt returns a record that contains a batch.
func batchAt(t *testing.T, offset, millis int64, batch Batch) recorder.Record {
	t.Helper()
	data, err := Encode(batch)
	require.NoError(t, err)
	return recorder.Record{Offset: offset, AtMillis: millis, Data: data}
}

// Guards against an incarnation that continues to win claims in a new era of the log although the record that
// closed it was cut before the stream was read again. Other entries regard its claims as void.
func TestTableLapsesInNewEraIfItMayHaveBeenClosed(t *testing.T) {
	for _, tc := range []struct {
		name      string
		firstKept int64
		lapsed    bool
	}{
		{"records since its first one were cut", 2000, true},
		{"cut up to the time of its first record", 1000, true},
		{"only earlier records were cut", 999, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := New(Config{Entry: "b", Incarnation: 2})
			table.BeginPage(0)
			table.Apply(batchAt(t, 1, 1000, Batch{Entry: "a", Incarnation: 1}))
			require.True(t, table.BeginEra(1))
			require.True(t, table.BeginPage(5))
			table.Apply(batchAt(t, 5, tc.firstKept, Batch{Entry: "a", Incarnation: 1}))
			require.Equal(t, tc.lapsed, table.Lapsed())
		})
	}
}

// Guards against keys that are verified in a new era before its mark, or that are as old as the records that
// the log lost.
func TestNewEraVerifiesKeysCreatedAfterItsMark(t *testing.T) {
	table := New(Config{Entry: "a", Incarnation: 1})
	table.BeginPage(0)
	at := time.UnixMilli
	require.NoError(t, table.CheckVerifiable(at(1000)))
	require.True(t, table.BeginEra(2))
	require.False(t, table.BeginEra(2))
	require.False(t, table.BeginEra(1), "a late page")
	table.BeginPage(0)
	table.Apply(batchAt(t, 1, 500, Batch{Entry: "b", Incarnation: 1, Records: []ClaimRecord{EraMark{Era: 1}}}))
	require.Error(t, table.CheckVerifiable(at(time.Hour.Milliseconds())), "a mark of an earlier era")
	require.True(t, table.PredatesEra(at(time.Hour.Milliseconds())))
	table.Apply(batchAt(t, 2, 2000, Batch{Entry: "b", Incarnation: 1, Records: []ClaimRecord{EraMark{Era: 2}}}))
	first := 2000 + MaxSkew.Milliseconds()
	require.Error(t, table.CheckVerifiable(at(first)))
	require.NoError(t, table.CheckVerifiable(at(first+1)))
	require.True(t, table.PredatesEra(at(2000)))
	require.False(t, table.PredatesEra(at(2001)))
}
