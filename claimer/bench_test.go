package claimer

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/google/uuid"

	"geraniumline/recorder"
)

// benchAccounts is the number of client accounts that the benchmarks' keys are spread over.
const benchAccounts = 1000

func benchKey(n int) Key {
	id := uuid.UUID{}
	binary.BigEndian.PutUint64(id[:8], uint64(createdMillis)<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(n))
	id[6] |= 0x70
	id[8] = id[8]&0x3f | 0x80
	return Key{Account: fmt.Sprintf("account-%05d", n%benchAccounts), Key: id.String()}
}

// benchBatch returns n claims of one entry. A window of 40 ms at 2,000 claims per second over seven entries has
// claimsPerWindow of them.
func benchBatch(first, n int) Batch {
	batch := Batch{Entry: "b", Incarnation: 1, BatchID: uint64(first)}
	for i := range n {
		batch.Records = append(batch.Records, Claim{Key: benchKey(first + i), Digest: digestOne, ClaimID: uint64(first + i)})
	}
	return batch
}

const claimsPerWindow = 12

func BenchmarkEncode(b *testing.B) {
	batch := benchBatch(0, claimsPerWindow)
	for b.Loop() {
		data, err := Encode(batch)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/claimsPerWindow, "B/claim")
	}
}

func BenchmarkDecode(b *testing.B) {
	data, err := Encode(benchBatch(0, claimsPerWindow))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkApply measures the time and the memory per claim in tables of growing size.
func BenchmarkApply(b *testing.B) {
	for _, keys := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			records := make([]recorder.Record, 0, keys/claimsPerWindow)
			for first := 0; first+claimsPerWindow <= keys; first += claimsPerWindow {
				data, err := Encode(benchBatch(first, claimsPerWindow))
				if err != nil {
					b.Fatal(err)
				}
				records = append(records, recorder.Record{Offset: int64(first + 1), AtMillis: createdMillis, Data: data})
			}
			for b.Loop() {
				before := heapBytes()
				table := New(Config{Entry: "a", Incarnation: 1})
				table.BeginPage(0)
				for _, r := range records {
					table.Apply(r)
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(table.Len()), "heap-B/key")
				runtime.KeepAlive(table)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*keys), "ns/claim")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
