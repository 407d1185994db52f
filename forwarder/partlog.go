package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
)

const (
	// partsDuty is the duty of storing the parts of prompts that crash endpoints.
	partsDuty = "parts"
	// maxStoredPartsAge is the age from which on stored parts are not used: they would hold back prompts for what happened
	// before a long stop of the whole system.
	maxStoredPartsAge = 10 * time.Minute
)

// PartsToStore returns the encoded parts of prompts that crash endpoints, which this entry should write to the store if it
// is the one to do so, and their checksum.
func (f *Forwarder) PartsToStore(now time.Time) (data []byte, sum uint32, writes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.partsLoaded || f.settling(now) || f.rank(partsDuty) > 0 {
		return nil, 0, false
	}
	// The list of a whole process fits in memory, so encoding it can't fail.
	data, _ = (&carrier.PartCrashes{Parts: f.parts.All(now)}).MarshalMsg(nil)
	return data, f.parts.Sum(), true
}

// ShouldLoadParts reports whether this entry should read the stored parts now: once, after a start that is not the system's
// first one.
func (f *Forwarder) ShouldLoadParts(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.partsLoaded && now.Sub(f.startTime) >= time.Duration(f.rank(partsDuty))*restoreDelay
}

// LoadParts merges parts that were stored some time ago; without data the store has none.
func (f *Forwarder) LoadParts(data []byte, age time.Duration, now time.Time) error {
	var m carrier.PartCrashes
	var err error
	if len(data) > 0 && age < maxStoredPartsAge {
		_, err = m.UnmarshalMsg(data)
	}
	f.mu.Lock()
	f.partsLoaded = true
	if err == nil {
		f.logPartChanges(f.parts.Merge(m.Parts, now))
	}
	f.mu.Unlock()
	f.log.Info("parts of prompts that crash endpoints read from the store", zap.Int("parts", len(m.Parts)), zap.Duration("age", age), zap.Error(err))
	return err
}
