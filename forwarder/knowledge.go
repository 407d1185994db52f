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

// ApplyConfig takes a configuration that was read from the store or told by a peer. An older one than that in force is
// dropped: a stale read must not bring back a route or key that was taken away.
func (f *Forwarder) ApplyConfig(data []byte, source string, now time.Time) error {
	catalog, err := f.cfg.DecodeConfig(data)
	if err != nil {
		f.log.Error("configuration can't be used", zap.String("source", source), zap.Error(err))
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
	f.duties.forget()
	f.raw = data
	f.behindSince = time.Time{}
	f.registry.SetServices(slices.Collect(maps.Keys(catalog.Services())), now)
	for name, p := range f.pools {
		if s, known := f.stageService(divider.Parse(name).Service); known {
			p.SetStage(*s.Stage)
		}
	}
	todo := f.endpointsChanged(now)
	f.mu.Unlock()
	run(todo)
	f.log.Info("configuration in force",
		zap.Int64("version", catalog.Version()),
		zap.Int64("before", before),
		zap.String("source", source))
	return nil
}

// ApplyEndpoints takes changes of endpoints' entries, from one position up to another, that were read from the store. The
// entry that reads for all passes them on.
func (f *Forwarder) ApplyEndpoints(changes []registrar.Change, from, next locator.Position, now time.Time) {
	f.locked(func() []func() {
		news := f.registry.SignificantChanges(changes)
		f.registry.Apply(changes, next, now)
		todo := f.passOn(news, from, next, now)
		if len(news) == 0 {
			return todo
		}
		return append(todo, f.endpointsChanged(now)...)
	})
}

// ReplaceEndpoints takes the newest entry of every endpoint.
func (f *Forwarder) ReplaceEndpoints(all []registrar.Change, next locator.Position, now time.Time) {
	f.locked(func() []func() {
		f.registry.Replace(all, next, now)
		f.newsAt = now
		return f.endpointsChanged(now)
	})
}

// RecordStoreResponse notes that the store has answered this entry, in which era.
func (f *Forwarder) RecordStoreResponse(era int64, now time.Time) {
	f.mu.Lock()
	f.registry.StoreAvailable(now)
	f.takeEra(era, "store")
	news := f.storeLost
	f.storeLost = false
	f.mu.Unlock()
	if news {
		f.log.Info("store answers again")
	}
}

// RecordStoreFailure notes that the store does not answer this entry. For the list of endpoints that counts only if it does not
// answer the entry that reads for all either.
func (f *Forwarder) RecordStoreFailure(err error, now time.Time) {
	f.mu.Lock()
	if now.Sub(f.newsAt) >= newsPatience {
		f.registry.StoreUnavailable()
	}
	news := !f.storeLost
	f.storeLost = true
	f.mu.Unlock()
	if news {
		f.log.Warn("store does not answer", zap.Error(err))
	}
}

// endpointsChanged hands the usable endpoints to those that choose among them. The lock is held.
func (f *Forwarder) endpointsChanged(now time.Time) []func() {
	usable := f.usable(now)
	if f.catalog == nil {
		return nil
	}
	f.duties.forget()
	var direct []registrar.Endpoint
	for _, e := range usable {
		if _, isStage := f.stageService(e.Service); !isStage {
			direct = append(direct, e)
		}
	}
	f.selector.SetEndpoints(direct)
	var todo []func()
	for name, p := range f.pools {
		todo = append(todo, f.performAll(name, p, p.Reduce(f.endpointsOf(name, usable), now))...)
	}
	return todo
}

// endpointsOf gives the endpoints of a pool that may get new work. The lock is held.
func (f *Forwarder) endpointsOf(pool string, usable []registrar.Endpoint) collector.EndpointsChanged {
	own := divider.Parse(pool)
	changed := collector.EndpointsChanged{Evacuated: !f.availability.serves(own.Service, nil)}
	for i := range usable {
		if own.Contains(&usable[i]) {
			changed.Endpoints = append(changed.Endpoints, usable[i])
		}
	}
	return changed
}

// stageService gives what the configuration says of a stage's service. The lock is held.
func (f *Forwarder) stageService(name string) (*cataloger.Service, bool) {
	if f.catalog == nil {
		return nil, false
	}
	s, known := f.catalog.Service(name)
	return s, known && s.Stage != nil
}
