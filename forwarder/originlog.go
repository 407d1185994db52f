package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/meter"
	"geraniumline/resumer"
)

const (
	// maxStoringEntries is the number of entries up to which origins are stored. In a larger fleet each would have to read
	// those of all others after a restart.
	maxStoringEntries = 64
	// maxUnstored limits the origins that wait to be written.
	maxUnstored = 4096
	// loadTimeout is how long after its first list an entry tries to read the stored origins.
	loadTimeout = 30 * time.Second
)

// storeOrigins has origins written to the store, for the case that all entries that know them end. The lock must be held.
func (f *Forwarder) storeOrigins(list []resumer.Origin) {
	if len(list) == 0 || !f.isSmallFleet() {
		return
	}
	o := &f.origins
	room := min(len(list), maxUnstored-len(o.unstored))
	o.unstored = append(o.unstored, list[:room]...)
	if room < len(list) {
		f.cfg.Meter.Counter(meter.StreamOriginsDropped).Inc(int64(len(list) - room))
	}
}

// isSmallFleet reports whether there are few enough entries to store origins. The lock must be held.
func (f *Forwarder) isSmallFleet() bool {
	n := 0
	for range f.detector.All() {
		n++
		if n > maxStoringEntries {
			return false
		}
	}
	return true
}

// TakeOrigins returns the origins to write to the store.
func (f *Forwarder) TakeOrigins() []resumer.Origin {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.origins.unstored
	f.origins.unstored = nil
	return list
}

// ShouldLoadOrigins reports whether this entry should read the stored origins now: once, after a start that is not the
// system's first one.
func (f *Forwarder) ShouldLoadOrigins(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &f.origins.restoration
	return !f.origins.loaded && !r.firstAt.IsZero() && now.Sub(r.firstAt) < loadTimeout && f.isSmallFleet()
}

// OriginsLoaded keeps the origins that were read from the store. That a stream's endpoint turned out to have another version
// may not have been written any more.
func (f *Forwarder) OriginsLoaded(list []resumer.Origin, now time.Time) {
	f.mu.Lock()
	f.origins.loaded = true
	for _, origin := range list {
		origin.Doubtful = origin.Doubtful || f.changedVersion(&origin)
		if !f.origins.kept.Add(origin, now) {
			f.cfg.Meter.Counter(meter.StreamOriginsDropped).Inc(1)
		}
	}
	f.mu.Unlock()
	f.log.Info("origins of streams read from the store", zap.Int("streams", len(list)))
}
