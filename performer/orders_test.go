package performer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"geraniumline/appender"
	"geraniumline/carrier"
	"geraniumline/faker"
	"geraniumline/leaser"
	"geraniumline/meter"
	"geraniumline/placer"
	"geraniumline/platformserver"
	"geraniumline/publisher"
	"geraniumline/reducer"
	"geraniumline/tracer"
)

// waitLimit limits the wait for an expected event; no test asserts how long it took.
const waitLimit = 30 * time.Second

// noPeers drops all messages to peers.
type noPeers struct{}

func (noPeers) Send(string, carrier.Message) {}

// site is a pool of engines with fakes of the platform's services, and entries that receive no messages from each other.
type site struct {
	t         *testing.T
	logURL    string
	vmsURL    string
	weights   *faker.Weights
	addresses []string
	client    *http.Client
}

func newSite(t *testing.T, engines int) *site {
	s := &site{t: t, client: &http.Client{Transport: EndpointTransport()}}
	t.Cleanup(s.client.CloseIdleConnections)
	log := faker.NewLog(faker.LogConfig{})
	s.logURL = s.serve(log.Handler(), log.Close)
	s.weights = faker.NewWeights(faker.WeightsConfig{LoadsPerSecond: 20, Burst: 2, TransferTime: 20 * time.Millisecond})
	weightsURL := s.serve(s.weights.Handler(), func() {})
	var vms []platformserver.VM
	for i := range engines {
		engine := faker.NewEngine(faker.EngineConfig{WeightsURL: weightsURL})
		engine.SetFaults(faker.Faults{IgnoreOrderFence: i == 0})
		address := strings.TrimPrefix(s.serve(engine.Handler(), engine.Close), "http://")
		s.addresses = append(s.addresses, address)
		vms = append(vms, platformserver.VM{Address: address, Zone: "a", Pool: "engines", State: platformserver.VMStateLive})
	}
	s.vmsURL = s.serve(faker.NewVMs(faker.VMsConfig{Lag: time.Millisecond, VMs: vms}).Handler(), func() {})
	return s
}

func (s *site) serve(handler http.Handler, stop func()) string {
	server := httptest.NewServer(handler)
	s.t.Cleanup(func() {
		stop()
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

func (s *site) publish(kind, name string, object any) {
	logs, err := appender.New(appender.Config{URL: s.logURL})
	require.NoError(s.t, err)
	defer logs.Close()
	body, err := json.Marshal(object)
	require.NoError(s.t, err)
	data, err := publisher.EncodeChange(publisher.Change{OperationID: kind + name, Kind: kind, Name: name, Body: body})
	require.NoError(s.t, err)
	_, err = logs.Append(s.t.Context(), string(reducer.StreamConfig), data)
	require.NoError(s.t, err)
}

// start runs an entry and returns the function that stops it.
func (s *site) start(name string) (stop func()) {
	logs, err := appender.New(appender.Config{URL: s.logURL, PollWait: 100 * time.Millisecond})
	require.NoError(s.t, err)
	vms, err := platformserver.NewClient(s.vmsURL, platformserver.WithClient(s.client))
	require.NoError(s.t, err)
	traces, err := tracer.New(tracer.Config{Entry: name})
	require.NoError(s.t, err)
	core := reducer.New(reducer.Config{
		Entry: name, Incarnation: 1, PeerAddress: name, HeartbeatEvery: 50 * time.Millisecond, SuspectAfter: time.Second, DeadAfter: 2 * time.Second,
		Leaser: leaser.Config{Duration: 2 * time.Second, Stagger: time.Millisecond},
		Placer: placer.Config{LoadsPerSecond: 20},
	}, time.Now())
	p := New(Config{
		Entry: name, Incarnation: 1, Appender: logs, VMs: vms, Messenger: noPeers{}, Endpoints: s.client, Meter: meter.New(), Tracer: traces,
		Log: zap.NewNop(), VMListEvery: 50 * time.Millisecond, LoadReportEvery: time.Hour,
	}, core)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = p.Run(ctx) }()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			cancel()
			<-done
			logs.Close()
		}
	}
	s.t.Cleanup(stop)
	return stop
}

func (s *site) assignment(address string) placer.Assignment {
	response, err := s.client.Get(assignmentURL(address))
	require.NoError(s.t, err)
	defer drain(response)
	state, ok := readAssignment(response)
	require.True(s.t, ok)
	return state
}

// await waits until each model is served by the wanted number of engines.
func (s *site) await(want map[string]int) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		got := map[string]int{}
		for _, address := range s.addresses {
			if state := s.assignment(address); !state.Loading {
				got[state.Model]++
			}
		}
		return fmt.Sprint(got) == fmt.Sprint(want)
	}, waitLimit, 20*time.Millisecond)
}

// Two entries without contact find a placement and empty engines. Both bid for the lease, only one may send orders, and
// the weight store's rate limit is never exceeded. The lease holder is then stopped, and an order without a lease loads
// a wrong model on the engine that ignores fencing tokens: the other entry must acquire the lease and correct it.
func TestOrdersPlaceModels(t *testing.T) {
	s := newSite(t, 4)
	s.publish(publisher.KindPool, "engines", publisher.Pool{Name: "engines", Kind: publisher.PoolEngine, SlotsPerEndpoint: 1})
	placed := publisher.PlacedModel{Version: "1", Adapters: []string{"nepali"}, Role: publisher.RoleBoth, MinCopies: 2, Weight: 1}
	writer, chat := placed, placed
	writer.Model, chat.Model = "writer", "chat"
	s.publish(publisher.KindPlacement, "engines", publisher.Placement{Name: "engines", Pool: "engines", Models: []publisher.PlacedModel{writer, chat}})
	stops := map[string]func(){"entry-1": s.start("entry-1"), "entry-2": s.start("entry-2")}
	s.await(map[string]int{"writer": 2, "chat": 2})
	ledger := s.weights.Ledger()
	require.Equal(t, map[string]int64{"writer@1": 2, "chat@1": 2}, ledger.Loads)
	require.Zero(t, ledger.RateLimited)

	stops[s.holder()]()
	o := newOrderSender(Config{Endpoints: s.client}, nil)
	o.ctx = t.Context()
	wrong := reducer.OrderEngine{Address: s.addresses[0], State: placer.Assignment{Model: "wrong", Version: "0", Role: publisher.RoleBoth}, Deadline: time.Now().Add(waitLimit)}
	require.IsType(t, placer.Accepted{}, o.send(wrong))
	wrong.Address = s.addresses[1]
	require.Equal(t, placer.Refused{}, o.send(wrong), "stale fencing token")
	s.await(map[string]int{"writer": 2, "chat": 2})
}

// holder returns the entry that holds the lease according to the log.
func (s *site) holder() string {
	logs, err := appender.New(appender.Config{URL: s.logURL})
	require.NoError(s.t, err)
	defer logs.Close()
	page, err := logs.Read(s.t.Context(), string(reducer.StreamLeases), 0, 1000, 0)
	require.NoError(s.t, err)
	l := leaser.New(leaser.Config{})
	for _, record := range page.Records {
		l.Apply(record, time.Now())
	}
	entry, _ := l.Holder("engines")
	return entry
}

// The result of an order decides whether it may be sent again without reading the engine's assignment first.
func TestOrderResults(t *testing.T) {
	scenarios := []struct {
		testName string
		status   int
		body     string
		want     placer.Result
	}{
		{"accepted", 200, `{"fence":3,"model":"a","version":"1","role":"both","loading":true}`,
			placer.Accepted{State: placer.Assignment{Model: "a", Version: "1", Role: "both", Loading: true, Fence: 3}}},
		{"stale fencing token", 409, `{"code":"staleFence","message":"m"}`, placer.Refused{}},
		{"too many loads", 429, `{"code":"rateLimited","message":"m","retryAfterMillis":50}`,
			placer.Refused{RetryAfter: 50 * time.Millisecond, Limited: true}},
		{"failed on the engine", 500, `{"code":"failed","message":"m"}`, placer.Uncertain{}},
		{"malformed", 200, `{`, placer.Uncertain{}},
		{"connection closed", 0, "", placer.Uncertain{}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if s.status == 0 {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(s.status)
				_, _ = w.Write([]byte(s.body))
			}))
			defer server.Close()
			o := newOrderSender(Config{Endpoints: server.Client()}, nil)
			o.ctx = t.Context()
			order := reducer.OrderEngine{Address: server.Listener.Addr().String(), Deadline: time.Now().Add(waitLimit)}
			require.Equal(t, s.want, o.send(order))
			order.Deadline = time.Now()
			require.Equal(t, placer.Refused{}, o.send(order), "its deadline has passed")
		})
	}
}
