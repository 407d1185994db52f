// Package reducer is the core of an entry: a single state machine that reduces events to effects, which are data.
// It reads no clock, starts no goroutines and uses only seeded randomness, so that a failure can be replayed
// as a list of events. The decision logic that it calls is in separate packages.
package reducer

import (
	"math/rand/v2"
	"time"

	"geraniumline/addresser"
	"geraniumline/admitter"
	"geraniumline/biller"
	"geraniumline/carrier"
	"geraniumline/claimer"
	"geraniumline/detector"
	"geraniumline/drainer"
	"geraniumline/leaser"
	"geraniumline/limiter"
	"geraniumline/placer"
	"geraniumline/publisher"
	"geraniumline/quarantiner"
	"geraniumline/retrier"
	"geraniumline/router"
	"geraniumline/scheduler"
)

// Config configures a Core.
type Config struct {
	// Entry is this entry's name, which is unique in the system.
	Entry string
	// Incarnation is the number of this process. It is greater than that of any earlier process of the same entry.
	Incarnation   uint64
	Zone          string
	CallerAddress string
	PeerAddress   string
	SeedPeers     []string
	Seed          uint64

	HeartbeatEvery time.Duration
	SuspectAfter   time.Duration
	DeadAfter      time.Duration
	AddressTTL     time.Duration
	DrainGrace     time.Duration
	ClaimWindow    time.Duration
	AppendTimeout  time.Duration
	// KeyHorizon is the maximum age of a key of a request with side effects. The log keeps records for longer.
	KeyHorizon time.Duration
	// SnapshotEvery is the longest time between snapshots of the configuration.
	SnapshotEvery time.Duration
	// MaxDeadline is the longest deadline that a caller may request.
	MaxDeadline time.Duration
	// StageTimeout bounds the wait for the next part of an endpoint's reply.
	StageTimeout time.Duration
	// MaxOutcomes bounds the number of outcomes kept for callers to request; 0 selects the default.
	MaxOutcomes int

	// Router, Retrier and Quarantiner configure the packages of the same name; zero values select the defaults.
	Router      router.Config
	Retrier     retrier.Config
	Quarantiner quarantiner.Config
	// QuarantinedParts configures how prefixes of inputs that crash endpoints are held back.
	QuarantinedParts quarantiner.PartsConfig
	// Leaser and Placer configure the leases on pools and the orders to engines; zero values select the defaults.
	Leaser leaser.Config
	Placer placer.Config
}

// subsetSize and subsetSpares are the numbers of entries and spare entries that a client account receives: few, so
// that an entry's state follows the accounts that it serves, but enough that the loss of one has little effect.
const (
	subsetSize   = 2
	subsetSpares = 2
)

// forgetAfter is how long a silent entry, or an address that no source lists any more, is remembered.
const forgetAfter = 10 * time.Minute

// Core is the state of one entry. It is not safe for concurrent use: a single goroutine must call Reduce.
type Core struct {
	cfg  Config
	rand *rand.Rand

	fold    *publisher.Fold
	table   *claimer.Table
	batcher *claimer.Batcher

	detector  *detector.Detector
	addresser *addresser.Addresser
	drainer   *drainer.Drainer

	limiter   *limiter.Limiter
	scheduler *scheduler.Scheduler
	admitter  *admitter.Admitter
	router    *router.Router
	retrier   *retrier.Retrier
	biller    *biller.Biller

	quarantiner *quarantiner.Quarantiner
	// parts tracks prefixes of inputs that crash endpoints.
	parts     *quarantiner.Parts
	partPeers *quarantiner.PartPeers
	// isolatedRuns are the runs of requests with suspect content, by pool.
	isolatedRuns map[string][]isolatedRun

	leaser *leaser.Leaser
	// placedPools are the pools that a placement names, by pool name.
	placedPools map[string]*placedPool
	nextOrders  time.Time

	// requests are the requests in flight by the id of their first caller; running are the same by key.
	requests map[uint64]*request
	running  map[claimer.Key]*request
	// joinedCallers maps the ids of callers that joined a running request to the id of its first caller.
	joinedCallers map[uint64]uint64
	// claiming are the requests whose claims have not been read back, by claim id.
	claiming map[uint64]*request
	// meanClaimDelay is the moving average of the time from a request's arrival until its claim was read back.
	meanClaimDelay time.Duration
	// outcomes are the outcomes of ended requests, kept for callers to request.
	outcomes *outcomeStore
	// peerQueries are the queries that peers have not answered yet, by call id.
	peerQueries map[uint64]*peerQuery
	timers      timerHeap

	// plans are derived from the pipelines in force, by pipeline name.
	plans map[string]*plan
	// appliedContracts are the contracts that the limiter uses, by account.
	appliedContracts map[string]*publisher.Contract
	// pendingChanges are the operators' changes whose verdicts have not been read back, by operation id.
	pendingChanges map[string]*pendingChange
	// streams is the health of each log stream, and configRecords keeps the newest configuration records for peers.
	streams       map[Stream]*streamHealth
	configRecords *recordRing
	// claimAppendsInFlight counts the appends to the claims stream that have not ended.
	claimAppendsInFlight int
	// snapshotDueSince is when a snapshot of the configuration became due; zero while none is due.
	snapshotDueSince time.Time

	// liveEntries counts the entries that share the pools, including this one.
	liveEntries int
	// silentEntries are the entries that are considered dead only because they are silent, by name.
	silentEntries map[string]silentEntry
	nextHeartbeat time.Time
	nextBills     time.Time
	lastTick      time.Time
	// recordsRequestedAt is when a peer was last asked for configuration records. recordsCallID is the id of that
	// call; it is random, so that it differs from those of other processes.
	recordsRequestedAt time.Time
	recordsCallID      uint64
	// stopped is set when the planned stop is done.
	stopped bool

	lastClaimID    uint64
	lastBatchID    uint64
	lastPeerCallID uint64
	counters       Counters
	// effects is the slice that Reduce returns. It is reused for the next event.
	effects []Effect
}

// New returns the core of an entry that has not read any configuration, claims or leases.
func New(cfg Config, now time.Time) *Core {
	random := rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation))
	cfg.Router.Rand = random
	c := &Core{
		cfg:       cfg,
		rand:      random,
		fold:      publisher.New(publisher.Config{Entry: cfg.Entry, SnapshotEvery: cfg.SnapshotEvery}),
		table:     claimer.New(claimer.Config{Entry: cfg.Entry, Incarnation: cfg.Incarnation, Horizon: cfg.KeyHorizon}),
		batcher:   claimer.NewBatcher(claimer.BatcherConfig{Entry: cfg.Entry, Incarnation: cfg.Incarnation, Window: cfg.ClaimWindow, AppendTimeout: cfg.AppendTimeout}),
		addresser: addresser.New(addresser.Config{SubsetSize: subsetSize, Spares: subsetSpares, TTL: cfg.AddressTTL}),
		drainer:   drainer.New(drainer.Config{AddressTTL: cfg.AddressTTL, Grace: cfg.DrainGrace}),
		limiter:   limiter.New(limiter.Config{Entry: cfg.Entry}),
		scheduler: scheduler.New(scheduler.Config{}),
		admitter:  admitter.New(admitter.Config{}),
		router:    router.New(cfg.Router),
		retrier:   retrier.New(cfg.Retrier),
		biller:    biller.New(),

		quarantiner:  quarantiner.New(cfg.Quarantiner),
		parts:        quarantiner.NewParts(cfg.QuarantinedParts),
		partPeers:    quarantiner.NewPartPeers(),
		isolatedRuns: map[string][]isolatedRun{},

		leaser:      leaser.New(leaserConfig(cfg)),
		placedPools: map[string]*placedPool{},

		requests:         map[uint64]*request{},
		joinedCallers:    map[uint64]uint64{},
		plans:            map[string]*plan{},
		appliedContracts: map[string]*publisher.Contract{},
		running:          map[claimer.Key]*request{},
		claiming:         map[uint64]*request{},
		outcomes:         newOutcomeStore(cfg.MaxOutcomes),
		peerQueries:      map[uint64]*peerQuery{},
		pendingChanges:   map[string]*pendingChange{},
		streams: map[Stream]*streamHealth{
			StreamConfig: {},
			StreamClaims: {},
			StreamLeases: {},
		},
		configRecords: newRecordRing(maxConfigRecords),
		lastTick:      now,
		liveEntries:   1,
		silentEntries: map[string]silentEntry{},
	}
	c.detector = detector.New(detector.Config{
		Self: carrier.Member{
			Name:          cfg.Entry,
			Zone:          cfg.Zone,
			CallerAddress: cfg.CallerAddress,
			PeerAddress:   cfg.PeerAddress,
			Incarnation:   cfg.Incarnation,
		},
		SuspectAfter: cfg.SuspectAfter,
		DeadAfter:    cfg.DeadAfter,
		ForgetAfter:  forgetAfter,
		Seeds:        cfg.SeedPeers,
	})
	return c
}

// Reduce handles one event and returns the effects to carry out, in order.
// The slice is valid until the next call.
func (c *Core) Reduce(event Event, now time.Time) []Effect {
	clear(c.effects)
	c.effects = c.effects[:0]
	switch e := event.(type) {
	case *RequestArrived:
		c.handleRequest(e, now)
	case *StagePartArrived:
		c.handlePart(e, now)
	case StageFailed:
		c.handleStageFailed(e, now)
	case CallerDisconnected:
		c.handleCallerDisconnected(e, now)
	case AddressesRequested:
		c.handleAddressesRequested(e, now)
	case OutcomeRequested:
		c.handleOutcomeRequested(e, now)
	case LogRead:
		c.handleLogRead(e, now)
	case LogFailed:
		c.handleLogFailed(e, now)
	case Appended:
		c.handleAppended(e, now)
	case PeerMessageArrived:
		c.handlePeerMessage(e, now)
	case VMsListed:
		c.handleVMsListed(e, now)
	case PeerConnectionRefused:
		c.handleTransitions(c.detector.ConnectionRefused(e.Address, now), now)
	case EndpointConnectionRefused:
		c.handleEndpointConnectionRefused(e, now)
	case LoadReported:
		c.router.UpdateLoad(e.Address, e.Report, now)
	case CacheEventsRead:
		c.router.ApplyCacheEvents(e.Address, e.Events, e.Next, now)
	case ChangeRequested:
		c.handleChangeRequested(e, now)
	case OperationRequested:
		c.handleOperationRequested(e)
	case ConfigRequested:
		c.handleConfigRequested(e)
	case HistoryRequested:
		c.handleHistoryRequested(e)
	case StatusRequested:
		c.emit(SendStatus{ID: e.ID, Status: c.status(now)})
	case StopRequested:
		c.handleStopRequested(e, now)
	case StopSignalReceived:
		c.beginStop(now)
	case AssignmentRead:
		c.handleAssignmentRead(e, now)
	case OrderEnded:
		c.handleOrderEnded(e, now)
	case Ticked:
		c.tick(now)
	}
	c.appendDueClaims(now)
	return c.effects
}

// emit adds an effect to those that Reduce returns.
func (c *Core) emit(effect Effect) {
	c.effects = append(c.effects, effect)
}

// Counters returns this core's counts since its start.
func (c *Core) Counters() Counters { return c.counters }
