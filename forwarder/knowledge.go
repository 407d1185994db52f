package forwarder

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumline/cataloger"
	"geraniumline/collector"
	"geraniumline/divider"
	"geraniumline/locator"
	"geraniumline/registrar"
)

// ApplyConfig puts a configuration in force that was read from the store or received from a peer. A version that is
// not newer than the one in force is ignored: a stale read must not restore a route or key that was removed. It
// returns an error if the configuration can't be decoded.
func (f *Forwarder) ApplyConfig(data []byte, source string, now time.Time) error {
	catalog, err := f.cfg.DecodeConfig(data)
	if err != nil {
		f.log.Error("configuration rejected", zap.String("source", source), zap.Error(err))
		return err
	}
	f.mu.Lock()
	before := int64(-1)
	if f.catalog != nil {
		before = f.catalog.Version()
	}
	if catalog.Version() <= before {
		f.mu.Unlock()
		return nil
	}
	f.catalog = catalog
	for name, service := range catalog.Services() {
		if service.Stage == nil {
			f.selector.SetColdRate(name, service.ColdPerSecond)
		}
	}
	f.duties.reset()
	f.rawConfig = data
	f.behindSince = time.Time{}
	f.registry.SetServices(slices.Collect(maps.Keys(catalog.Services())), now)
	for name, p := range f.pools {
		if s, known := f.stageService(divider.Parse(name).Service); known {
			p.SetStage(*s.Stage)
		}
	}
	actions := f.endpointsChanged(now)
	f.mu.Unlock()
	runActions(actions)
	f.log.Info("configuration in force",
		zap.Int64("version", catalog.Version()),
		zap.Int64("before", before),
		zap.Bool("requiresKeys", catalog.RequiresKeys()),
		zap.Int("accounts", catalog.AccountCount()),
		zap.Int("keys", catalog.KeyCount()),
		zap.String("source", source))
	for _, fault := range catalog.Faults() {
		f.log.Error("part of the configuration can't be used",
			zap.Int64("version", catalog.Version()),
			zap.Error(fault))
	}
	if catalog.RequiresKeys() && catalog.KeyCount() == 0 {
		f.log.Warn("no client account has a key: all requests that need one are refused", zap.Int64("version", catalog.Version()))
	}
	if limit := catalog.Limits().BodyBytes; f.cfg.Admission != nil && limit > f.cfg.Admission.MaxBytes() {
		f.log.Warn("the longest body that the configuration allows has no room in memory",
			zap.Int64("bytes", limit),
			zap.Int64("longestRequestBytes", f.cfg.Admission.MaxBytes()))
	}
	return nil
}

// ApplyEndpoints applies changes of endpoints' records between two positions that were read from the store. The entry
// that reads for all broadcasts them.
func (f *Forwarder) ApplyEndpoints(changes []registrar.Change, from, next locator.Position, now time.Time) {
	f.withLock(func() []func() {
		news := f.registry.SignificantChanges(changes)
		f.registry.Apply(changes, next, now)
		f.origins.noteChanges(news, now)
		actions := f.broadcastChanges(news, from, next, now)
		if len(news) == 0 {
			return actions
		}
		return append(actions, f.endpointsChanged(now)...)
	})
}

// ReplaceEndpoints replaces the list of endpoints with the newest record of every endpoint. An entry that has followed
// the changes so far broadcasts the differences: each of its peers would otherwise miss some changes, and ask for a whole
// list.
func (f *Forwarder) ReplaceEndpoints(all []registrar.Change, next locator.Position, now time.Time) {
	f.withLock(func() []func() {
		var actions []func()
		if from := f.registry.Next(); f.registry.Loaded() && from.Era() == next.Era() && from.Before(next) {
			actions = f.broadcastChanges(f.registry.Differences(all, next), from, next, now)
		}
		f.registry.Replace(all, next, now)
		f.origins.noteList(f.registry.Next(), now)
		f.updateReceivedAt = now
		return append(actions, f.endpointsChanged(now)...)
	})
}

// RecordStoreResponse records that the store answered this entry, and its era.
func (f *Forwarder) RecordStoreResponse(era int64, now time.Time) {
	f.mu.Lock()
	f.registry.StoreAvailable(now)
	f.applyEra(era, "store")
	changed := f.storeLost
	f.storeLost = false
	f.mu.Unlock()
	if changed {
		f.log.Info("store answers again")
	}
}

// RecordStoreFailure records that the store does not answer this entry. The list of endpoints is considered stale
// only if the entry that reads for all gets no answer either.
func (f *Forwarder) RecordStoreFailure(err error, now time.Time) {
	f.mu.Lock()
	if now.Sub(f.updateReceivedAt) >= updateTimeout {
		f.registry.StoreUnavailable()
	}
	changed := !f.storeLost
	f.storeLost = true
	f.mu.Unlock()
	if changed {
		f.log.Warn("store does not answer", zap.Error(err))
	}
}

// endpointsChanged passes the usable endpoints to the selector and the pools. The lock must be held.
func (f *Forwarder) endpointsChanged(now time.Time) []func() {
	usable := f.usable(now)
	actions := f.observeVersions(now)
	if f.catalog == nil {
		return actions
	}
	f.duties.reset()
	direct := make([]*registrar.Endpoint, 0, len(usable))
	for _, e := range usable {
		if _, isStage := f.stageService(e.Service); !isStage {
			direct = append(direct, e)
		}
	}
	f.selector.SetEndpoints(direct)
	for name, p := range f.pools {
		actions = append(actions, f.performAll(name, p, p.Reduce(f.endpointsOf(name, usable), now))...)
	}
	return actions
}

// endpointsOf returns the endpoints of a pool that may receive new work. The lock must be held.
func (f *Forwarder) endpointsOf(pool string, usable []*registrar.Endpoint) collector.EndpointsChanged {
	parsed := divider.Parse(pool)
	changed := collector.EndpointsChanged{Evacuated: !f.availability.serves(parsed.Service, nil)}
	for _, e := range usable {
		if parsed.Contains(e) {
			changed.Endpoints = append(changed.Endpoints, *e)
		}
	}
	return changed
}

// stageService returns the configuration of a stage's service. The lock must be held.
func (f *Forwarder) stageService(name string) (*cataloger.Service, bool) {
	if f.catalog == nil {
		return nil, false
	}
	s, known := f.catalog.Service(name)
	return s, known && s.Stage != nil
}
