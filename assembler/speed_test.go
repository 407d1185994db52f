package assembler

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"geraniumline/caller"
	"geraniumline/endpointserver"
	"geraniumline/operatorserver"
)

// BenchmarkAddedTime compares an entry with a plain net/http client that calls the same four stages one after another.
// Both run in this process, as do the fake endpoints.
func BenchmarkAddedTime(b *testing.B) {
	const slots = 4096
	e := startEntry(b, slots)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	entry := caller.New(caller.Config{Account: testAccount, Credential: testAccount + testCredential, Entries: []string{e.caller}, HTTP: client})
	var n atomic.Int64
	variants := map[string]func() error{
		"direct": func() error { return callStages(client, e.endpointAddresses[:4], n.Add(1)) },
		"entry": func() error {
			request := caller.Request{Pipeline: "summary", Key: fmt.Sprintf("k-%d", n.Add(1)), Input: "input", Deadline: 20 * time.Second}
			_, err := entry.SendTo(context.Background(), e.caller, request)
			return err
		},
	}
	for _, concurrency := range []int{1, 16, 128} {
		for _, variant := range []string{"direct", "entry"} {
			b.Run(fmt.Sprintf("%s/%d", variant, concurrency), func(b *testing.B) {
				measure(b, concurrency, variants[variant])
			})
		}
	}
}

// callStages calls the stages directly, passing the text of each to the next.
func callStages(client *http.Client, stages []string, n int64) error {
	input := "input"
	for i, address := range stages {
		call := endpointserver.StageCall{RequestId: fmt.Sprint(n), Stage: fmt.Sprint(i), Attempt: 1, Account: "a", Input: input, DeadlineMillis: 10_000}
		body, err := call.MarshalJSON()
		if err != nil {
			return err
		}
		response, err := client.Post("http://"+address+"/v1/stages", "application/json", bytes.NewReader(body))
		if err != nil {
			return err
		}
		line, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return err
		}
		var part endpointserver.StagePart
		if err := part.UnmarshalJSON(line); err != nil {
			return err
		}
		input = part.Text
	}
	return nil
}

func measure(b *testing.B, concurrency int, call func() error) {
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	start := time.Now()
	for range concurrency {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				began := time.Now()
				if err := call(); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				_ = histogram.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "req/s")
}

func inFlight(accounts []operatorserver.AccountStatus) int {
	n := 0
	for _, account := range accounts {
		n += account.InFlight
	}
	return n
}

// BenchmarkInFlight keeps many requests in flight in one entry and reports the memory that they use together. It
// includes the callers' connections and goroutines, since both ends run in this process.
func BenchmarkInFlight(b *testing.B) {
	const requests = 10_000
	e := startEntry(b, 8)
	for _, endpoint := range e.endpoints {
		faults := endpoint.Faults()
		faults.Hang = true
		endpoint.SetFaults(faults)
	}
	var before, loaded runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithCancel(context.Background())
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: requests}}
	entry := caller.New(caller.Config{Account: testAccount, Credential: testAccount + testCredential, Entries: []string{e.caller}, HTTP: client})
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			_, _ = entry.SendTo(ctx, e.caller, caller.Request{Pipeline: "summary", Key: fmt.Sprintf("held-%d", i), Input: "input", Deadline: 9 * time.Minute})
		})
	}
	require.Eventually(b, func() bool {
		status, err := e.operator.GetStatus(context.Background())
		return err == nil && len(status.Accounts) > 0 && inFlight(status.Accounts) >= requests*9/10
	}, 60*time.Second, 100*time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&loaded)
	b.ReportMetric(float64(loaded.HeapInuse+loaded.StackInuse-before.HeapInuse-before.StackInuse)/(1<<20), "MB-both-ends")
	cancel()
	wg.Wait()
}
