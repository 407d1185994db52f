package claimer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func fullBatch() Batch {
	return Batch{Entry: "a", Incarnation: 3, BatchID: 9, Records: []ClaimRecord{
		Release{Key: requestKey, ClaimID: 4},
		Outcome{Key: requestKey, ClaimID: 5, State: StateUnknown, Answer: "half", Parts: 2, Code: "cut", Message: "the stream was cut"},
		Closed{Entry: "b", Incarnation: 1},
		Claim{Key: requestKey, Digest: digestOne, ClaimID: 6},
	}}
}

func TestBatchRoundTrip(t *testing.T) {
	for _, batch := range []Batch{fullBatch(), {Entry: "a", BatchID: 1, Records: []ClaimRecord{}}} {
		data, err := Encode(batch)
		require.NoError(t, err)
		got, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, batch, got)
	}
}

// A record larger than the log's largest append would be refused on every retry, together with every other
// record of its batch, so that no claim of this entry would ever be appended.
func TestEncodeRejectsOversizedRecords(t *testing.T) {
	long := strings.Repeat("x", maxAnswerBytes+1)
	for _, record := range []ClaimRecord{
		Claim{Key: Key{Account: long, Key: testKey}},
		Release{Key: Key{Account: "a", Key: long}},
		Outcome{Key: requestKey, Answer: long},
		Outcome{Key: requestKey, Code: long},
		Outcome{Key: requestKey, Message: long},
		Closed{Entry: long},
	} {
		var limitErr *RecordLimitError
		_, err := Encode(Batch{Records: []ClaimRecord{record}})
		require.ErrorAs(t, err, &limitErr, "%T", record)
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
			var decodeErr *DecodeError
			require.ErrorAs(t, err, &decodeErr)
			return
		}
		if _, err := Encode(batch); err != nil {
			var limitErr *RecordLimitError
			require.ErrorAs(t, err, &limitErr)
		}
	})
}
