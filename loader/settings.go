// Package loader reads an entry's settings: JSON with comments, checked whole, every fault named by its
// field, line and column.
package loader

import (
	"encoding/hex"
	"time"
)

// Millis is a length of time in whole milliseconds, the only unit of time in settings.
type Millis int64

// Duration converts to the standard type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Secret is text that must not reach a log, an error or a page. It prints as its mask.
type Secret string

const mask = "(secret)"

// String returns a mask, so that a format verb can't print the secret.
func (s Secret) String() string { return mask }

// GoString returns a mask, so that %#v can't print the secret.
func (s Secret) GoString() string { return mask }

// MarshalText gives a mask, so that an encoder can't print the secret.
func (s Secret) MarshalText() ([]byte, error) { return []byte(mask), nil }

// Reveal returns the secret itself.
func (s Secret) Reveal() string { return string(s) }

// Settings are what one entry process learns at its start. The comments below become docs/Config.md.
// The check tag names the rule that check.go applies, the min and max tags bound numbers.
type Settings struct {
	// Name of this entry, unlike that of any other. A replaced VM may take its predecessor's name.
	Name string `json:"name" check:"label"`
	// Availability zone that this entry runs in.
	Zone string `json:"zone" check:"label"`
	// Region of the availability zone.
	Region string `json:"region" check:"label"`

	// Where callers connect: IP number and port.
	CallerAddress string `json:"callerAddress" check:"address"`
	// Where operators connect: IP number and port. It also serves the metrics and the status page.
	OperatorAddress string `json:"operatorAddress" check:"address"`
	// Where other entries connect: IP number and port.
	PeerAddress string `json:"peerAddress" check:"address"`
	// The caller address as others should use it, when it is not the one listened on.
	AdvertisedCallerAddress string `json:"advertisedCallerAddress" check:"address,optional"`
	// The peer address as others should use it, when it is not the one listened on.
	AdvertisedPeerAddress string `json:"advertisedPeerAddress" check:"address,optional"`
	// Peer addresses of some other entries, to meet the rest by. This entry's own may be among them.
	SeedPeers []string `json:"seedPeers" check:"address"`

	// Where the platform's log service answers.
	LogURL string `json:"logUrl" check:"url"`
	// Where the platform's list of VMs answers.
	VMsURL string `json:"vmsUrl" check:"url"`
	// Where the platform's weight store answers. Engines load from it, not entries: the two settings that
	// follow hold the orders to load back to what it allows.
	WeightsURL string `json:"weightsUrl" check:"url,optional"`
	// Loads a minute that the weight store allows, all pools and engines together.
	WeightLoadsPerMinute int64 `json:"weightLoadsPerMinute" min:"1" max:"600000"`
	// Loads that the weight store allows at once when it was left alone for a while.
	WeightLoadBurst int64 `json:"weightLoadBurst" min:"1" max:"10000"`

	// Key by which entries prove to each other that they belong together: at least 32 bytes as hex.
	// Make one with `geraniumline key new --shared`. Give this or sharedKeyFile.
	SharedKey Secret `json:"sharedKey" check:"key,optional"`
	// File with the shared key as hex, in place of sharedKey.
	SharedKeyFile string `json:"sharedKeyFile" check:"optional"`
	// A second key, as hex, that peers may prove themselves by. It lets the shared key be changed with the
	// entries restarted one after another: first all take the new key here, then all take it as sharedKey and
	// the old one here, then it goes.
	OtherSharedKey Secret `json:"otherSharedKey" check:"key,optional"`
	// Who may use the operators' address.
	Operators []Operator `json:"operators"`
	// Certificates of the listening sockets. Without them callers and operators are served in the clear.
	TLS TLS `json:"tls"`

	// Time between two heartbeats to a peer.
	HeartbeatMillis Millis `json:"heartbeatMillis" min:"10" max:"60000"`
	// Silence after which a peer is suspected and gets no new callers.
	SuspectMillis Millis `json:"suspectMillis" min:"20" max:"600000"`
	// Silence after which a peer is taken for dead.
	DeadMillis Millis `json:"deadMillis" min:"50" max:"3600000"`
	// How long a caller may keep an answer that tells which entries to use. A planned stop takes at
	// least this long.
	AddressTTLMillis Millis `json:"addressTtlMillis" min:"100" max:"3600000"`
	// How long claims are gathered before they go to the log in one append. Longer saves appends and
	// delays every request that may not be repeated.
	ClaimWindowMillis Millis `json:"claimWindowMillis" min:"1" max:"10000"`
	// How long an idempotency key is remembered. It must be shorter than the log's retention.
	KeyHorizonMillis Millis `json:"keyHorizonMillis" min:"1000" max:"604800000"`
	// Longest time between two snapshots of the configuration in the log. It must be at most a third of the
	// log's retention, so that a whole snapshot is there before its predecessor expires.
	SnapshotMillis Millis `json:"snapshotMillis" min:"100" max:"86400000"`
	// Time between two readings of the platform's list of VMs.
	VMListMillis Millis `json:"vmListMillis" min:"50" max:"600000"`
	// Time between two readings of an endpoint's load.
	LoadReportMillis Millis `json:"loadReportMillis" min:"10" max:"600000"`
	// How much longer than addressTtlMillis a planned stop goes on serving. Peers give this entry's address
	// out until they hear of the stop: up to suspectMillis, where its own heartbeats do not reach them.
	DrainMillis Millis `json:"drainMillis" min:"100" max:"86400000"`

	// Largest body of a caller's or an operator's request.
	MaxBodyBytes int64 `json:"maxBodyBytes" min:"1024" max:"67108864"`
	// Largest number of open connections at one listening socket.
	MaxConnections int64 `json:"maxConnections" min:"8" max:"1000000"`
	// What is kept and exported of traces.
	Traces Traces `json:"traces"`
	// Least severe log line that is written.
	LogLevel string `json:"logLevel" check:"logLevel"`
}

// Operator is one person or script that may use the operators' address.
type Operator struct {
	// User name in basic authentication; it is written beside each change that the operator makes.
	Name string `json:"name" check:"label"`
	// SHA-256 of the operator's credential as hex. `geraniumline credential new` prints both.
	CredentialSHA256 string `json:"credentialSha256" check:"sha256"`
}

// TLS names the certificates of the listening sockets.
type TLS struct {
	// Certificate of the callers' socket.
	Caller Certificate `json:"caller"`
	// Certificate of the operators' socket.
	Operator Certificate `json:"operator"`
}

// Certificate names the two PEM files of a certificate. They are read again when they change.
type Certificate struct {
	// PEM file with the certificate chain.
	CertFile string `json:"certFile" check:"optional"`
	// PEM file with the private key.
	KeyFile string `json:"keyFile" check:"optional"`
}

// Traces says what is kept and exported of traces.
type Traces struct {
	// Where spans are sent by OTLP over HTTP; without it they are only kept.
	OTLPURL string `json:"otlpUrl" check:"url,optional"`
	// Spans that may wait to be sent; past it they are dropped and counted.
	QueueSize int64 `json:"queueSize" min:"1" max:"1000000"`
	// Recent traces that are kept in memory for `geraniumline trace`.
	Kept int64 `json:"kept" min:"0" max:"100000"`
}

// Defaults returns the settings that a file need not name.
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
		MaxConnections:       4096,
		Traces:               Traces{QueueSize: 4096, Kept: 256},
		LogLevel:             "info",
	}
}

// CallerAdvertiseAddress returns the address that callers are told.
func (s Settings) CallerAdvertiseAddress() string {
	if s.AdvertisedCallerAddress != "" {
		return s.AdvertisedCallerAddress
	}
	return s.CallerAddress
}

// PeerAdvertiseAddress returns the address that peers are told.
func (s Settings) PeerAdvertiseAddress() string {
	if s.AdvertisedPeerAddress != "" {
		return s.AdvertisedPeerAddress
	}
	return s.PeerAddress
}

// Key returns the shared key's bytes. It is empty in settings that were not checked.
func (s Settings) Key() []byte { return keyBytes(s.SharedKey) }

// OtherKeys returns the bytes of the keys beside the shared one that peers may prove themselves by.
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
