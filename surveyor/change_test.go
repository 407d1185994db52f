package surveyor

import (
	"strconv"
	"testing"

	"geraniumline/recorder"
	"geraniumline/reducer"
)

// BenchmarkOneChange puts one change of a contract in force at an entry that holds many.
func BenchmarkOneChange(b *testing.B) {
	for _, contracts := range []int{1000, 10_000, aimAccounts} {
		b.Run(strconv.Itoa(contracts), func(b *testing.B) {
			core := newCore(contracts)
			offset := int64(contracts + 100)
			for b.Loop() {
				offset++
				record := contractRecord(int(offset))
				record.Offset = offset
				core.Reduce(reducer.LogRead{Stream: reducer.StreamConfig, Records: []recorder.Record{record}, AtEnd: true}, epoch)
			}
		})
	}
}
