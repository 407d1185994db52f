package forwarder

import (
	"context"
	"iter"
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/detector"
	"geraniumline/hasher"
	"geraniumline/meter"
	"geraniumline/resumer"
	"geraniumline/selector"
)

const (
	// originReplicas is the number of peers that store the origin of a stream.
	originReplicas = 3
	// maxOriginQueries is the number of peers that are queried for it. Some of those that rank first now may have joined
	// later, or have been unknown to the entry that sent it.
	maxOriginQueries = 2 * originReplicas
	// originTimeout bounds the wait for their replies: many round trips, and connecting to them on a busy VM. Peers that have
	// just ended don't reply.
	originTimeout = 200 * time.Millisecond
	// maxListAge is the greatest age of a list of endpoints that is recent: endpoints write their registrations more often.
	maxListAge = 2 * time.Second
	// maxOriginsPerMessage is the number of origins in one message.
	maxOriginsPerMessage = 1024
)

// origins holds the origins of streams that callers may resume at any entry, and the history of services' versions. The lock
// of the Forwarder guards it.
type origins struct {
	kept    *resumer.Origins
	history *resumer.History
	// restoration is the state of restoring the history after a start.
	restoration restoration
	// listedAt is when a list of endpoints or their changes arrived last; at first, the start of the entry.
	listedAt time.Time
	// unstored holds the origins that wait to be written to the store. loaded is set once the stored ones were read.
	unstored []resumer.Origin
	loaded   bool
	// unreplicated holds the services for which this entry has begun streams without replicating their origins, since they
	// had a single version.
	unreplicated map[string]bool
	// storesOrigins holds whether the release of each peer that was heard directly stores origins.
	storesOrigins map[string]bool
	// calls holds where the replies to this entry's queries go, by the number of the query.
	calls    map[uint64]chan<- *carrier.OriginReply
	lastCall uint64
}

func newOrigins(firstStart bool, now time.Time) origins {
	return origins{
		kept:          resumer.NewOrigins(),
		history:       resumer.NewHistory(firstStart),
		restoration:   restoration{done: firstStart},
		listedAt:      now,
		loaded:        firstStart,
		unreplicated:  make(map[string]bool),
		storesOrigins: make(map[string]bool),
		calls:         make(map[uint64]chan<- *carrier.OriginReply),
	}
}

// versionView returns what this entry has seen of a service's versions within the window. The lock must be held.
func (f *Forwarder) versionView(service string, window time.Duration, now time.Time) resumer.View {
	view := f.origins.history.View(service, window, now)
	view.Fresh = f.registry.Age(now) <= maxListAge
	return view
}

// listedVersions returns the service and version of each registered endpoint, also of those that accept no new work.
func (f *Forwarder) listedVersions() iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for e := range f.registry.All() {
			if !yield(e.Service, e.Version) {
				return
			}
		}
	}
}

// observeVersions records the listed versions of all services. It replicates the origins of streams whose endpoint turns out
// to have another version, and those that now need replicas. The lock must be held.
func (f *Forwarder) observeVersions(now time.Time) []func() {
	if !f.registry.Loaded() {
		return nil
	}
	o := &f.origins
	o.history.Observe(f.listedVersions(), now)
	var changed []resumer.Origin
	for _, origin := range o.kept.Own(f.changedVersion, now) {
		origin.Doubtful = true
		o.kept.Add(origin, now)
		changed = append(changed, origin)
	}
	f.storeOrigins(changed)
	return append(f.replicateOrigins(changed, now), f.replicatePending(now)...)
}

// replicatePending replicates the origins of a service's streams once it has a second version, or once this entry's list is
// too old to show one. The lock must be held.
func (f *Forwarder) replicatePending(now time.Time) []func() {
	o := &f.origins
	var list []resumer.Origin
	for service := range o.unreplicated {
		if view := f.versionView(service, 0, now); view.Several || !view.Fresh {
			delete(o.unreplicated, service)
			list = append(list, o.kept.Own(func(origin *resumer.Origin) bool { return origin.Service == service }, now)...)
		}
	}
	f.storeOrigins(list)
	return f.replicateOrigins(list, now)
}

// changedVersion reports whether the endpoint that began a stream is now listed with another version, which it may have had
// then already.
func (f *Forwarder) changedVersion(origin *resumer.Origin) bool {
	return !origin.Doubtful && f.registry.Contains(origin.Endpoint, time.Time{}) && f.registry.VersionOf(origin.Endpoint) != origin.Version
}

// recordOrigin stores the version of the endpoint that begins the request's stream, and replicates it if the service may have
// several versions. The lock must be held.
func (x *exchange) recordOrigin(choice *selector.Choice, now time.Time) []func() {
	if !x.route.Repeatable() || x.req.LastEvent != "" {
		return nil
	}
	o := &x.f.origins
	window := resumer.Window(x.route.Timeout)
	origin := resumer.Origin{
		Key:      resumer.KeyOf(x.account, x.service.Name, x.req.ID),
		Service:  x.service.Name,
		Version:  choice.Endpoint.Version,
		Expires:  now.Add(window),
		Own:      true,
		Endpoint: choice.Endpoint.ID,
	}
	if !o.kept.Add(origin, now) {
		x.f.cfg.Meter.Counter(meter.StreamOriginsDropped).Inc(1)
	}
	view := x.f.versionView(x.service.Name, window, now)
	if view.Single() && view.FullWindow && view.Fresh && !x.f.stopping.Load() {
		o.unreplicated[x.service.Name] = true
		return nil
	}
	x.f.storeOrigins([]resumer.Origin{origin})
	return x.f.replicateOrigins([]resumer.Origin{origin}, now)
}

// replicateOwnOrigins replicates the origins of all streams that this entry has begun.
func (f *Forwarder) replicateOwnOrigins(now time.Time) {
	f.withLock(func() []func() {
		return f.replicateOrigins(f.origins.kept.Own(func(*resumer.Origin) bool { return true }, now), now)
	})
}

// replicateOrigins sends each origin to the peers that rank first for its key. The lock must be held.
func (f *Forwarder) replicateOrigins(list []resumer.Origin, now time.Time) []func() {
	if len(list) == 0 {
		return nil
	}
	names := f.originPeers(f.isLivePeer)
	byPeer := make(map[string][]carrier.StreamOrigin)
	for _, o := range list {
		for _, name := range hasher.Top(uint64(o.Key), names, originReplicas) {
			byPeer[name] = append(byPeer[name], carrier.StreamOrigin{
				Key: uint64(o.Key), Version: o.Version, Doubtful: o.Doubtful, LeftMillis: o.Expires.Sub(now).Milliseconds(),
			})
		}
	}
	var actions []func()
	for name, origins := range byPeer {
		for part := range slices.Chunk(origins, maxOriginsPerMessage) {
			actions = append(actions, f.sendTo(name, &carrier.StreamOrigins{Origins: part}))
		}
	}
	f.cfg.Meter.Counter(meter.StreamOriginsReplicated).Inc(int64(len(list)))
	return actions
}

// originPeers returns the names of the matching peers that store origins. A peer that was not heard directly counts as one if
// no other is known to run a release that doesn't. The lock must be held.
func (f *Forwarder) originPeers(match func(*detector.Member) bool) []string {
	unknownStore := true
	for _, stores := range f.origins.storesOrigins {
		unknownStore = unknownStore && stores
	}
	var names []string
	for m := range f.detector.All() {
		stores, known := f.origins.storesOrigins[m.Name]
		if match(m) && (stores || !known && unknownStore) {
			names = append(names, m.Name)
		}
	}
	return names
}

func (f *Forwarder) isLivePeer(m *detector.Member) bool {
	return m.Name != f.cfg.Name && m.State == detector.Live
}

// applyOrigins stores origins that a peer replicates. The lock must be held.
func (f *Forwarder) applyOrigins(m *carrier.StreamOrigins, now time.Time) {
	for _, o := range m.Origins {
		left := min(time.Duration(o.LeftMillis)*time.Millisecond, resumer.MaxWindow)
		origin := resumer.Origin{Key: resumer.Key(o.Key), Version: o.Version, Doubtful: o.Doubtful, Expires: now.Add(left)}
		if !f.origins.kept.Add(origin, now) {
			f.cfg.Meter.Counter(meter.StreamOriginsDropped).Inc(1)
		}
	}
}

// answerOrigin answers a peer's query for the origin of a stream. The lock must be held.
func (f *Forwarder) answerOrigin(from string, m *carrier.OriginCall, now time.Time) []func() {
	window := min(max(0, time.Duration(m.WindowMillis)*time.Millisecond), resumer.MaxWindow)
	view := f.versionView(m.Service, window, now)
	reply := &carrier.OriginReply{
		CallID:      m.CallID,
		Listed:      view.Listed,
		Several:     view.Several,
		OnlyVersion: view.Version,
		FullWindow:  view.FullWindow,
		Fresh:       view.Fresh,
	}
	if origin, known := f.origins.kept.Find(resumer.Key(m.Key), now); known {
		reply.Known, reply.Version, reply.Doubtful = true, origin.Version, origin.Doubtful
	}
	return []func(){f.sendTo(from, reply)}
}

// deliverOrigin passes a peer's reply to the request that waits for it. The lock must be held.
func (f *Forwarder) deliverOrigin(from string, m *carrier.OriginReply) {
	waiting, known := f.origins.calls[m.CallID]
	if !known {
		return
	}
	select {
	case waiting <- m:
	default:
		f.log.Debug("origin of a stream repeated", zap.String("peer", from))
	}
}

// askOrigin asks peers for the origin of a stream. It returns once one knows it, all have replied, or originTimeout has
// passed.
func (f *Forwarder) askOrigin(ctx context.Context, key resumer.Key, service string, window time.Duration) []*carrier.OriginReply {
	f.mu.Lock()
	// A peer that has just started or does not answer at present may have begun the stream.
	asked := hasher.Top(uint64(key), f.originPeers(f.isRunningPeer), maxOriginQueries)
	f.origins.lastCall++
	call := &carrier.OriginCall{CallID: f.origins.lastCall, Key: uint64(key), Service: service, WindowMillis: window.Milliseconds()}
	replies := make(chan *carrier.OriginReply, len(asked))
	f.origins.calls[call.CallID] = replies
	var actions []func()
	for _, name := range asked {
		actions = append(actions, f.sendTo(name, call))
	}
	f.mu.Unlock()
	defer f.withLock(func() []func() { delete(f.origins.calls, call.CallID); return nil })
	runActions(actions)
	return awaitReplies(ctx, replies, len(asked))
}

// awaitReplies returns the replies about the origin of a stream up to the first one that knows it.
func awaitReplies(ctx context.Context, replies <-chan *carrier.OriginReply, asked int) []*carrier.OriginReply {
	timeout := time.NewTimer(originTimeout)
	defer timeout.Stop()
	var list []*carrier.OriginReply
	for len(list) < asked {
		select {
		case m := <-replies:
			list = append(list, m)
			if m.Known {
				return list
			}
		case <-timeout.C:
			return list
		case <-ctx.Done():
			return list
		}
	}
	return list
}
