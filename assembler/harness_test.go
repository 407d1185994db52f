package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"geraniumline/faker"
	"geraniumline/loader"
	"geraniumline/operatorserver"
	"geraniumline/platformserver"
	"geraniumline/publisher"
	"geraniumline/verifier"
)

const (
	testAccount    = "ward-office"
	otherAccount   = "rain-alerts"
	testCredential = "a-credential-of-the-test"
	testOperator   = "operator"
)

// testEntry is an entry that runs in this process, with fakes of everything that it talks to.
type testEntry struct {
	// caller is the address for callers.
	caller            string
	operator          *operatorserver.Client
	endpoints         []*faker.Endpoint
	endpointAddresses []string
}

func (testEntry) BasicAuth(context.Context, operatorserver.OperationName) (operatorserver.BasicAuth, error) {
	return operatorserver.BasicAuth{Username: testOperator, Password: testCredential}, nil
}

// startEntry runs an entry until the test ends. Its pipelines are "summary", whose stages are all repeatable,
// and "ticket", whose last stage is not.
func startEntry(t testing.TB, slots int) *testEntry {
	return startEntryWith(t, slots, newServices(slots))
}

// newServices returns a factory of fake endpoints that answer after 2 ms.
func newServices(slots int) func(pool string) (*faker.Endpoint, http.Handler) {
	return func(string) (*faker.Endpoint, http.Handler) {
		endpoint := faker.NewService(faker.ServiceConfig{
			EndpointConfig: faker.EndpointConfig{Slots: slots, MaxWaiting: slots},
			ServiceTime:    2 * time.Millisecond,
		})
		return endpoint, endpoint.Handler()
	}
}

// startEntryWith is like startEntry, but gets the single endpoint of each pool and its handler from newEndpoint.
func startEntryWith(t testing.TB, slots int, newEndpoint func(pool string) (*faker.Endpoint, http.Handler)) *testEntry {
	e := &testEntry{}
	var vms []platformserver.VM
	for _, pool := range []string{"encoders", "retrievers", "rerankers", "engines", "tickets"} {
		endpoint, handler := newEndpoint(pool)
		server := httptest.NewServer(handler)
		t.Cleanup(func() { server.Close(); endpoint.Close() })
		address := strings.TrimPrefix(server.URL, "http://")
		vms = append(vms, platformserver.VM{Address: address, Zone: "zone-a", Pool: pool, State: platformserver.VMStateLive})
		e.endpoints = append(e.endpoints, endpoint)
		e.endpointAddresses = append(e.endpointAddresses, address)
	}
	log := faker.NewLog(faker.LogConfig{})
	logServer := httptest.NewServer(log.Handler())
	vmServer := httptest.NewServer(faker.NewVMs(faker.VMsConfig{VMs: vms}).Handler())
	t.Cleanup(func() { log.Close(); logServer.Close(); vmServer.Close() })
	settings := testSettings(t)
	settings.LogURL = logServer.URL
	settings.VMsURL = vmServer.URL
	e.caller = settings.CallerAddress
	e.run(t, settings)
	e.publish(t, slots)
	return e
}

func testSettings(t testing.TB) loader.Settings {
	settings := loader.Defaults()
	settings.Name = "entry-1"
	settings.Zone = "zone-a"
	settings.Region = "region-1"
	settings.CallerAddress = freeAddress(t)
	settings.OperatorAddress = freeAddress(t)
	settings.PeerAddress = freeAddress(t)
	settings.SharedKey = loader.Secret(verifier.GenerateKey())
	settings.AddressTTLMillis = 100
	settings.MaxConnections = 20_000
	settings.Operators = []loader.Operator{{Name: testOperator, CredentialSHA256: verifier.HashCredential(testCredential)}}
	return settings
}

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (e *testEntry) run(t testing.TB, settings loader.Settings) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, Config{Settings: settings, Log: zap.NewNop()}) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	client, err := operatorserver.NewClient("http://"+settings.OperatorAddress, e)
	require.NoError(t, err)
	e.operator = client
	require.Eventually(t, func() bool {
		status, err := client.GetStatus(ctx)
		return err == nil && len(status.Endpoints) == len(e.endpointAddresses)
	}, 10*time.Second, 10*time.Millisecond)
}

func (e *testEntry) publish(t testing.TB, slots int) {
	var objects []any
	for _, pool := range []string{"encoders", "retrievers", "rerankers", "engines", "tickets"} {
		objects = append(objects, publisher.Pool{Name: pool, Kind: publisher.PoolService, SlotsPerEndpoint: slots})
	}
	stage := func(name, pool string, repeatable bool) publisher.Stage {
		return publisher.Stage{Name: name, Pool: pool, Repeatable: repeatable, ExpectedMillis: 2}
	}
	objects = append(objects,
		publisher.Pipeline{Name: "summary", Stages: []publisher.Stage{
			stage("encode", "encoders", true), stage("retrieve", "retrievers", true), stage("rerank", "rerankers", true), stage("generate", "engines", true),
		}},
		publisher.Pipeline{Name: "ticket", Stages: []publisher.Stage{
			stage("encode", "encoders", true), stage("generate", "engines", true), stage("log", "tickets", false),
		}})
	for _, account := range []string{testAccount, otherAccount} {
		pipelines := []string{"summary", "ticket"}
		if account == otherAccount {
			pipelines = []string{"summary"}
		}
		objects = append(objects, publisher.Contract{
			Account: account, CredentialSha256: verifier.HashCredential(account + testCredential), Weight: 1, RatePerSecond: 1e6, Burst: 1e6,
			Concurrency: 100_000, CostPerSecond: 1e9, Urgency: publisher.Normal, Pipelines: pipelines,
		})
	}
	for i, object := range objects {
		kind, name := kindOf(object)
		body, err := json.Marshal(object)
		require.NoError(t, err)
		verdict, err := e.operator.PublishConfig(context.Background(), &operatorserver.ConfigChange{
			OperationId: fmt.Sprintf("op-%d", i), Kind: kind, Name: name, Body: body,
		})
		require.NoError(t, err)
		require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, verdict.Verdict, verdict.Message.Value)
	}
}

func kindOf(object any) (operatorserver.ConfigChangeKind, string) {
	switch o := object.(type) {
	case publisher.Pool:
		return operatorserver.ConfigChangeKindPool, o.Name
	case publisher.Pipeline:
		return operatorserver.ConfigChangeKindPipeline, o.Name
	case publisher.Contract:
		return operatorserver.ConfigChangeKindContract, o.Account
	default:
		return "", ""
	}
}

// executions returns the number of calls that all endpoints have run.
func (e *testEntry) executions() int {
	n := 0
	for _, endpoint := range e.endpoints {
		n += len(endpoint.Ledger().Executions)
	}
	return n
}
