// Package resumer decides at which version of the endpoints' software a stream that its caller resumes may continue. The
// outputs of two versions don't fit together, so a stream may continue only at the version that began it.
//
// Origins holds the versions that began streams, as reported by the entries that served them, and History the versions that
// were listed for each service. Both are pure: callers pass in the current time.
package resumer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minWindow is the minimum time for which a stream may be resumed after its first event: longer than callers wait.
	minWindow = 30 * time.Second
	// MaxWindow is the longest such time.
	MaxWindow = 10 * time.Minute
)

// Window returns how long after its first event a stream may be resumed, given the timeout of one attempt.
func Window(timeout time.Duration) time.Duration { return min(max(minWindow, 2*timeout), MaxWindow) }

// Key identifies a stream.
type Key uint64

// KeyOf returns the key of a client account's stream. attempt is the ID of the caller's attempt that received its first
// event; callers choose their IDs, so the same ID of another account is another stream.
func KeyOf(account, service, attempt string) Key {
	var d xxhash.Digest
	for _, part := range []string{account, service, attempt} {
		_, _ = d.WriteString(part) // a Digest returns no error
		_, _ = d.Write([]byte{0})
	}
	return Key(d.Sum64())
}

// View is what one entry has seen of the versions of a service within a window.
type View struct {
	// Listed is set if any version was listed, Several if there was more than one, and Version is the only one.
	Listed  bool
	Several bool
	Version string
	// FullWindow is set if the entry has followed the list for the whole window, and Fresh if its list is recent.
	FullWindow bool
	Fresh      bool
}

// Single reports whether there was only one version.
func (v View) Single() bool { return v.Listed && !v.Several }

// Decision is either Resume or UnknownOrigin.
type Decision interface{ decision() }

// Resume means that the stream was begun by the version and may continue there.
type Resume struct{ Version string }

// UnknownOrigin means that the stream may have been begun by any of several versions, or by one that is no longer listed.
type UnknownOrigin struct{}

func (Resume) decision()        {}
func (UnknownOrigin) decision() {}

// Decide decides about a stream whose origin is not found, from what this entry and its peers have seen. It may resume if
// there was only one version: some entry must have followed the list for the whole window, and some entry must have a recent
// list, since entries that can't be reached may know a version that has just appeared.
func Decide(own View, peers []View) Decision {
	if !own.Single() {
		return UnknownOrigin{}
	}
	fullWindow, fresh := own.FullWindow, own.Fresh
	for _, peer := range peers {
		if peer.Several || peer.Listed && peer.Version != own.Version {
			return UnknownOrigin{}
		}
		fullWindow = fullWindow || peer.Listed && peer.FullWindow
		fresh = fresh || peer.Listed && peer.Fresh
	}
	if !fullWindow || !fresh {
		return UnknownOrigin{}
	}
	return Resume{Version: own.Version}
}
