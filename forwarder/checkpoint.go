package forwarder

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumline/locator"
	"geraniumline/registrar"
	"geraniumline/resumer"
)

const (
	// versionsDuty is the duty of storing the history of versions.
	versionsDuty = "versions"
	// versionsReaders is how many entries may read the registrations that a checkpoint lacks; the others wait for a newer
	// checkpoint. With thousands of endpoints these are megabytes.
	versionsReaders = 8
	// restoreDelay is how much later each further entry in the order for the duty reads the checkpoint.
	restoreDelay = 10 * time.Millisecond
	// restoreTimeout is how long after its first list an entry waits for a checkpoint that it can use.
	restoreTimeout = 30 * time.Second
	// maxListGap is the longest time between two lists within which no version comes and goes. Changes leave no such gap.
	maxListGap = 5 * time.Second
)

// restoration is the state of restoring the history of versions after a start.
type restoration struct {
	// first is the position of the first list of endpoints, known since firstAt.
	first   locator.Position
	firstAt time.Time
	// done is set once the history is restored, or can't be.
	done bool
}

// noteList records that a complete list of endpoints was read or received, which may not show all changes since the last
// one. The lock must be held.
func (o *origins) noteList(position locator.Position, now time.Time) {
	r := &o.restoration
	if now.Sub(o.listedAt) > maxListGap {
		o.history.Interrupt(now)
		*r = restoration{}
	}
	if r.firstAt.IsZero() {
		r.first, r.firstAt = position, now
	}
	o.listedAt = now
}

// noteChanges records changes of endpoints that follow the known ones without a gap. The lock must be held.
func (o *origins) noteChanges(changes []registrar.Change, now time.Time) {
	o.history.Note(versionsIn(changes), now)
	o.listedAt = now
}

// Checkpoint returns the history of versions that this entry should write to the store. It returns false if it shouldn't: a
// history that could still be restored must not replace the one in the store.
func (f *Forwarder) Checkpoint(now time.Time) (resumer.Checkpoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.registry.Loaded() || !f.origins.restoration.done || f.settling(now) || f.rank(versionsDuty) > 0 || f.registry.Age(now) > maxListAge {
		return resumer.Checkpoint{}, false
	}
	return f.origins.history.Checkpoint(f.registry.Next(), now)
}

// ShouldRestore reports whether this entry should read the stored history of versions now.
func (f *Forwarder) ShouldRestore(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &f.origins.restoration
	if r.done || r.firstAt.IsZero() {
		return false
	}
	return now.Sub(r.firstAt) >= time.Duration(f.rank(versionsDuty))*restoreDelay
}

// PlanRestore returns what to do with a checkpoint.
func (f *Forwarder) PlanRestore(checkpoint locator.Position, now time.Time) resumer.RestorePlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &f.origins.restoration
	plan := resumer.PlanRestore(checkpoint, r.first)
	if _, reads := plan.(resumer.ReadSince); reads && f.rank(versionsDuty) >= versionsReaders {
		plan = resumer.AwaitCheckpoint{}
	}
	if _, waits := plan.(resumer.AwaitCheckpoint); waits && now.Sub(r.firstAt) > restoreTimeout {
		r.done = true
	}
	return plan
}

// Restore restores the history of versions from a checkpoint and the registrations since.
func (f *Forwarder) Restore(c resumer.Checkpoint, since []registrar.Change, now time.Time) {
	f.mu.Lock()
	f.origins.history.Restore(c, versionsIn(since), now)
	f.origins.restoration.done = true
	f.mu.Unlock()
	f.log.Info("history of versions restored",
		zap.Stringer("checkpoint", c.Position),
		zap.Bool("sinceFirstStart", c.SinceFirstStart),
		zap.Duration("followed", c.Followed),
		zap.Int("versions", len(c.Listings)),
		zap.Int("registrationsSince", len(since)))
}

// versionsIn returns the service and version of each registration.
func versionsIn(changes []registrar.Change) func(yield func(string, string) bool) {
	return func(yield func(string, string) bool) {
		for c := range slices.Values(changes) {
			if c.Endpoint != nil && !yield(c.Endpoint.Service, c.Endpoint.Version) {
				return
			}
		}
	}
}

// AbandonRestore records that the history of versions can't be restored.
func (f *Forwarder) AbandonRestore(reason string) {
	f.mu.Lock()
	f.origins.restoration.done = true
	f.mu.Unlock()
	f.log.Info("history of versions can't be restored", zap.String("reason", reason))
}
