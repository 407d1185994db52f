package measurer

import "runtime"

// HeapBytes gives the heap that what build returns holds on to, by two forced collections.
// It is for slopes in benchmarks: other goroutines' allocations would count too.
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
