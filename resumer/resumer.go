// Package resumer decides at which version of the endpoints' software a stream goes on that its caller takes up again. What
// two versions write doesn't fit together, so a stream may go on only at the version that began it.
//
// Origins holds the versions that began streams, as told by the entries that served them, and History the versions that were
// listed for each service. Both are pure: callers pass in the present time.
package resumer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minWindow is the least time for which a stream may be taken up after its first event: longer than callers wait.
	minWindow = 30 * time.Second
	// MaxWindow is the longest such time.
	MaxWindow = 10 * time.Minute
)

// Window returns how long after its first event a stream may be taken up, given the timeout of one attempt.
func Window(timeout time.Duration) time.Duration { return min(max(minWindow, 2*timeout), MaxWindow) }

// Key identifies a stream.
type Key uint64

// KeyOf returns the key of the stream of a client account and service whose first event an attempt of the caller brought.
// The attempt's ID is the caller's own, so it means nothing for another account.
func KeyOf(account, service, attempt string) Key {
	var d xxhash.Digest
	for _, part := range []string{account, service, attempt} {
		_, _ = d.WriteString(part) // a Digest returns no error
		_, _ = d.Write([]byte{0})
	}
	return Key(d.Sum64())
}

// Sight is what one entry has seen of the versions of a service within a window.
type Sight struct {
	// Listed is set if any version was listed, Several if there was more than one, and Version is the only one.
	Listed  bool
	Several bool
	Version string
	// Whole is set if the entry has followed the list for the whole window, and Fresh if its list is recent.
	Whole bool
	Fresh bool
}

// Single reports whether there was only one version.
func (s Sight) Single() bool { return s.Listed && !s.Several }

// Verdict is where a stream may go on: GoOn or Unknown.
type Verdict interface{ verdict() }

// GoOn means that the stream was begun by this version.
type GoOn struct{ Version string }

// Unknown means that the stream may have been begun by any of several versions, or by one that has gone.
type Unknown struct{}

func (GoOn) verdict()    {}
func (Unknown) verdict() {}

// Judge decides about a stream of which no origin was found, by what this entry and its peers have seen: it goes on if there
// was only one version all the time. Some entry must have followed the list all the time, and some entry must have a recent
// one: those that others can't reach may know a version that has just appeared.
func Judge(own Sight, peers []Sight) Verdict {
	if !own.Single() {
		return Unknown{}
	}
	whole, fresh := own.Whole, own.Fresh
	for _, peer := range peers {
		if peer.Several || peer.Listed && peer.Version != own.Version {
			return Unknown{}
		}
		whole = whole || peer.Listed && peer.Whole
		fresh = fresh || peer.Listed && peer.Fresh
	}
	if !whole || !fresh {
		return Unknown{}
	}
	return GoOn{Version: own.Version}
}
