package publisher

import (
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/recorder"
)

// benchRecords returns records that put the base objects and then n contracts of other accounts in force.
func benchRecords(tb testing.TB, n int) []recorder.Record {
	tb.Helper()
	changes := baseChanges()
	for i := range n {
		name := fmt.Sprintf("account-%05d", i)
		changes = append(changes, setChange("new-"+name, KindContract, name, 0, validContract))
	}
	records := make([]recorder.Record, 0, len(changes))
	for i, c := range changes {
		data, err := EncodeChange(c)
		require.NoError(tb, err)
		records = append(records, recorder.Record{Offset: int64(2 * (i + 1)), AtMillis: testMillis, Data: data})
	}
	return records
}

func applyAll(records []recorder.Record) *Fold {
	f := New(Config{Entry: "a"})
	f.BeginPage(0)
	for _, r := range records {
		f.Apply(r)
	}
	return f
}

// BenchmarkApply measures the time and the memory per contract in configurations of growing size.
func BenchmarkApply(b *testing.B) {
	for _, contracts := range []int{1_000, 10_000, 43_000} {
		b.Run(fmt.Sprint(contracts), func(b *testing.B) {
			records := benchRecords(b, contracts)
			for b.Loop() {
				before := heapBytes()
				f := applyAll(records)
				b.ReportMetric(float64(heapBytes()-before)/float64(contracts), "heap-B/contract")
				runtime.KeepAlive(f)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*contracts), "ns/change")
		})
	}
}

// BenchmarkSnapshot measures the time to write a snapshot, its size and the time to restore it.
func BenchmarkSnapshot(b *testing.B) {
	for _, contracts := range []int{1_000, 10_000, 43_000} {
		f := applyAll(benchRecords(b, contracts))
		var parts [][]byte
		b.Run(fmt.Sprintf("write/%d", contracts), func(b *testing.B) {
			for b.Loop() {
				parts, _ = f.Snapshot(time.UnixMilli(testMillis))
			}
			size := 0
			for _, part := range parts {
				size += len(part)
			}
			b.ReportMetric(float64(size)/float64(contracts), "B/contract")
			b.ReportMetric(float64(len(parts)), "parts")
		})
		b.Run(fmt.Sprintf("restore/%d", contracts), func(b *testing.B) {
			for b.Loop() {
				if !New(Config{}).Restore(parts, time.UnixMilli(testMillis)) {
					b.Fatal("not restored")
				}
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// FuzzApply applies any record to a Fold, in a complete stream and behind a gap. The Fold must not panic, and
// its resulting configuration must survive a snapshot.
func FuzzApply(f *testing.F) {
	for _, r := range benchRecords(f, 1) {
		f.Add(r.Data)
	}
	parts, err := applyAll(benchRecords(f, 1)).Snapshot(time.UnixMilli(testMillis))
	require.NoError(f, err)
	f.Add(parts[0])
	f.Add([]byte("no record"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, first := range []int64{0, 10_000} {
			fold := applyAll(benchRecords(t, 1))
			fold.BeginPage(first)
			before := fold.Offset()
			fold.Apply(recorder.Record{Offset: 10_001, AtMillis: testMillis, Data: data})
			require.GreaterOrEqual(t, fold.Offset(), before)
			parts, err := fold.Snapshot(time.UnixMilli(testMillis))
			require.NoError(t, err)
			fresh := New(Config{})
			require.True(t, fresh.Restore(parts, time.UnixMilli(testMillis)))
			require.Equal(t, fingerprint(fold), fingerprint(fresh))
		}
		if c, err := decode(data); err == nil && c.Change != nil {
			_, err := EncodeChange(*c.Change)
			var encodeErr *EncodeError
			require.True(t, err == nil || errors.As(err, &encodeErr))
		}
	})
}

// BenchmarkPools requests the pools beside many contracts, as the core does at each tick.
func BenchmarkPools(b *testing.B) {
	f := applyAll(benchRecords(b, 43_000))
	for b.Loop() {
		if len(f.Pools()) != 3 {
			b.Fatal("three pools")
		}
	}
}
