package budgeter

import "math"

// Shares of a process's memory and sockets that clients may hold. An endpoint's connection goes with each request that is
// served, and others with peers.
const (
	DefaultMemoryShare = 0.25
	DefaultSocketShare = 0.3
)

// Limits of a process whose VM has none, in bytes and in sockets.
const (
	DefaultMemoryBytes = 256 << 20
	DefaultSockets     = 4096
)

const (
	// connectionShare is the most of the memory that connections without requests hold.
	connectionShare = 0.75
	// auxiliaryShare is the part of the clients' share that goes to sockets that serve no requests, such as readiness checks.
	auxiliaryShare = 0.1
	// minConnections is the least number of connections of a listener.
	minConnections = 8
)

// Limits are the limits of a process.
type Limits struct {
	// MemoryBytes and Sockets are those of the process; 0 means the defaults.
	MemoryBytes int64
	Sockets     int
	// MemoryShare and SocketShare are the shares that clients may hold; 0 means the defaults.
	MemoryShare, SocketShare float64
}

// ForMemory returns the configuration of a ledger whose connections are bounded by its memory alone.
func ForMemory(memoryBytes int64) Config {
	requests, _ := Divide(Limits{MemoryBytes: memoryBytes, Sockets: math.MaxInt32})
	return requests
}

// ConnectionsWithin returns how many connections without a request a share of the memory holds.
func ConnectionsWithin(memoryBytes int64, share float64) int {
	return max(int(share*float64(memoryBytes)/ConnectionBytes), minConnections)
}

// Divide returns the configuration of the ledger for requests, and of the one for all else that clients may connect to.
func Divide(limits Limits) (requests, auxiliary Config) {
	setDefault(&limits.MemoryBytes, DefaultMemoryBytes)
	setDefault(&limits.Sockets, DefaultSockets)
	setDefault(&limits.MemoryShare, DefaultMemoryShare)
	setDefault(&limits.SocketShare, DefaultSocketShare)
	bytes := limits.MemoryShare * float64(limits.MemoryBytes)
	sockets := limits.SocketShare * float64(limits.Sockets)
	share := func(part float64) Config {
		connections := min(part*sockets, part*bytes*connectionShare/ConnectionBytes)
		return Config{
			Bytes:       max(int64(part*bytes), 2*minConnections*ConnectionBytes),
			Connections: max(int(connections), minConnections),
		}
	}
	return share(1 - auxiliaryShare), share(auxiliaryShare)
}

func setDefault[T int | int64 | float64](value *T, to T) {
	if *value <= 0 {
		*value = to
	}
}
