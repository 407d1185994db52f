package messenger

import (
	"fmt"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"geraniumline/carrier"
)

// minKey is the least length of the shared key, in bytes. Whoever makes a peer prove itself can try keys
// offline against that proof, so the key must be random and not a word.
const minKey = 16

const (
	defaultMaxFrame         = 1 << 20
	defaultMaxQueue         = 4 << 20
	defaultMaxConnections   = 4096
	defaultMaxPending       = 64
	defaultMaxPeers         = 4096
	defaultDialTimeout      = time.Second
	defaultHandshakeTimeout = 2 * time.Second
	defaultWriteTimeout     = 5 * time.Second
	defaultSilenceTimeout   = 2 * time.Second
	defaultIdleTimeout      = time.Minute
	defaultBackoffMin       = 50 * time.Millisecond
	defaultBackoffMax       = time.Second
)

// Handler takes a message from the peer that proved the name. It is called from one goroutine for each
// connection; while it runs, no more is read from that peer.
type Handler func(from string, m carrier.Message)

// Config holds a Messenger's parts and limits. Limits that are zero get their defaults.
type Config struct {
	Listen net.Listener
	// Name is this entry's name.
	Name string
	// Key is shared by all entries of the system; at least minKey bytes.
	Key []byte
	// OtherKeys may be proved by dialers too, so that the key can be changed with the entries restarted one after
	// another: first all take the new key here, then all dial with it and take the old one here, then it goes.
	OtherKeys [][]byte
	Handler   Handler
	// OnRefused is told of each try to connect that the address refused: no process listens there. It may be nil and
	// must not wait.
	OnRefused func(address string)
	Log       *zap.Logger
	Registry  metrics.Registry

	// MaxFrame is the most bytes of a frame after its length field.
	MaxFrame int
	// MaxQueue is the most encoded bytes that wait for one peer.
	MaxQueue int
	// MaxConnections is the most accepted connections that have proved themselves.
	MaxConnections int
	// MaxPending is the most accepted connections that have not proved themselves yet; the oldest gives way.
	MaxPending int
	// MaxPeers is the most peer addresses that are sent to at a time.
	MaxPeers int

	DialTimeout      time.Duration
	HandshakeTimeout time.Duration
	WriteTimeout     time.Duration
	// SilenceTimeout ends a connection whose bytes the peer's kernel doesn't acknowledge.
	SilenceTimeout time.Duration
	// IdleTimeout ends a connection on which nothing arrives, and a sender that nothing is given to.
	IdleTimeout time.Duration
	BackoffMin  time.Duration
	BackoffMax  time.Duration
}

// KeyError tells that the shared key is too short to prove anything.
type KeyError struct {
	Length int
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("shared key has %d bytes, at least %d are needed", e.Length, minKey)
}

// checkKeys gives a KeyError if a key is too short. An empty one would let anybody in.
func (c Config) checkKeys() error {
	for _, key := range append([][]byte{c.Key}, c.OtherKeys...) {
		if len(key) < minKey {
			return &KeyError{Length: len(key)}
		}
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	setDefault(&c.MaxFrame, defaultMaxFrame)
	setDefault(&c.MaxQueue, defaultMaxQueue)
	setDefault(&c.MaxConnections, defaultMaxConnections)
	setDefault(&c.MaxPending, defaultMaxPending)
	setDefault(&c.MaxPeers, defaultMaxPeers)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.HandshakeTimeout, defaultHandshakeTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.SilenceTimeout, defaultSilenceTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.BackoffMin, defaultBackoffMin)
	setDefault(&c.BackoffMax, defaultBackoffMax)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
