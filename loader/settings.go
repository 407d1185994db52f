// Package loader reads an entry's settings from JSON with comments. It checks the whole file and reports every fault
// with its field, line and column.
package loader

import (
	"encoding/hex"
	"time"
)

// Millis is a duration in whole milliseconds, the only unit of time in settings.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Secret is text that must not appear in logs, errors or pages. It is printed and encoded as a mask.
type Secret string

const mask = "(secret)"

// String returns a mask, so that a format verb can't print the secret.
func (s Secret) String() string { return mask }

// GoString returns a mask, so that %#v can't print the secret.
func (s Secret) GoString() string { return mask }

// MarshalText returns a mask, so that an encoder can't write the secret.
func (s Secret) MarshalText() ([]byte, error) { return []byte(mask), nil }

// Reveal returns the secret in plain text.
func (s Secret) Reveal() string { return string(s) }

// Settings holds the settings that an entry reads at startup. Package documenter makes docs/Config.md from the field
// comments. The check tag names a rule in check.go; the min and max tags limit numbers.
type Settings struct {
	// Unique name of this entry. An entry on a replacement VM may use its predecessor's name.
	Name string `json:"name" check:"label"`
	// Availability zone in which this entry runs.
	Zone string `json:"zone" check:"label"`
	// Region of the availability zone.
	Region string `json:"region" check:"label"`

	// Listen address for callers: IP address and port.
	CallerAddress string `json:"callerAddress" check:"address"`
	// Listen address for operators: IP address and port. It also serves the metrics and the status page.
	OperatorAddress string `json:"operatorAddress" check:"address"`
	// Listen address for other entries: IP address and port.
	PeerAddress string `json:"peerAddress" check:"address"`
	// Address that callers should connect to, if it differs from callerAddress.
	AdvertisedCallerAddress string `json:"advertisedCallerAddress" check:"address,optional"`
	// Address that other entries should connect to, if it differs from peerAddress.
	AdvertisedPeerAddress string `json:"advertisedPeerAddress" check:"address,optional"`
	// Peer addresses of some other entries, through which this entry discovers the rest. May include its own address.
	SeedPeers []string `json:"seedPeers" check:"address"`

	// URL of the platform's log service.
	LogURL string `json:"logUrl" check:"url"`
	// URL of the platform's VM list.
	VMsURL string `json:"vmsUrl" check:"url"`
	// URL of the platform's weight store. Engines load from it, not entries: weightLoadsPerMinute and
	// weightLoadBurst limit the load orders to the rate that the store allows.
	WeightsURL string `json:"weightsUrl" check:"url,optional"`
	// Loads per minute that the weight store allows for all pools and engines together.
	WeightLoadsPerMinute int64 `json:"weightLoadsPerMinute" min:"1" max:"600000"`
	// Loads that the weight store allows at once after a period without loads.
	WeightLoadBurst int64 `json:"weightLoadBurst" min:"1" max:"10000"`

	// Key by which entries authenticate to each other: at least 32 bytes as hex. Create one with
	// `geraniumline key new --shared`. Set either this or sharedKeyFile.
	SharedKey Secret `json:"sharedKey" check:"key,optional"`
	// File that contains the shared key as hex, as an alternative to sharedKey.
	SharedKeyFile string `json:"sharedKeyFile" check:"optional"`
	// A second key, as hex, that is accepted from peers. It allows rotating the shared key by rolling restarts: first
	// set the new key here on all entries, then set it as sharedKey and the old key here, and finally remove the old
	// key.
	OtherSharedKey Secret `json:"otherSharedKey" check:"key,optional"`
	// Operators that may use the operator address.
	Operators []Operator `json:"operators"`
	// Certificates of the listening sockets. Without them, connections of callers and operators are not encrypted.
	TLS TLS `json:"tls"`

	// Time between two heartbeats to a peer.
	HeartbeatMillis Millis `json:"heartbeatMillis" min:"10" max:"60000"`
	// Silence after which a peer is suspected and gets no new callers.
	SuspectMillis Millis `json:"suspectMillis" min:"20" max:"600000"`
	// Silence after which a peer is considered dead.
	DeadMillis Millis `json:"deadMillis" min:"50" max:"3600000"`
	// How long a caller may cache the list of entry addresses. A planned stop takes at least this long.
	AddressTTLMillis Millis `json:"addressTtlMillis" min:"100" max:"3600000"`
	// How long claims are collected before they are written to the log in one append. A longer time saves appends
	// but delays every request that must not be repeated.
	ClaimWindowMillis Millis `json:"claimWindowMillis" min:"1" max:"10000"`
	// How long an idempotency key is remembered. Must be shorter than the log's retention.
	KeyHorizonMillis Millis `json:"keyHorizonMillis" min:"1000" max:"604800000"`
	// Maximum time between two snapshots of the configuration in the log. Must be at most a third of the log's
	// retention, so that a complete snapshot exists before its predecessor expires.
	SnapshotMillis Millis `json:"snapshotMillis" min:"100" max:"86400000"`
	// Time between two reads of the platform's VM list.
	VMListMillis Millis `json:"vmListMillis" min:"50" max:"600000"`
	// Time between two reads of an endpoint's load.
	LoadReportMillis Millis `json:"loadReportMillis" min:"10" max:"600000"`
	// How much longer than addressTtlMillis an entry serves requests during a planned stop. Peers return its address to
	// callers until they learn of the stop, which takes up to suspectMillis if its heartbeats don't reach them.
	DrainMillis Millis `json:"drainMillis" min:"100" max:"86400000"`

	// Maximum size of the body of a request from a caller or an operator.
	MaxBodyBytes int64 `json:"maxBodyBytes" min:"1024" max:"67108864"`
	// Memory that the process may use, of which about a quarter may be held by the requests of callers and operators and by
	// their bodies. Must be at least 32 times maxBodyBytes, so that one body of that size can always be served.
	MemoryBytes int64 `json:"memoryBytes" min:"67108864" max:"1099511627776"`
	// Maximum number of open connections per listening socket. Callers have no more than a fifth of memoryBytes holds at 48 KiB
	// each, operators no more than a twentieth.
	MaxConnections int64 `json:"maxConnections" min:"8" max:"1000000"`
	// Retention and export of traces.
	Traces Traces `json:"traces"`
	// Minimum severity of log lines.
	LogLevel string `json:"logLevel" check:"logLevel"`
}

// Operator is a person or script that may use the operator address.
type Operator struct {
	// User name for basic authentication. It is recorded with each change that the operator makes.
	Name string `json:"name" check:"label"`
	// SHA-256 of the operator's credential as hex. `geraniumline credential new` prints both.
	CredentialSHA256 string `json:"credentialSha256" check:"sha256"`
}

// TLS names the certificates of the listening sockets.
type TLS struct {
	// Certificate of the socket for callers.
	Caller Certificate `json:"caller"`
	// Certificate of the socket for operators.
	Operator Certificate `json:"operator"`
}

// Certificate names the two PEM files of a certificate. They are reloaded when they change.
type Certificate struct {
	// PEM file that contains the certificate chain.
	CertFile string `json:"certFile" check:"optional"`
	// PEM file that contains the private key.
	KeyFile string `json:"keyFile" check:"optional"`
}

// Traces configures the retention and export of traces.
type Traces struct {
	// URL to which spans are exported by OTLP over HTTP. Without it, traces are only kept in memory.
	OTLPURL string `json:"otlpUrl" check:"url,optional"`
	// Maximum number of spans queued for export. Further spans are dropped and counted.
	QueueSize int64 `json:"queueSize" min:"1" max:"1000000"`
	// Number of recent traces kept in memory for `geraniumline trace`.
	Kept int64 `json:"kept" min:"0" max:"100000"`
}

// Defaults returns the default values of optional settings.
func Defaults() Settings {
	return Settings{
		HeartbeatMillis:      200,
		SuspectMillis:        1000,
		DeadMillis:           3000,
		AddressTTLMillis:     5000,
		ClaimWindowMillis:    40,
		KeyHorizonMillis:     3_600_000,
		SnapshotMillis:       600_000,
		WeightLoadsPerMinute: 60,
		WeightLoadBurst:      2,
		VMListMillis:         1000,
		LoadReportMillis:     250,
		DrainMillis:          1500,
		MaxBodyBytes:         1 << 20,
		MemoryBytes:          1 << 30,
		MaxConnections:       4096,
		Traces:               Traces{QueueSize: 4096, Kept: 256},
		LogLevel:             "info",
	}
}

// CallerAdvertiseAddress returns the address that is advertised to callers.
func (s Settings) CallerAdvertiseAddress() string {
	if s.AdvertisedCallerAddress != "" {
		return s.AdvertisedCallerAddress
	}
	return s.CallerAddress
}

// PeerAdvertiseAddress returns the address that is advertised to peers.
func (s Settings) PeerAdvertiseAddress() string {
	if s.AdvertisedPeerAddress != "" {
		return s.AdvertisedPeerAddress
	}
	return s.PeerAddress
}

// Key returns the bytes of the shared key, or nil if it is not valid hex, as may be in settings that were not checked.
func (s Settings) Key() []byte { return keyBytes(s.SharedKey) }

// OtherKeys returns the bytes of the additional keys that are accepted from peers.
func (s Settings) OtherKeys() [][]byte {
	if s.OtherSharedKey == "" {
		return nil
	}
	return [][]byte{keyBytes(s.OtherSharedKey)}
}

func keyBytes(secret Secret) []byte {
	key, err := hex.DecodeString(secret.Reveal())
	if err != nil {
		return nil
	}
	return key
}
