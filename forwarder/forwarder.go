// Package forwarder accepts callers' requests, runs the stages that precede them, forwards them to endpoints and
// relays the responses as they arrive. Decisions are made by pure packages under one lock (registrar, selector,
// collector, detector, retrier); this package carries them out.
package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/cataloger"
	"geraniumline/collector"
	"geraniumline/connector"
	"geraniumline/detector"
	"geraniumline/divider"
	"geraniumline/ejector"
	"geraniumline/evacuator"
	"geraniumline/guarder"
	"geraniumline/meter"
	"geraniumline/pathfinder"
	"geraniumline/proxier"
	"geraniumline/quarantiner"
	"geraniumline/registrar"
	"geraniumline/regulator"
	"geraniumline/retrier"
	"geraniumline/selector"
	"geraniumline/switcher"
	"geraniumline/warmer"
)

const (
	// tickInterval is the timer resolution of queued work: a tenth of the shortest objective.
	tickInterval = 10 * time.Millisecond
	// heartbeatInterval is how often this entry sends heartbeats to its peers. Three heartbeats may be lost before
	// suspectAfter.
	heartbeatInterval = 150 * time.Millisecond
	// suspectAfter is the silence after which a peer receives no new work, and deadAfter the silence after which it
	// is considered dead.
	suspectAfter = 700 * time.Millisecond
	deadAfter    = 2 * time.Second
	// gossipSuspectAfter and gossipDeadAfter are the same limits where the state of a peer arrives through other
	// peers. They allow for the oldest state of a live peer while a tenth of the frames is lost.
	gossipSuspectAfter = 1200 * time.Millisecond
	gossipDeadAfter    = 2500 * time.Millisecond
	// probeInterval is how often seeds and silent peers are probed: two heartbeats. After a power loss of the whole
	// system, entries start within half a second of each other, and most first probes arrive too early.
	probeInterval = 300 * time.Millisecond
	// forgetAfter is how long the name of a dead peer is kept.
	forgetAfter = time.Minute
	// fullMeshLimit is the largest number of entries that all exchange heartbeats, directly or through complete
	// member lists. The traffic between zones grows with the square of their number.
	fullMeshLimit = 64
	// sweepInterval is how often idle connections are checked.
	sweepInterval = 500 * time.Millisecond
)

// Sender sends messages to peers without blocking.
type Sender interface {
	Send(peerAddress string, m carrier.Message)
}

// StreamOpener opens a stream to the entry at a peer address. The stream is closed when ctx ends.
type StreamOpener func(ctx context.Context, peerAddress string) (proxier.Stream, error)

// Config holds the settings and dependencies of a Forwarder.
type Config struct {
	Name          string
	Zone          string
	CallerAddress string
	PeerAddress   string
	Seeds         []string
	// Incarnation distinguishes the processes that use this name; a later start has a higher value.
	Incarnation uint64
	// Capacity combines this VM's processor and link in one figure, see CapacityOf.
	Capacity int
	// FirstStart is set at the first start of the whole system.
	FirstStart bool
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// ColdExcess and ColdSlack bound the calls that all entries together may send to a cold endpoint in one second:
	// ColdExcess times its cold rate, plus ColdSlack.
	ColdExcess float64
	ColdSlack  float64
	// AddressTTL is how long callers may cache the list of entry addresses.
	AddressTTL time.Duration
	// RetryRatio and RetrySlack bound the retries and hedges of all entries together in any RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ResponseMemory bounds the memory of endpoints' responses that are incomplete, in bytes; 0 means the connector's default.
	ResponseMemory int64

	// Admission bounds what callers' requests, and those that peers relay, may hold; nil bounds nothing.
	Admission *guarder.Admission

	// Disabled lists the policy mechanisms that are switched off.
	Disabled switcher.Disabled

	Wire   Wire
	Client *connector.Client
	// DecodeConfig decodes a configuration as written by the operator.
	DecodeConfig func(data []byte) (*cataloger.Catalog, error)
	Log          *zap.Logger
	Meter        *meter.Meter
}

// Forwarder holds the state of one entry and serves its requests.
type Forwarder struct {
	cfg        Config
	log        *zap.Logger
	sampledLog *sampledLog
	sender     Sender
	openStream StreamOpener
	startTime  time.Time
	// budget bounds the memory of endpoints' incomplete responses.
	budget *connector.Budget
	// stageCalls counts the calls for pieces and freed results.
	stageCalls atomic.Uint64

	// mu guards all fields up to eraKnown.
	mu        sync.Mutex
	random    *rand.Rand
	catalog   *cataloger.Catalog
	rawConfig []byte
	registry  *registrar.Registry
	selector  *selector.Selector
	detector  *detector.Detector
	retries   *retrier.Shared
	// quarantiner tracks content that crashes endpoints, as seen here and by peers.
	quarantiner *quarantiner.Quarantiner
	// parts tracks parts of prompts that crash endpoints, as seen here and by peers.
	parts     *quarantiner.Parts
	partPeers *quarantiner.PartPeers
	// partsLoaded is set once the stored parts were read, or at the first start of the system.
	partsLoaded bool
	// handles remembers the handles of results that endpoints have given out.
	handles collector.HandleLog
	// trialCalls holds the calls for trials of parts that wait for their reply.
	trialCalls trialCalls
	// broken holds the exchanges whose endpoint may have crashed.
	broken brokenExchanges
	// paths decides whether calls go to endpoints directly or through peers.
	paths *pathfinder.Finder
	// evacuator tracks the zones whose endpoints receive no new work, warmer limits the calls from this entry to cold
	// endpoints, and availability holds the resulting capacity of each service.
	evacuator    *evacuator.Evacuator
	warmer       *warmer.Warmer
	availability availability
	// limitsRotation, leavesRotation, refusalsRotation and unreachableRotation track which endpoint notices the next
	// heartbeat carries.
	limitsRotation, fragileRotation, leavesRotation, refusalsRotation, unreachableRotation rotation
	// regulator tracks the endpoints that asked for less work.
	regulator *regulator.Regulator
	// retrySchedules spread the retries of callers that were refused because a service's endpoints asked for fewer
	// calls, by service.
	retrySchedules map[string]*regulator.ReturnSchedule
	// divider selects the pools in which the pieces of a stage's service are collected.
	divider     *divider.Divider
	pools       map[string]*collector.Pool
	delegations map[delegationID]*delegation
	// reportedLoads holds the newest reported load of the stage pools that peers collect for.
	reportedLoads map[string]reportedLoad
	// reportedAt is when the load report of each peer arrived.
	reportedAt map[string]time.Time
	// timings holds observations of endpoints' speeds, for and from peers.
	timings timings
	// prompts tracks where prompts were sent.
	prompts prompts
	// origins holds which software versions began the streams that callers may resume.
	origins origins
	// duties caches which entry owns which duty.
	duties duties
	// addresses holds the addresses of peers by name.
	addresses map[string]string
	// configQueriedAt and endpointsQueriedAt are when peers were last asked for a configuration and for the list of
	// endpoints. behindSince is when a peer was first seen with a newer configuration.
	configQueriedAt    time.Time
	endpointsQueriedAt time.Time
	behindSince        time.Time
	// partialLists holds lists of endpoints of which only some parts have arrived, and sentLists limits those sent.
	partialLists partialLists
	sentLists    sentLists
	// peerLiveAt is when a peer last became live.
	peerLiveAt time.Time
	// otherOwnerSince is when another entry became the owner of the collecting duty for a service that this entry has
	// a pool of.
	otherOwnerSince map[string]time.Time
	// meanAcceptTime is the recent mean response time of collecting entries to requests for pieces.
	meanAcceptTime time.Duration
	// round counts heartbeat rounds, starting from a number derived from the entry's name.
	round int
	// updateReceivedAt is when the last update from the entry that reads the store for all arrived.
	updateReceivedAt time.Time
	// longList is set once a single call to the store has not returned the whole list of endpoints.
	longList bool
	// configReadAt is when the store last answered a configuration read, here or at a peer.
	configReadAt time.Time
	// storeLost is set while the store does not answer this entry.
	storeLost bool
	// storeEra is the newest known era of the store; it is valid once eraKnown is set.
	storeEra int64
	eraKnown bool

	inFlight    atomic.Int64
	lastRequest atomic.Int64
	stopping    atomic.Bool
	// refusing is set once a stopping entry serves no new requests.
	refusing atomic.Bool
	// endContext ends shortly before a stopping entry exits, by a call of end; ending is its channel.
	endContext context.Context
	end        context.CancelFunc
	ending     <-chan struct{}
}

// New returns a forwarder without configuration, endpoints or known peers.
func New(cfg Config, now time.Time) *Forwarder {
	if cfg.Meter == nil {
		cfg.Meter = meter.New()
	}
	random := rand.New(rand.NewPCG(cfg.Incarnation, uint64(len(cfg.Name))))
	g := &gate{
		warmer:    warmer.New(warmer.Config{Self: cfg.Name, Excess: cfg.ColdExcess, Slack: cfg.ColdSlack}),
		regulator: regulator.New(regulator.Config{Self: cfg.Name}),
	}
	endContext, end := context.WithCancel(context.Background())
	return &Forwarder{
		cfg:        cfg,
		log:        cfg.Log,
		sampledLog: newSampledLog(cfg.Log, cfg.Meter),
		startTime:  now,
		budget:     connector.NewBudget(cfg.ResponseMemory),
		random:     random,
		registry:   registrar.New(registrar.Config{Regions: cfg.Regions}),
		selector:   selector.New(selector.Config{Self: cfg.Name, Rand: random, Ejector: ejectorConfig(cfg.Disabled), Gate: g, Disabled: cfg.Disabled}),
		detector: detector.New(detector.Config{
			Self: carrier.Member{
				Name:          cfg.Name,
				Zone:          cfg.Zone,
				CallerAddress: cfg.CallerAddress,
				PeerAddress:   cfg.PeerAddress,
				Incarnation:   cfg.Incarnation,
				State:         uint8(detector.Live),
				Capacity:      int32(cfg.Capacity),
			},
			Seeds:         cfg.Seeds,
			SuspectAfter:  suspectAfter,
			DeadAfter:     deadAfter,
			ProbeInterval: probeInterval,
			ForgetAfter:   forgetAfter,
			MaxFullMesh:   fullMeshLimit,

			GossipSuspectAfter: gossipSuspectAfter,
			GossipDeadAfter:    gossipDeadAfter,
			HeartbeatInterval:  heartbeatInterval,
		}),
		retries: retrier.NewShared(retrier.SharedConfig{
			Ratio:        cfg.RetryRatio,
			Slack:        cfg.RetrySlack,
			Window:       cfg.RetryWindow,
			MinEntries:   typicalEntries,
			MaxReporting: maxReportPeers + 1,
			Restarted:    !cfg.FirstStart,
		}, now),
		endContext:  endContext,
		end:         end,
		ending:      endContext.Done(),
		origins:     newOrigins(cfg.FirstStart, now),
		paths:       pathfinder.New(),
		quarantiner: quarantiner.New(quarantiner.Config{}),
		parts:       quarantiner.NewParts(quarantiner.PartsConfig{}),
		partPeers:   quarantiner.NewPartPeers(),
		partsLoaded: cfg.FirstStart,
		trialCalls:  trialCalls{waiting: make(map[uint64]chan<- bool)},
		broken:      make(brokenExchanges),
		evacuator:   evacuator.New(),
		warmer:      g.warmer,
		regulator:   g.regulator,
		divider:     divider.New(),
		round:       int(uint32(xxhash.Sum64String(cfg.Name))),

		pools:         make(map[string]*collector.Pool),
		delegations:   make(map[delegationID]*delegation),
		reportedLoads: make(map[string]reportedLoad),
		partialLists:  make(partialLists),

		retrySchedules: make(map[string]*regulator.ReturnSchedule),

		otherOwnerSince: make(map[string]time.Time),
		addresses:       make(map[string]string),
		reportedAt:      make(map[string]time.Time),
	}
}

const (
	// maxEjectedShare is the largest share of a pool that may be ejected for bad responses.
	maxEjectedShare = 0.5
	// downEjection is how long an endpoint that refused a connection gets no calls at first: about as long as the store
	// lists an endpoint that has ended. An earlier call would mostly reach nobody, or another process that rejects it.
	downEjection = 3 * time.Second
	// noEjection keeps all endpoints in use.
	noEjection = -1
	// typicalEntries divides the slack of the retry budget until peers are known. It is the number of entries in
	// current deployments.
	typicalEntries = 7
	// maxEndpointsPerRequest bounds the endpoints that one request is sent to, including those that refuse it.
	maxEndpointsPerRequest = 6
)

// ejectorConfig returns the ejection limits, or none if ejection is switched off.
func ejectorConfig(disabled switcher.Disabled) ejector.Config {
	if disabled.Has(switcher.Ejection) {
		return ejector.Config{MaxEjectedShare: noEjection}
	}
	return ejector.Config{MaxEjectedShare: maxEjectedShare, DownEjection: downEjection}
}

// SetSender sets the transport for messages to peers. It must be called before Run.
func (f *Forwarder) SetSender(s Sender) { f.sender = s }

// SetStreamOpener sets the transport for calls that peers relay. It must be called before Run.
func (f *Forwarder) SetStreamOpener(open StreamOpener) { f.openStream = open }

// Run runs the periodic work until the context ends.
func (f *Forwarder) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var lastHeartbeat, lastSweep time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		f.tick(now)
		if now.Sub(lastHeartbeat) >= heartbeatInterval {
			lastHeartbeat = now
			f.heartbeat(now)
			f.probePaths(ctx, now)
		}
		if now.Sub(lastSweep) >= sweepInterval {
			lastSweep = now
			f.cfg.Client.CloseExpired(now)
			f.updateGauges(now)
			f.reportDroppedLines(now)
		}
	}
}

func (f *Forwarder) tick(now time.Time) {
	f.mu.Lock()
	var actions []func()
	for service, p := range f.pools {
		actions = append(actions, f.performAll(service, p, p.Reduce(collector.Ticked{}, now))...)
	}
	actions = append(actions, f.returnWaitingPieces(now)...)
	actions = append(actions, f.checkDelegations(now)...)
	endpointsLeft := f.registry.Tick(now)
	endpointsReturned := f.returnEnded(now)
	if f.evacuator.Tick(now) {
		actions = append(actions, f.evacuationsChanged(true, "lapse", now)...)
	} else if endpointsLeft || endpointsReturned {
		actions = append(actions, f.endpointsChanged(now)...)
	}
	f.mu.Unlock()
	runActions(actions)
}

// runActions runs the actions that were decided under the lock. The lock must not be held.
func runActions(actions []func()) {
	for _, do := range actions {
		do()
	}
}

// loaded reports whether this entry knows what it needs to serve requests: a configuration, the list of endpoints and the
// evacuated zones, which may arrive from different peers. The lock must be held.
func (f *Forwarder) loaded() bool {
	return f.catalog != nil && f.registry.Loaded() && f.evacuator.Loaded()
}

// Ready reports whether this entry can serve requests: it has loaded what it needs, and is not stopping.
func (f *Forwarder) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded() && !f.stopping.Load()
}

// ServeReady implements the readiness probe.
func (f *Forwarder) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !f.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Catalog returns the configuration in force, or nil.
func (f *Forwarder) Catalog() *cataloger.Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog
}
