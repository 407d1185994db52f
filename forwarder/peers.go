package forwarder

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/collector"
	"geraniumline/detector"
)

const (
	// configWait is how long this entry waits after a peer reported a newer configuration before it requests it: its
	// own read of the store usually returns it first.
	configWait = 150 * time.Millisecond
	// maxConfigAge is reported for any longer age, and if the configuration was never read.
	maxConfigAge = time.Hour
	// queryInterval is the minimum time between two queries of the same kind.
	queryInterval = 500 * time.Millisecond
)

// heartbeat sends this entry's state to its peers and queries them for missing data.
func (f *Forwarder) heartbeat(now time.Time) {
	f.mu.Lock()
	f.setSelf()
	transitions := f.detector.Tick(now)
	peers := f.liveAddresses()
	f.selector.SetPeerWorkUnknown(f.detector.UsesGossip() && len(peers) > maxReportPeers)
	f.setSendingEntries()
	f.assignFragile(now)
	f.retries.SetEntries(len(peers)+1, now)
	f.duties.reset()
	f.expireReports(now)
	f.updatePromptsKnown(len(peers))
	f.retries.Expire(now)
	f.partialLists.expire(now)
	message := f.detector.Heartbeat(now)
	message.Crashes = f.quarantiner.Marks(now)
	message.Stages = f.stageWaits(now)
	message.StageClasses = f.stageClasses(now)
	evacuated := f.evacuator.State()
	message.EvacuatedEra, message.EvacuatedNext = evacuated.Next.Era(), evacuated.Next.Offset()
	message.Evacuated, message.EvacuationsHeld = evacuated.Zones, evacuated.Held
	message.Limits, message.Leaving, message.Refusing = f.limits(now), f.leaving(), f.refusals(now)
	message.Unreachable, message.Fragile = f.unreachable(now), f.fragile(now)
	message.StoresOrigins = true
	changedParts := f.partChanges(now)
	message.PartCrashes = f.parts.Sum()
	message.StoreEra, message.EndpointsEra = f.storeEra, f.registry.Next().Era()
	message.ConfigAgeMillis = min(now.Sub(f.configReadAt), maxConfigAge).Milliseconds()
	f.round++
	targets := f.detector.Targets(now)
	heartbeatTargets, reportTargets := f.targets(targets, peers)
	report := f.loadReport(now)
	introductions := f.detector.Introductions(now)
	peerQueries := f.peerQueries(now)
	actions := append(f.applyTransitions(transitions, now), f.replicatePending(now)...)
	var partTargets []string
	if changedParts != nil {
		partTargets = f.partTargets()
	}
	f.mu.Unlock()
	runActions(actions)
	for _, address := range partTargets {
		f.sender.Send(address, changedParts)
	}
	for _, address := range heartbeatTargets {
		f.sender.Send(address, message)
	}
	for _, address := range reportTargets {
		f.sender.Send(address, report)
	}
	for _, i := range introductions {
		f.sender.Send(i.Address, i.Members)
	}
	for address, list := range peerQueries {
		for _, m := range list {
			f.sender.Send(address, m)
		}
	}
}

// Isolated reports whether no running peer, ready or not, has been heard from within suspectAfter.
func (f *Forwarder) Isolated() bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for m := range f.detector.All() {
		if f.isRunningPeer(m) && now.Sub(m.LastHeard) < suspectAfter {
			return false
		}
	}
	return true
}

// isRunningPeer reports whether a member is another entry that may be running, ready or not.
func (f *Forwarder) isRunningPeer(m *detector.Member) bool {
	return m.Name != f.cfg.Name && m.State != detector.Dead && m.State != detector.Stopped
}

// AddPeerAddress adds the address of an entry that may be running. Heartbeats sent to it show whether it is.
func (f *Forwarder) AddPeerAddress(address, zone string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detector.AddHint(address, zone, false, now)
}

// setSelf updates this entry's own state in the detector. The lock must be held.
func (f *Forwarder) setSelf() {
	state := detector.Live
	switch {
	case f.stopping.Load():
		state = detector.Stopping
	case !f.loaded():
		state = detector.Suspect
	}
	f.detector.SetSelf(state, f.version(), int32(f.inFlight.Load()))
}

// liveAddresses returns the peer addresses of the live members other than this entry. The lock must be held.
func (f *Forwarder) liveAddresses() []string {
	var live []string
	for m := range f.detector.All() {
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

// peerQueries returns the queries to send by peer address: for a newer configuration, and for the list of endpoints
// while the store can't be read here. The lock must be held.
func (f *Forwarder) peerQueries(now time.Time) map[string][]carrier.Message {
	queries := make(map[string][]carrier.Message)
	if address, ok := f.configQueryTarget(now); ok {
		queries[address] = append(queries[address], &carrier.ConfigCall{})
	}
	for _, address := range f.endpointsQueryTargets(now) {
		queries[address] = append(queries[address], f.endpointsCall(now))
	}
	return queries
}

// configQueryTarget returns the peer to ask for its configuration if one has a newer version. It is selected at
// random among the peers with the newest version, so that not all entries ask the same one. The lock must be held.
func (f *Forwarder) configQueryTarget(now time.Time) (string, bool) {
	var newest []string
	version := f.version()
	for m := range f.detector.All() {
		if !f.isRunningPeer(m) {
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
	waits := f.catalog != nil && f.shouldReadConfig(now) && now.Sub(f.behindSince) < configWait
	if waits || now.Sub(f.configQueriedAt) < queryInterval {
		return "", false
	}
	f.configQueriedAt = now
	return newest[rand.IntN(len(newest))], true
}

// HandleMessage handles a message from the authenticated peer of the given name.
func (f *Forwarder) HandleMessage(from string, m carrier.Message) {
	f.handleMessage(from, m, time.Now())
}

func (f *Forwarder) handleMessage(from string, m carrier.Message, now time.Time) {
	switch m := m.(type) {
	case *carrier.Heartbeat:
		f.withLock(func() []func() {
			f.origins.storesOrigins[from] = m.StoresOrigins
			f.quarantiner.Merge(m.Crashes, now)
			f.applyStageWaits(m.Stages, now)
			f.applyStageClasses(m.StageClasses, now)
			f.applyLimits(m.Limits, m.From.Name, now)
			f.applyFragile(m.Fragile, m.From.Name, now)
			f.applyRefusals(m.Refusing, now)
			f.applyUnreachable(m.Unreachable, m.From.Name, now)
			f.applyConfigAge(m.ConfigAgeMillis, now)
			if m.StoreEra > 0 {
				// Entries that have no era yet send 0.
				f.applyEra(m.StoreEra, m.From.Name)
			}
			actions := f.applyPartSum(from, m.PartCrashes, now)
			actions = append(actions, f.applyPeerEvacuations(m, now)...)
			actions = append(actions, f.queryNewerEra(from, m.EndpointsEra, now)...)
			actions = append(actions, f.applyLeaving(m.Leaving, m.From.Name, now)...)
			actions = append(actions, f.applyTransitions(f.detector.Receive(m, now), now)...)
			if query, unknown := f.detector.MemberQuery(m, now); unknown {
				actions = append(actions, f.sendTo(from, query))
			}
			return actions
		})
	case *carrier.MembersCall:
		f.withLock(func() []func() { return []func(){f.sendTo(from, f.detector.DescribeMembers(m, now))} })
	case *carrier.MembersReply:
		f.withLock(func() []func() { return f.applyTransitions(f.detector.ReceiveMembers(m, now), now) })
	case *carrier.LoadReport:
		f.withLock(func() []func() { f.applyLoadReport(from, m, now); return nil })
	case *carrier.ConfigCall:
		f.withLock(func() []func() { return f.replyConfig(from) })
	case *carrier.ConfigReply:
		// ApplyConfig logged the error, and the next heartbeat repeats the query.
		_ = f.ApplyConfig(m.Data, from, now)
	case *carrier.EndpointsCall:
		f.withLock(func() []func() { return f.replyEndpoints(from, m, now) })
	case *carrier.EndpointsReply:
		f.withLock(func() []func() { return f.applyEndpointsReply(from, m, now) })
	case *carrier.EndpointsNews:
		f.withLock(func() []func() { return f.applyEndpointsNews(m, now) })
	case *carrier.PieceRequest:
		f.withLock(func() []func() { return f.handlePieceRequest(from, m, now) })
	case *carrier.PieceAccepted:
		f.withLock(func() []func() { f.handlePieceAccepted(from, m, now); return nil })
	case *carrier.PieceRead:
		f.withLock(func() []func() {
			f.markInputsRead(collector.GroupID{Request: m.Request, Stage: int(m.Stage)})
			return nil
		})
	case *carrier.PieceResults:
		f.withLock(func() []func() { return f.handleResults(from, m) })
	case *carrier.PieceWithdraw:
		f.withLock(func() []func() { return f.handleWithdraw(from, m, now) })
	case *carrier.PieceFree:
		f.withLock(func() []func() { return f.handleFree(m, now) })
	case *carrier.StreamOrigins:
		f.withLock(func() []func() { f.applyOrigins(m, now); return nil })
	case *carrier.OriginCall:
		f.withLock(func() []func() { return f.answerOrigin(from, m, now) })
	case *carrier.OriginReply:
		f.withLock(func() []func() { f.deliverOrigin(from, m); return nil })
	case *carrier.PartCrashes:
		f.withLock(func() []func() { f.applyPartCrashes(m, now); return nil })
	case *carrier.TrialCall:
		f.withLock(func() []func() { return f.answerTrialCall(from, m, now) })
	case *carrier.TrialReply:
		f.withLock(func() []func() { f.deliverTrialReply(m); return nil })
	default:
		f.log.Warn("unexpected message kind from peer", zap.String("peer", from), zap.Uint8("kind", uint8(m.Kind())))
	}
}

// withLock calls decide under the lock and runs the returned actions after releasing it.
func (f *Forwarder) withLock(decide func() []func()) {
	f.mu.Lock()
	actions := decide()
	f.mu.Unlock()
	runActions(actions)
}

// RecordConnectionRefused records that a connection to a peer address was refused because no process listens there.
func (f *Forwarder) RecordConnectionRefused(address string) {
	now := time.Now()
	f.withLock(func() []func() { return f.applyTransitions(f.detector.ConnectionRefused(address, now), now) })
}

// applyTransitions logs changes of peers' states, and drops the work of peers that have ended. The lock must be held.
func (f *Forwarder) applyTransitions(transitions []detector.Transition, now time.Time) []func() {
	var actions []func()
	if len(transitions) > 0 {
		f.duties.reset()
	}
	for _, t := range transitions {
		f.addresses[t.Member.Name] = t.Member.PeerAddress
		f.logPeerTransition(t)
		if t.To == detector.Live && t.Member.Name != f.cfg.Name {
			f.peerLiveAt = now
		}
		if t.To != detector.Dead && t.To != detector.Stopped {
			continue
		}
		f.selector.SetPeerWork(t.Member.Name, nil)
		delete(f.origins.storesOrigins, t.Member.Name)
		f.partPeers.Forget(t.Member.Name)
		for service, p := range f.pools {
			effects := p.Reduce(collector.OriginLost{Origin: t.Member.Name}, now)
			actions = append(actions, f.performAll(service, p, effects)...)
		}
	}
	return actions
}

// applyConfigAge updates the time of the last configuration read from the age that a peer reported. The lock must be
// held.
func (f *Forwarder) applyConfigAge(millis int64, now time.Time) {
	if at := now.Add(-time.Duration(millis) * time.Millisecond); at.After(f.configReadAt) {
		f.configReadAt = at
	}
}

func (f *Forwarder) replyConfig(from string) []func() {
	if f.catalog == nil {
		return nil
	}
	reply := &carrier.ConfigReply{Version: f.catalog.Version(), Data: f.rawConfig}
	return []func(){f.sendTo(from, reply)}
}

// sendTo returns an action that sends a message to the named peer.
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
