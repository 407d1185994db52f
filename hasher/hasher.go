// Package hasher mixes combined hashes and assigns keys to names by rendezvous hashing.
package hasher

// Mix is the finalizer of SplitMix64: each bit of the input changes about half of the bits of the output. Applied to
// the exclusive or of two hashes, it yields a rank that is uniform over all members and different for each seed.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
