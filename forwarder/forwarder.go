// Package forwarder takes callers' requests, has the stages before them done, passes them on to endpoints, and hands
// the answers back as they come. What has to be decided is decided by pure packages under one lock (registrar,
// selector, collector, detector, retrier); this package carries their decisions out.
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
	"geraniumline/meter"
	"geraniumline/quarantiner"
	"geraniumline/registrar"
	"geraniumline/regulator"
	"geraniumline/retrier"
	"geraniumline/selector"
	"geraniumline/switcher"
	"geraniumline/warmer"
)

const (
	// tickEvery is the resolution of what waits: a tenth of the shortest objective.
	tickEvery = 10 * time.Millisecond
	// heartbeatEvery is how often peers hear of this entry. Three heartbeats may be lost before SuspectAfter.
	heartbeatEvery = 150 * time.Millisecond
	// suspectAfter and deadAfter are the silences after which a peer gets no work and is taken for dead.
	suspectAfter = 700 * time.Millisecond
	deadAfter    = 2 * time.Second
	// spreadSuspectAfter and spreadDeadAfter are the same where news of a peer come by others: they leave room for the oldest
	// news of a live one while a tenth of the frames is lost.
	spreadSuspectAfter = 1200 * time.Millisecond
	spreadDeadAfter    = 2500 * time.Millisecond
	// probeEvery is how often seeds and peers that are not heard are tried: two heartbeats. After a loss of all power
	// entries start within half a second of each other, and most first tries come too early.
	probeEvery = 300 * time.Millisecond
	// forgetAfter is how long a dead peer's name is kept.
	forgetAfter = time.Minute
	// fullMesh is up to how many entries each hears all others, directly or by lists of all: what is sent between zones grows
	// with the square of their number.
	fullMesh = 64
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = 500 * time.Millisecond
	// retryShare is the part of the shared budget of extra calls that entries plan with: their counts of each
	// other lag, and a restarted entry begins anew.
	retryShare = 0.6
)

// Sender passes messages to peers. It never waits.
type Sender interface {
	Send(peerAddress string, m carrier.Message)
}

// Config holds a Forwarder's parts.
type Config struct {
	Name          string
	Zone          string
	CallerAddress string
	PeerAddress   string
	Seeds         []string
	// Incarnation tells the processes of this name apart; a later start has a higher one.
	Incarnation uint64
	// Capacity is this VM's processor and link as one figure, see CapacityOf.
	Capacity int
	// FirstStart is set at the first start of the whole system.
	FirstStart bool
	// Regions gives the region of each availability zone.
	Regions map[string]string
	// ColdExcess and ColdSlack bound the calls that a cold endpoint may get in one second from all entries together:
	// ColdExcess times what it bears, and ColdSlack more.
	ColdExcess float64
	ColdSlack  float64
	// AddressTTL is how long callers may keep the answer to which entries to use.
	AddressTTL time.Duration
	// RetryRatio and RetrySlack bound the extra calls of all entries together.
	RetryRatio float64
	RetrySlack float64

	// Off are the mechanisms of policy that are switched off.
	Off switcher.Disabled

	Wire   Wire
	Client *connector.Client
	// DecodeConfig decodes a configuration as the operator wrote it.
	DecodeConfig func(data []byte) (*cataloger.Catalog, error)
	Log          *zap.Logger
	Meter        *meter.Meter
}

// Forwarder is one entry's state and request path.
type Forwarder struct {
	cfg    Config
	log    *zap.Logger
	notes  *notes
	sender Sender
	began  time.Time

	// mu guards all deciders below.
	mu       sync.Mutex
	random   *rand.Rand
	catalog  *cataloger.Catalog
	raw      []byte
	registry *registrar.Registry
	selector *selector.Selector
	detector *detector.Detector
	retrier  *retrier.Retrier
	// quarantiner knows the contents that crash endpoints, here and at peers.
	quarantiner *quarantiner.Quarantiner
	// evacuator knows the zones whose endpoints get no new work, warmer which calls cold endpoints may get from here, and
	// availability what follows for each service.
	evacuator    *evacuator.Evacuator
	warmer       *warmer.Warmer
	availability availability
	// limitsTold, leavesTold and refusalsTold are how far heartbeats have told of what endpoints ask for.
	limitsTold, leavesTold, refusalsTold rotation
	// regulator knows which endpoints have asked for less work.
	regulator *regulator.Regulator
	// returns are the times given to callers that were refused since a service's endpoints have asked for fewer calls.
	returns map[string]*regulator.ReturnSchedule
	// divider says by which pools the stages' services are collected.
	divider     *divider.Divider
	pools       map[string]*collector.Pool
	delegations map[delegationID]*delegation
	// waits are the newest loads told of the stage pools that peers collect for.
	waits map[string]stageWait
	// reportedAt is when each peer's load report came.
	reportedAt map[string]time.Time
	// duties remembers who has which duty.
	duties duties
	// addresses are the peers' addresses by name.
	addresses map[string]string
	// asked is when each kind of question to peers was last put.
	askedConfig    time.Time
	askedEndpoints time.Time
	behindSince    time.Time
	// peerLiveAt is when a peer was last found to live.
	peerLiveAt time.Time
	// otherSince is since when another entry has had the duty of collecting for a service that this one has a pool of.
	otherSince map[string]time.Time
	// acceptTime is what collecting entries' answers to requests for pieces have taken lately.
	acceptTime time.Duration
	// round counts the rounds of heartbeats, from a number of the entry's own.
	round int
	// newsAt is when the entry that reads the store for all was heard last.
	newsAt time.Time
	// configHeard is when the store last answered a reading of the configuration, here or at a peer.
	configHeard time.Time
	// storeLost is set while the store does not answer this entry.
	storeLost bool
	// storeEra is the newest era of the store that was heard of; eraKnown is set once one was.
	storeEra int64
	eraKnown bool

	inFlight    atomic.Int64
	lastRequest atomic.Int64
	stopping    atomic.Bool
	// ending is closed shortly before a stopping entry ends.
	ending chan struct{}
}

// New makes a forwarder that knows nothing yet.
func New(cfg Config, now time.Time) *Forwarder {
	if cfg.Meter == nil {
		cfg.Meter = meter.New()
	}
	random := rand.New(rand.NewPCG(cfg.Incarnation, uint64(len(cfg.Name))))
	bounds := &gate{
		warmer:    warmer.New(warmer.Config{Self: cfg.Name, Excess: cfg.ColdExcess, Slack: cfg.ColdSlack}),
		regulator: regulator.New(regulator.Config{Self: cfg.Name}),
	}
	return &Forwarder{
		cfg:      cfg,
		log:      cfg.Log,
		notes:    newNotes(cfg.Log, cfg.Meter),
		began:    now,
		random:   random,
		registry: registrar.New(registrar.Config{}),
		selector: selector.New(selector.Config{Rand: random, Ejector: ejectorConfig(cfg.Off), Gate: bounds, Disabled: cfg.Off}),
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
			ProbeInterval: probeEvery,
			ForgetAfter:   forgetAfter,
			MaxFullMesh:   fullMesh,

			GossipSuspectAfter: spreadSuspectAfter,
			GossipDeadAfter:    spreadDeadAfter,
			HeartbeatInterval:  heartbeatEvery,
		}),
		retrier: retrier.New(retrier.Config{
			Ratio:       cfg.RetryRatio * retryShare,
			Reserve:     reserveFor(cfg.RetrySlack, usualEntries),
			MaxAttempts: maxEndpoints,
		}),
		ending:      make(chan struct{}),
		quarantiner: quarantiner.New(quarantiner.Config{}),
		evacuator:   evacuator.New(),
		warmer:      bounds.warmer,
		regulator:   bounds.regulator,
		divider:     divider.New(),
		round:       int(uint32(xxhash.Sum64String(cfg.Name))),

		pools:       make(map[string]*collector.Pool),
		delegations: make(map[delegationID]*delegation),
		waits:       make(map[string]stageWait),

		returns: make(map[string]*regulator.ReturnSchedule),

		otherSince: make(map[string]time.Time),
		addresses:  make(map[string]string),
		reportedAt: make(map[string]time.Time),
	}
}

const (
	// maxOut is the part of a pool that may be out of use for serving badly.
	maxOut = 0.5
	// noneOut keeps all endpoints in use.
	noneOut = -1
	// usualEntries divides the slack of the retry budget until peers are known: the entries of today's deployments.
	usualEntries = 7
	// maxEndpoints bounds the endpoints that one request is offered to, those that turn it away too.
	maxEndpoints = 6
)

// ejectorConfig says how endpoints are taken out of use.
func ejectorConfig(off switcher.Disabled) ejector.Config {
	if off.Has(switcher.Ejection) {
		return ejector.Config{MaxEjectedShare: noneOut}
	}
	return ejector.Config{MaxEjectedShare: maxOut}
}

// reserveFor is one entry's part of the slack that all entries share.
func reserveFor(slack float64, entries int) float64 {
	return max(1, slack*retryShare/float64(entries))
}

// SetSender sets where messages to peers go. It must be called before Run.
func (f *Forwarder) SetSender(s Sender) { f.sender = s }

// Run lets time pass until the context ends.
func (f *Forwarder) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	var beat, sweep time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		f.tick(now)
		if now.Sub(beat) >= heartbeatEvery {
			beat = now
			f.heartbeat(now)
		}
		if now.Sub(sweep) >= sweepEvery {
			sweep = now
			f.cfg.Client.Sweep(now)
			f.measure(now)
			f.tellSampled(now)
		}
	}
}

func (f *Forwarder) tick(now time.Time) {
	f.mu.Lock()
	var todo []func()
	for service, p := range f.pools {
		todo = append(todo, f.performAll(service, p, p.Reduce(collector.Ticked{}, now))...)
	}
	todo = append(todo, f.handBack(now)...)
	todo = append(todo, f.checkDelegations(now)...)
	endpointsLeft := f.registry.Tick(now)
	if f.evacuator.Tick(now) {
		todo = append(todo, f.evacuationsTaken(true, "lapse", now)...)
	} else if endpointsLeft {
		todo = append(todo, f.endpointsChanged(now)...)
	}
	f.mu.Unlock()
	run(todo)
}

// run carries out what was decided under the lock.
func run(todo []func()) {
	for _, do := range todo {
		do()
	}
}

// Ready tells whether this entry can serve: it knows the configuration and the endpoints, and is not stopping.
func (f *Forwarder) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog != nil && f.registry.Loaded() && !f.stopping.Load()
}

// ServeReady answers whether the entry takes callers.
func (f *Forwarder) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !f.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Catalog gives the configuration in force, or nil.
func (f *Forwarder) Catalog() *cataloger.Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog
}
