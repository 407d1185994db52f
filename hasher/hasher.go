// Package hasher spreads the bits of hashes that were put together from others.
package hasher

// Mix is the finaliser of SplitMix64: each bit of the input changes about half of the output's bits. Of the
// exclusive or of two hashes it makes a rank that is even over all members and differs for each seed.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
