package claimer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func fullBatch() Batch {
	return Batch{Entry: "a", Incarnation: 3, BatchID: 9, Records: []ClaimRecord{
		Release{Key: wall, ClaimID: 4},
		Outcome{Key: wall, ClaimID: 5, State: StateUnknown, Answer: "half", Parts: 2, Code: "cut", Message: "the stream was cut"},
		Closed{Entry: "b", Incarnation: 1},
		Claim{Key: wall, Digest: bodyOne, ClaimID: 6},
	}}
}

func TestABatchSurvivesTheLog(t *testing.T) {
	for _, batch := range []Batch{fullBatch(), {Entry: "a", BatchID: 1, Records: []ClaimRecord{}}} {
		data, err := Encode(batch)
		require.NoError(t, err)
		got, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, batch, got)
	}
}

// One record past the log's largest append would be refused again and again, and every other record of its batch
// with it: no claim of this entry would ever land.
func TestEncodeRefusesWhatTheLogWould(t *testing.T) {
	long := strings.Repeat("x", maxAnswerBytes+1)
	for _, record := range []ClaimRecord{
		Claim{Key: Key{Account: long, Key: testKey}},
		Release{Key: Key{Account: "a", Key: long}},
		Outcome{Key: wall, Answer: long},
		Outcome{Key: wall, Code: long},
		Outcome{Key: wall, Message: long},
		Closed{Entry: long},
	} {
		var limit *RecordLimitError
		_, err := Encode(Batch{Records: []ClaimRecord{record}})
		require.ErrorAs(t, err, &limit, "%T", record)
	}
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(fullBatch())
	require.NoError(f, err)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{0x81, 0xa6, 'c', 'l', 'a', 'i', 'm', 's', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := Decode(data)
		if err != nil {
			var decode *DecodeError
			require.ErrorAs(t, err, &decode)
			return
		}
		if _, err := Encode(batch); err != nil {
			var limit *RecordLimitError
			require.ErrorAs(t, err, &limit)
		}
	})
}
