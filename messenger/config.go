package messenger

import (
	"fmt"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"geraniumline/carrier"
)

// minKeySize is the minimum length of the shared key, in bytes. An attacker who obtains a peer's proof can test keys
// against it offline, so the key must be random and not a word.
const minKeySize = 16

// DefaultMaxPending is the default of Config.MaxPending.
const DefaultMaxPending = 64

const (
	defaultMaxFrame         = 1 << 20
	defaultMaxQueue         = 4 << 20
	defaultMaxConnections   = 4096
	defaultMaxStreams       = 512
	defaultMaxPeers         = 4096
	defaultDialTimeout      = time.Second
	defaultHandshakeTimeout = 2 * time.Second
	defaultWriteTimeout     = 5 * time.Second
	defaultSilenceTimeout   = 2 * time.Second
	defaultIdleTimeout      = time.Minute
	defaultBackoffMin       = 50 * time.Millisecond
	defaultBackoffMax       = time.Second
)

// Handler handles a message from the peer that was authenticated under the name from. It is called from one goroutine
// for each connection; while it runs, nothing more is read from that peer.
type Handler func(from string, m carrier.Message)

// Config holds a Messenger's dependencies and limits. Zero limits take their defaults.
type Config struct {
	Listen net.Listener
	// Name is this entry's name.
	Name string
	// Key is shared by all entries of the system and has at least minKeySize bytes.
	Key []byte
	// OtherKeys are accepted from dialers too, so that the key can be changed in a rolling restart: first all entries
	// accept the new key here, then all dial with it and accept the old one here, then the old one is removed.
	OtherKeys [][]byte
	Handler   Handler
	// StreamHandler serves the call that opens a stream of the authenticated peer. The stream is closed when it returns.
	// Streams are refused if it is nil.
	StreamHandler func(from string, call *carrier.RelayCall, s *Stream)
	// OnRefused is called with the address of each connection attempt that was refused, which means that no process
	// listens there. It may be nil and must not block.
	OnRefused func(address string)
	Log       *zap.Logger
	Registry  metrics.Registry

	// MaxFrame is the maximum size of a frame without its length field, in bytes.
	MaxFrame int
	// MaxQueue is the maximum number of encoded bytes queued for one peer.
	MaxQueue int
	// MaxConnections is the maximum number of accepted connections that are authenticated.
	MaxConnections int
	// MaxPending is the maximum number of accepted connections that are not authenticated yet; beyond it the oldest is
	// closed.
	MaxPending int
	// MaxStreams is the maximum number of streams that peers may have open.
	MaxStreams int
	// MaxPeers is the maximum number of peer addresses with an active sender.
	MaxPeers int

	DialTimeout      time.Duration
	HandshakeTimeout time.Duration
	WriteTimeout     time.Duration
	// SilenceTimeout closes a connection if the peer's kernel doesn't acknowledge sent bytes.
	SilenceTimeout time.Duration
	// IdleTimeout ends a sender without messages. An accepted connection that receives nothing is closed after twice
	// as long.
	IdleTimeout time.Duration
	BackoffMin  time.Duration
	BackoffMax  time.Duration
}

// KeyError reports a shared key that is too short. Length is in bytes.
type KeyError struct {
	Length int
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("shared key has %d bytes, need at least %d", e.Length, minKeySize)
}

// checkKeys returns a KeyError if a key is too short. An empty key would let anyone connect.
func (c Config) checkKeys() error {
	for _, key := range append([][]byte{c.Key}, c.OtherKeys...) {
		if len(key) < minKeySize {
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
	setDefault(&c.MaxPending, DefaultMaxPending)
	setDefault(&c.MaxStreams, defaultMaxStreams)
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
