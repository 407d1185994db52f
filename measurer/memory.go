package measurer

import "runtime"

// HeapBytes returns the number of heap bytes that the result of build keeps alive, measured between two forced
// collections. It is meant for growth rates in benchmarks: allocations of other goroutines are counted too.
func HeapBytes(build func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	if after.HeapAlloc < before.HeapAlloc {
		return 0
	}
	return after.HeapAlloc - before.HeapAlloc
}
