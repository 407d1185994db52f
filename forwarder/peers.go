package forwarder

import (
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/collector"
	"geraniumline/detector"
	"geraniumline/locator"
)

const (
	// configPatience is how long this entry may know of a newer configuration at a peer before it asks for it: its
	// own reading of the store usually brings it first.
	configPatience = 150 * time.Millisecond
	// endpointsPatience is the age of the own list of endpoints from which peers are asked for theirs: two readings
	// of the store were missed.
	endpointsPatience = 1500 * time.Millisecond
	// maxConfigAge is the age that stands for any longer one, and for never.
	maxConfigAge = time.Hour
	// askEvery is how often peers are asked.
	askEvery = 500 * time.Millisecond
	// askedPeers is how many peers an entry asks for their list of endpoints at a time. A store outage makes all
	// entries ask at once; asked of all peers, with whole lists as answers, that fills the links of small VMs, so that
	// heartbeats are late and entries take each other for dead.
	askedPeers = 3
	// freshMargin is how much fresher a peer's reading of the store must be to be passed on: nearly one interval.
	freshMargin = 500 * time.Millisecond
)

// heartbeat tells peers of this entry and asks them for what it lacks.
func (f *Forwarder) heartbeat(now time.Time) {
	f.mu.Lock()
	f.setSelf()
	transitions := f.detector.Tick(now)
	// Listed once for all below: with hundreds of members each list is a part of the heartbeat's work.
	members := f.detector.Members()
	peers := f.liveAddresses(members)
	f.setSenders(members)
	f.retrier.SetReserve(reserveFor(f.cfg.RetrySlack, max(usualEntries, len(peers)+1)))
	f.duties.forget()
	f.dropOldReports(now)
	beat := f.detector.Heartbeat(now)
	beat.Crashes = f.quarantiner.Marks(now)
	beat.Stages = f.stageWaits(now)
	evacuated := f.evacuator.State()
	beat.EvacuatedEra, beat.EvacuatedNext = evacuated.Next.Era(), evacuated.Next.Offset()
	beat.Evacuated, beat.EvacuationsHeld = evacuated.Zones, evacuated.Held
	beat.Limits, beat.Leaving, beat.Refusing = f.limits(now), f.leaving(), f.refusing(now)
	beat.StoreEra, beat.EndpointsEra = f.storeEra, f.registry.Next().Era()
	beat.ConfigAgeMillis = min(now.Sub(f.configHeard), maxConfigAge).Milliseconds()
	f.round++
	targets := f.detector.Targets(now)
	heartbeatTargets, reportTargets := f.targets(targets, peers)
	work := f.loadReport()
	questions := f.questions(members, now)
	todo := f.takeTransitions(transitions, now)
	f.mu.Unlock()
	run(todo)
	for _, address := range heartbeatTargets {
		f.sender.Send(address, beat)
	}
	for _, address := range reportTargets {
		f.sender.Send(address, work)
	}
	for address, list := range questions {
		for _, m := range list {
			f.sender.Send(address, m)
		}
	}
}

// Isolated tells whether this entry hears no other one, be it ready or not.
func (f *Forwarder) Isolated() bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.detector.Members(), func(m detector.Member) bool {
		return m.Name != f.cfg.Name && m.State != detector.Dead && m.State != detector.Stopped && now.Sub(m.LastHeard) < suspectAfter
	})
}

// AddPeerAddress takes the address of an entry that may live: heartbeats to it show whether it does.
func (f *Forwarder) AddPeerAddress(address, zone string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detector.AddHint(address, zone, false, now)
}

// setSelf sets what this entry says of itself. The lock is held.
func (f *Forwarder) setSelf() {
	state := detector.Live
	switch {
	case f.stopping.Load():
		state = detector.Stopping
	case f.catalog == nil || !f.registry.Loaded():
		state = detector.Suspect
	}
	f.detector.SetSelf(state, f.version(), int32(f.inFlight.Load()))
}

// liveAddresses gives the peer addresses of the other live ones of the members. The lock is held.
func (f *Forwarder) liveAddresses(members []detector.Member) []string {
	var live []string
	for _, m := range members {
		if m.Name != f.cfg.Name && m.State == detector.Live {
			live = append(live, m.PeerAddress)
		}
	}
	return live
}

func (f *Forwarder) version() int64 {
	if f.catalog == nil {
		return 0
	}
	return f.catalog.Version()
}

// questions asks peers for a newer configuration, or for the list of endpoints while the store can't be read here.
// The lock is held.
func (f *Forwarder) questions(members []detector.Member, now time.Time) map[string][]carrier.Message {
	asked := make(map[string][]carrier.Message)
	if address, ok := f.configQuestion(members, now); ok {
		asked[address] = append(asked[address], &carrier.ConfigCall{})
	}
	for _, address := range f.endpointsQuestion(members, now) {
		asked[address] = append(asked[address], f.endpointsCall(now))
	}
	return asked
}

// configQuestion names the peer to ask for its configuration, if one has a newer one. It is any of those that have the
// newest: all entries would ask the same one otherwise. The lock is held.
func (f *Forwarder) configQuestion(members []detector.Member, now time.Time) (string, bool) {
	var newest []string
	version := f.version()
	for _, m := range members {
		if m.Name == f.cfg.Name || m.State == detector.Dead || m.State == detector.Stopped {
			continue
		}
		if m.ConfigOffset > version {
			newest, version = nil, m.ConfigOffset
		}
		if m.ConfigOffset == version && version > f.version() {
			newest = append(newest, m.PeerAddress)
		}
	}
	if len(newest) == 0 {
		f.behindSince = time.Time{}
		return "", false
	}
	if f.behindSince.IsZero() {
		f.behindSince = now
	}
	patient := f.catalog != nil && f.readsConfig(now) && now.Sub(f.behindSince) < configPatience
	if patient || now.Sub(f.askedConfig) < askEvery {
		return "", false
	}
	f.askedConfig = now
	return newest[rand.IntN(len(newest))], true
}

// endpointsQuestion names the peers to ask for their list of endpoints while the own one is old. The lock is held.
func (f *Forwarder) endpointsQuestion(members []detector.Member, now time.Time) []string {
	stale := !f.registry.Loaded() || f.registry.Age(now) > endpointsPatience
	if !stale || now.Sub(f.askedEndpoints) < askEvery {
		return nil
	}
	live := f.liveAddresses(members)
	if len(live) == 0 {
		return nil
	}
	f.askedEndpoints = now
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(len(live), askedPeers)]
}

// endpointsCall tells peers what this entry knows of the endpoints. The lock is held.
func (f *Forwarder) endpointsCall(now time.Time) *carrier.EndpointsCall {
	if !f.registry.Loaded() {
		return &carrier.EndpointsCall{Next: -1}
	}
	next := f.registry.Next()
	return &carrier.EndpointsCall{Era: next.Era(), Next: next.Offset(), AgeMillis: f.registry.Age(now).Milliseconds()}
}

// HandleMessage takes a message from the peer that proved the name.
func (f *Forwarder) HandleMessage(from string, m carrier.Message) { f.takeMessage(from, m, time.Now()) }

func (f *Forwarder) takeMessage(from string, m carrier.Message, now time.Time) {
	switch m := m.(type) {
	case *carrier.Heartbeat:
		f.locked(func() []func() {
			f.quarantiner.Merge(m.Crashes, now)
			f.takeStageWaits(m.Stages, now)
			f.takeLimits(m.Limits, m.From.Name, now)
			f.takeRefusing(m.Refusing, now)
			f.takeConfigAge(m.ConfigAgeMillis, now)
			if m.StoreEra > 0 {
				// Entries that know no era say 0.
				f.takeEra(m.StoreEra, m.From.Name)
			}
			todo := append(f.takeEvacuated(m, now), f.askForEra(from, m.EndpointsEra, now)...)
			todo = append(todo, f.takeLeaving(m.Leaving, m.From.Name, now)...)
			return append(todo, f.takeTransitions(f.detector.Receive(m, now), now)...)
		})
	case *carrier.LoadReport:
		f.locked(func() []func() { f.takeLoadReport(from, m, now); return nil })
	case *carrier.ConfigCall:
		f.locked(func() []func() { return f.replyConfig(from) })
	case *carrier.ConfigReply:
		// An error was logged, and the next heartbeat asks again.
		_ = f.ApplyConfig(m.Data, from, now)
	case *carrier.EndpointsCall:
		f.locked(func() []func() { return f.replyEndpoints(from, m, now) })
	case *carrier.EndpointsReply:
		f.locked(func() []func() { return f.takeEndpointsReply(m, now) })
	case *carrier.EndpointsNews:
		f.locked(func() []func() { return f.takeNews(m, now) })
	case *carrier.PieceRequest:
		f.locked(func() []func() { return f.takePieceRequest(from, m, now) })
	case *carrier.PieceAccepted:
		f.locked(func() []func() { f.takePieceAccepted(from, m, now); return nil })
	case *carrier.PieceRead:
		f.locked(func() []func() { f.takeRead(collector.GroupID{Request: m.Request, Stage: int(m.Stage)}); return nil })
	case *carrier.PieceResults:
		f.locked(func() []func() { return f.takeResults(from, m) })
	case *carrier.PieceWithdraw:
		f.locked(func() []func() { return f.takeWithdraw(from, m, now) })
	case *carrier.PieceFree:
		f.locked(func() []func() { return f.takeFree(m, now) })
	default:
		f.log.Warn("peer sent a message of no use here", zap.String("peer", from), zap.Uint8("kind", uint8(m.Kind())))
	}
}

// locked decides under the lock and carries out after it.
func (f *Forwarder) locked(decide func() []func()) {
	f.mu.Lock()
	todo := decide()
	f.mu.Unlock()
	run(todo)
}

// RecordConnectionRefused notes that the network says that no process listens at a peer address.
func (f *Forwarder) RecordConnectionRefused(address string) {
	now := time.Now()
	f.locked(func() []func() { return f.takeTransitions(f.detector.ConnectionRefused(address, now), now) })
}

// takeTransitions logs changes of peers' states, and drops the work of those that have ended. The lock is held.
func (f *Forwarder) takeTransitions(transitions []detector.Transition, now time.Time) []func() {
	var todo []func()
	if len(transitions) > 0 {
		f.duties.forget()
	}
	for _, t := range transitions {
		f.addresses[t.Member.Name] = t.Member.PeerAddress
		f.notePeer(t)
		if t.To == detector.Live && t.Member.Name != f.cfg.Name {
			f.peerLiveAt = now
		}
		if t.To != detector.Dead && t.To != detector.Stopped {
			continue
		}
		f.selector.SetPeerWork(t.Member.Name, nil)
		for service, p := range f.pools {
			effects := p.Reduce(collector.OriginLost{Origin: t.Member.Name}, now)
			todo = append(todo, f.performAll(service, p, effects)...)
		}
	}
	return todo
}

// takeConfigAge notes how lately the store has answered a reading of the configuration, as a peer tells. The lock is held.
func (f *Forwarder) takeConfigAge(millis int64, now time.Time) {
	if at := now.Add(-time.Duration(millis) * time.Millisecond); at.After(f.configHeard) {
		f.configHeard = at
	}
}

func (f *Forwarder) replyConfig(from string) []func() {
	if f.catalog == nil {
		return nil
	}
	reply := &carrier.ConfigReply{Version: f.catalog.Version(), Data: f.raw}
	return []func(){f.sendTo(from, reply)}
}

// replyEndpoints answers a peer that asks for the list of endpoints, unless its own is as fresh. The lock is
// held.
func (f *Forwarder) replyEndpoints(from string, asked *carrier.EndpointsCall, now time.Time) []func() {
	if !f.registry.Loaded() {
		return nil
	}
	next := f.registry.Next()
	known := locator.At(asked.Era, asked.Next)
	age := f.registry.Age(now)
	theirs := time.Duration(asked.AgeMillis) * time.Millisecond
	if asked.Next >= 0 && asked.Era >= next.Era() && age+freshMargin > theirs {
		return nil
	}
	reply := &carrier.EndpointsReply{
		Era:       next.Era(),
		Next:      next.Offset(),
		AgeMillis: age.Milliseconds(),
		Unchanged: known == next,
	}
	if !reply.Unchanged {
		for _, c := range f.registry.Changes() {
			reply.Entries = append(reply.Entries, entryOf(c, now))
		}
	}
	return []func(){f.sendTo(from, reply)}
}

// takeEndpointsReply takes a peer's list of endpoints. The lock is held.
func (f *Forwarder) takeEndpointsReply(m *carrier.EndpointsReply, now time.Time) []func() {
	next := locator.At(m.Era, m.Next)
	if next.Before(f.registry.Next()) || m.Unchanged && next != f.registry.Next() {
		return nil
	}
	at := now.Add(-time.Duration(m.AgeMillis) * time.Millisecond)
	f.registry.StoreReadAt(at)
	if at.After(f.newsAt) {
		// Somebody reads the store for all, though its news have not come here yet.
		f.newsAt = at
	}
	if m.Unchanged {
		return nil
	}
	f.registry.Replace(changesOf(m.Entries, now), next, now)
	return f.endpointsChanged(now)
}

// sendTo sends a message to the peer of the name.
func (f *Forwarder) sendTo(name string, m carrier.Message) func() {
	address := f.peerAddress(name)
	return func() {
		if address != "" {
			f.sender.Send(address, m)
		}
	}
}

func (f *Forwarder) peerAddress(name string) string {
	if m, known := f.detector.Member(name); known {
		return m.PeerAddress
	}
	return f.addresses[name]
}
