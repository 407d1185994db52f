// Package reducer is the core of an entry: one reducer over all events, with effects as data.
// It takes no clock, starts no goroutine and draws no unseeded random number, so that a failure
// can be replayed as a list of events. The deciders that it calls are packages of their own.
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

// Config sets a Core up.
type Config struct {
	// Entry is this entry's name, unique in the system.
	Entry string
	// Incarnation is this process's number, greater than that of any earlier process of the same name.
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
	// KeyHorizon is the greatest age of a key with side effects; the log keeps records for longer.
	KeyHorizon time.Duration
	// SnapshotEvery is the longest time between snapshots of the configuration.
	SnapshotEvery time.Duration
	// MaxDeadline is the longest deadline that a caller may ask for.
	MaxDeadline time.Duration
	// StageTimeout bounds the wait for an endpoint's next part.
	StageTimeout time.Duration
	// OutcomesKept bounds the outcomes that callers may still ask for.
	MaxOutcomes int

	// Router, Retrier and Quarantiner set these deciders up; their zero values take the defaults.
	Router      router.Config
	Retrier     retrier.Config
	Quarantiner quarantiner.Config
	// Leaser and Placer set up the orders to engines; their zero values take the defaults.
	Leaser leaser.Config
	Placer placer.Config
}

// subsetSize and subsetSpares are how many entries one client account is told of: few, so that an entry's state
// follows the accounts that it serves; some, so that the loss of one is hardly felt.
const (
	subsetSize   = 2
	subsetSpares = 2
)

// forgetAfter is how long a silent entry, or an address that nobody names, is remembered.
const forgetAfter = 10 * time.Minute

// Core is the state of one entry. It is not safe for concurrent use: one goroutine calls Reduce.
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
	// lone are the runs of suspect requests by pool.
	isolatedRuns map[string][]isolatedRun

	leaser *leaser.Leaser
	// orderings are the pools that a placement names.
	placedPools map[string]*placedPool
	nextOrders  time.Time

	// requests are those in flight, by the id of their first caller; running are the same by their key.
	requests map[uint64]*request
	running  map[claimer.Key]*request
	// joined leads the callers that joined a running request to its first caller's id.
	joinedCallers map[uint64]uint64
	// claiming are the requests whose claim has not been read back, by claim id.
	claiming map[uint64]*request
	// claimMean is how long recent claims took from the request's arrival until they were read back.
	meanClaimDelay time.Duration
	// outcomes are those of ended requests that callers may still ask for.
	outcomes *outcomeStore
	// asked are the questions that peers have not answered yet, by call id.
	peerQueries map[uint64]*peerQuery
	timers      timerHeap

	// plans are worked out of the pipelines in force, by name.
	plans map[string]*plan
	// applied are the contracts that the limiter was given, by account.
	appliedContracts map[string]*publisher.Contract
	// publishes are the operators' changes whose verdict has not been read back, by operation id.
	pendingChanges map[string]*pendingChange
	// logs is what is known of each stream's health, configs the newest configuration records for peers.
	streams       map[Stream]*streamHealth
	configRecords *recordRing
	// appending counts the appends to the claims stream that have not ended.
	claimAppendsInFlight int
	// snapshotDue is since when a snapshot of the configuration has been due; zero while none is.
	snapshotDueSince time.Time

	// liveEntries counts the entries that share the pools, this one included.
	liveEntries int
	// silent are the entries that are taken for dead by their silence alone.
	silentEntries map[string]silentEntry
	nextHeartbeat time.Time
	nextBills     time.Time
	lastTick      time.Time
	// recordsCalled is when a peer was last asked for configuration, recordsCall the name of that call, unlike
	// those of other processes.
	recordsRequestedAt time.Time
	recordsCallID      uint64
	// stopped tells that the planned stop is done.
	stopped bool

	lastClaimID    uint64
	lastBatchID    uint64
	lastPeerCallID uint64
	counters       Counters
	// effects is the slice that Reduce gives; it is used again for the next event.
	effects []Effect
}

// New makes the core of an entry that knows nothing yet.
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

// Reduce takes one event and gives the effects to carry out, in order.
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

func (c *Core) emit(effect Effect) {
	c.effects = append(c.effects, effect)
}

// Counters gives this core's counts since its start.
func (c *Core) Counters() Counters { return c.counters }
