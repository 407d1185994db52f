package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
	"geraniumline/cataloger"
	"geraniumline/detector"
	"geraniumline/locator"
	"geraniumline/registrar"
	"geraniumline/selector"
)

// streams is a mesh of entries before endpoints of several software versions of one service. It must be used in a synctest
// bubble, whose time is that of the mesh.
type streams struct {
	*mesh
	// versions holds the versions of the endpoints by ID, as the store lists them.
	versions map[string]string
	position int64
}

func newStreams(t *testing.T, entries int, versions ...string) *streams {
	s := &streams{mesh: newMesh(t, entries), versions: make(map[string]string)}
	for i, version := range versions {
		s.versions[fmt.Sprintf("e%d", i)] = version
	}
	s.position++
	for name := range s.nodes {
		s.list(name)
	}
	return s
}

// list has an entry read the list of endpoints.
func (s *streams) list(entry string) {
	now := time.Now()
	var all []registrar.Change
	for id, version := range s.versions {
		all = append(all, registrar.Change{ID: id, Position: locator.At(0, s.position), Endpoint: &registrar.Endpoint{
			ID: id, Service: "plain", Version: version, Address: id + ":1",
		}})
	}
	f := s.nodes[entry]
	f.RecordStoreResponse(0, now)
	f.ReplaceEndpoints(all, locator.At(0, s.position+1), now)
}

// change sets the versions of endpoints in the store; an empty version removes one. The entries named read the new list.
func (s *streams) change(versions map[string]string, entries ...string) {
	for id, version := range versions {
		s.versions[id] = version
		if version == "" {
			delete(s.versions, id)
		}
	}
	s.position += 2
	for _, entry := range entries {
		s.list(entry)
	}
}

// restart replaces an entry by a new process that knows nothing.
func (s *streams) restart(entry string) {
	s.nodes[entry] = New(Config{
		Name: entry, Zone: "z0", CallerAddress: "caller-" + entry, PeerAddress: entry, Seeds: []string{"entry-0"},
		Incarnation: uint64(time.Now().UnixNano()), AddressTTL: time.Second, RetryRatio: 0.2, RetrySlack: 54,
		Wire: noWire{}, Client: s.other(entry).cfg.Client, DecodeConfig: decodeTestConfig, Log: s.other(entry).log,
	}, time.Now())
	s.nodes[entry].SetSender(port{s.mesh, entry})
	require.NoError(s.t, s.nodes[entry].ApplyConfig([]byte("1"), "test", time.Now()))
	s.list(entry)
	s.sendHeartbeats(3)
}

func (s *streams) exchange(entry string, req Request) *exchange {
	return &exchange{
		f:       s.nodes[entry],
		ctx:     context.Background(),
		req:     req,
		route:   &cataloger.Route{Kind: cataloger.Streaming, Resumable: true, Timeout: 8 * time.Second, MaxAttempts: 2},
		service: &cataloger.Service{Name: "plain"},
		account: "account",
	}
}

// begin has an entry begin a stream and returns the version of its endpoint.
func (s *streams) begin(entry, id string) string {
	x := s.exchange(entry, Request{ID: id})
	now := time.Now()
	x.f.mu.Lock()
	choice, found := x.f.selector.Choose(selector.Query{Service: "plain"}, now)
	var actions []func()
	if found {
		actions = x.recordOrigin(&choice, now)
	}
	x.f.mu.Unlock()
	runActions(actions)
	require.True(s.t, found)
	return choice.Endpoint.Version
}

// resume has an entry resume a stream, and returns the version at which it goes on, or the reason why it does not.
func (s *streams) resume(entry, resumes string) (version, reason string) {
	x := s.exchange(entry, Request{ID: "again-" + resumes, LastEvent: "2", Resumes: resumes})
	if failure := x.bindResumption(); failure != nil {
		require.Equal(s.t, 503, failure.Status)
		require.Positive(s.t, failure.RetryAfter)
		return "", failure.Reason
	}
	return *x.streamVersion.Load(), ""
}

// requireGoesOn checks that a stream goes on at the version at each of the entries.
func (s *streams) requireGoesOn(version, resumes string, entries ...string) {
	s.t.Helper()
	for _, entry := range entries {
		got, reason := s.resume(entry, resumes)
		require.Empty(s.t, reason, entry)
		require.Equal(s.t, version, got, entry)
	}
}

func (s *streams) requireRefused(reason, resumes string, entries ...string) {
	s.t.Helper()
	for _, entry := range entries {
		_, got := s.resume(entry, resumes)
		require.Equal(s.t, reason, got, entry)
	}
}

// Guards against streams that go on at a version other than that which began them, or not at all, while the set of entries
// changes: the one that began a stream, and two of those that were told of it, end.
func TestOriginsOutliveEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreams(t, 9, "v1", "v2")
		begun := make(map[string]string)
		for i := range 40 {
			id := fmt.Sprintf("stream-%d", i)
			begun[id] = s.begin("entry-1", id)
		}
		s.restart("entry-1")
		s.cut["entry-2"] = true
		s.restart("entry-3")
		for id, version := range begun {
			s.requireGoesOn(version, id, "entry-0", "entry-1", "entry-3", "entry-8")
		}
	})
}

// Guards against streams that are refused because the entry that began them has just started, so that its peers don't send
// it work yet and what it tells has not arrived.
func TestAnEntryThatHasJustStartedIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreams(t, 3, "v1", "v2")
		s.restart("entry-1")
		s.deferDelivery = true
		version := s.begin("entry-1", "stream")
		s.deferDelivery = false
		s.nodes["entry-0"].HandleMessage("entry-1", &carrier.Heartbeat{
			From: carrier.Member{
				Name: "entry-1", PeerAddress: "entry-1", Incarnation: uint64(time.Now().UnixNano()) + 1, State: uint8(detector.Suspect),
			},
			StoresOrigins: true,
		})
		require.Equal(t, []string{"entry-2"}, s.nodes["entry-0"].liveAddresses())
		s.requireGoesOn(version, "stream", "entry-0")
	})
}

// Guards against a fleet in which heartbeats go to some peers only, so that an entry has heard few of them directly.
func TestOriginsAreFoundInALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreams(t, 80, "v1", "v2")
		s.sendHeartbeats(20)
		for i := range 20 {
			id := fmt.Sprintf("stream-%d", i)
			version := s.begin(fmt.Sprintf("entry-%d", i), id)
			s.cut[fmt.Sprintf("entry-%d", i)] = true
			s.requireGoesOn(version, id, "entry-50", "entry-60", "entry-79")
		}
	})
}

// Guards against streams that began while their service had one version and go on at a second one.
func TestASecondVersionAppearsWhileStreamsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreams(t, 5, "v1")
		require.Equal(t, "v1", s.begin("entry-1", "stream"))
		require.Zero(t, s.sent["*carrier.StreamOrigins"], "one version")
		s.change(map[string]string{"e1": "v2"}, "entry-0", "entry-1", "entry-2", "entry-3", "entry-4")
		s.restart("entry-1")
		s.requireGoesOn("v1", "stream", "entry-0", "entry-1", "entry-2")
		s.change(map[string]string{"e0": ""}, "entry-0", "entry-1", "entry-2", "entry-3", "entry-4")
		s.requireRefused("versionGone", "stream", "entry-0", "entry-1", "entry-2")
	})
}

// Guards against a stream that began at an entry which ended before a second version appeared, and that goes on at either.
func TestStreamsOfUnknownOriginAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreams(t, 4, "v1")
		s.begin("entry-1", "stream")
		s.requireGoesOn("v1", "stream", "entry-0", "entry-2")
		s.requireGoesOn("v1", "", "entry-0")
		s.restart("entry-1")
		s.requireGoesOn("v1", "stream", "entry-0", "entry-1", "entry-2")
		s.change(map[string]string{"e1": "v2"}, "entry-0", "entry-1", "entry-2", "entry-3")
		s.requireRefused("unknownVersion", "stream", "entry-0", "entry-1", "entry-2")
		s.requireRefused("unknownVersion", "", "entry-0")
		s.requireRefused("unknownVersion", strings.Repeat("x", 1<<20), "entry-0")
		version, _ := s.resume("entry-0", "stream")
		require.Empty(t, version)

		// The version that is left may not be the one that began the stream.
		s.change(map[string]string{"e0": ""}, "entry-0", "entry-1", "entry-2", "entry-3")
		s.requireRefused("unknownVersion", "stream", "entry-0", "entry-3")
		s.restart("entry-3")
		s.requireRefused("unknownVersion", "stream", "entry-3")
		time.Sleep(time.Minute)
		s.change(nil, "entry-0")
		s.requireGoesOn("v2", "stream of now", "entry-0")
	})
}

// Guards against entries that go on with streams without knowing what came before them, after all have ended at once.
func TestEntriesThatHaveAllRestartedRefuseEarlierStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreams(t, 3, "v1")
		s.begin("entry-1", "earlier")
		for i := range 3 {
			s.restart(fmt.Sprintf("entry-%d", i))
		}
		s.sendHeartbeats(5)
		s.requireRefused("unknownVersion", "earlier", "entry-0", "entry-1")
		require.Equal(t, "v1", s.begin("entry-1", "later"))
		s.requireGoesOn("v1", "later", "entry-0", "entry-1", "entry-2")
	})
}

// Guards against entries that trust a list of endpoints that is old: they reach neither the store nor entries that do, and
// those may know a version that has just appeared.
func TestPartitionedEntriesRefuseToGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreams(t, 4, "v1")
		read := func(entries ...string) {
			time.Sleep(maxListAge + time.Second)
			for _, entry := range entries {
				s.list(entry)
			}
		}
		s.requireGoesOn("v1", "stream", "entry-0", "entry-3")
		read("entry-0", "entry-1")
		s.requireGoesOn("v1", "stream", "entry-0", "entry-3")
		s.cut["entry-0"], s.cut["entry-1"] = true, true
		s.requireRefused("unknownVersion", "stream", "entry-2", "entry-3")
		s.requireGoesOn("v1", "stream", "entry-0")
		s.cut["entry-0"] = false
		s.requireGoesOn("v1", "stream", "entry-3")
	})
}

// Guards against refusing the streams of an outage of the store, in which no entry's list is recent.
func TestOriginsAreToldWhileTheStoreDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreams(t, 4, "v1")
		s.begin("entry-1", "before")
		time.Sleep(maxListAge + time.Second)
		s.sendHeartbeats(1)
		s.begin("entry-2", "during")
		s.restart("entry-1")
		time.Sleep(maxListAge + time.Second)
		s.sendHeartbeats(5)
		s.requireGoesOn("v1", "before", "entry-0", "entry-1", "entry-2")
		s.requireGoesOn("v1", "during", "entry-0", "entry-3")
	})
}

// Guards against a stream that is lost for good because it is resumed before its origin has arrived.
func TestAnOriginMayArriveAfterTheResumption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreams(t, 3, "v1", "v2")
		s.deferDelivery = true
		version := s.begin("entry-1", "stream")
		s.deferDelivery = false
		s.cut["entry-1"] = true
		s.requireRefused("unknownVersion", "stream", "entry-0", "entry-2")
		for _, deliver := range s.deferred {
			deliver()
		}
		s.requireGoesOn(version, "stream", "entry-0", "entry-2")
	})
}

// Guards against messages that close the connections of peers of an earlier release, which don't know them.
func TestPeersOfAnEarlierReleaseAreLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreams(t, 4, "v1", "v2")
		for _, earlier := range []string{"entry-2", "entry-3"} {
			s.nodes["entry-1"].HandleMessage(earlier, &carrier.Heartbeat{From: carrier.Member{Name: earlier, PeerAddress: earlier, Incarnation: 1, State: 1}})
		}
		require.Equal(t, []string{"entry-0"}, s.nodes["entry-1"].originPeers(s.nodes["entry-1"].isLivePeer))
		version := s.begin("entry-1", "stream")
		require.Equal(t, 1, s.sent["*carrier.StreamOrigins"])
		s.cut["entry-1"] = true
		s.requireGoesOn(version, "stream", "entry-0", "entry-2")
	})
}

// Guards against streams that go on although their endpoint had started again, under its ID and with another version, when
// it began them.
func TestAnEndpointThatChangesItsVersionMakesItsStreamsDoubtful(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreams(t, 4, "v1")
		s.begin("entry-1", "stream")
		s.change(map[string]string{"e0": "v2", "e1": "v1"}, "entry-0", "entry-1", "entry-2", "entry-3")
		s.requireRefused("unknownVersion", "stream", "entry-0", "entry-1", "entry-2")
	})
}

// Guards against an attempt's ID of another account: it must not tell anything about its stream.
func TestAnotherAccountsStreamIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreams(t, 3, "v1", "v2")
		s.begin("entry-1", "stream")
		x := s.exchange("entry-0", Request{ID: "again", LastEvent: "2", Resumes: "stream"})
		x.account = "other"
		require.Equal(t, "unknownVersion", x.bindResumption().Reason)
	})
}

// Guards against joined streams for any order of versions that come and go, lists that entries read late, and entries that
// restart, up to three of which may have known a stream.
func TestStreamsNeverGoOnAtAnotherVersion(t *testing.T) {
	const entries, maxRestarts = 7, 3
	wentOn, refused := 0, 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			s := newStreams(t, entries, "v1", "v1", "v1")
			entry := func() string { return fmt.Sprintf("entry-%d", rnd.IntN(entries)) }
			for round := range 6 {
				begun := make(map[string]string)
				for i := range 8 {
					id := fmt.Sprintf("stream-%d-%d", round, i)
					begun[id] = s.begin(entry(), id)
				}
				restarts := 0
				for range rnd.IntN(6) {
					switch id := fmt.Sprintf("e%d", rnd.IntN(4)); rnd.IntN(4) {
					case 0:
						s.change(map[string]string{id: fmt.Sprintf("v%d", 1+rnd.IntN(3))})
					case 1:
						if len(s.versions) > 1 {
							s.change(map[string]string{id: ""})
						}
					case 2:
						if restarts++; restarts <= maxRestarts {
							s.restart(entry())
						}
					default:
						time.Sleep(time.Duration(rnd.IntN(20)) * time.Second)
					}
					s.list(entry())
				}
				for id, version := range begun {
					got, reason := s.resume(entry(), id)
					if reason != "" {
						refused++
						continue
					}
					wentOn++
					require.Equal(t, version, got, "seed %d, %s", seed, id)
				}
			}
		})
	}
	t.Logf("%d streams went on, %d were refused", wentOn, refused)
	require.Greater(t, wentOn, refused/4)
}
