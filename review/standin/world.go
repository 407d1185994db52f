package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"geraniumline/platform/imitator"
)

const (
	// entryCount is the number of entries of the site.
	entryCount = 7
	// metricsPort is that of the deploy file.
	metricsPort = "9464"
	// readyTime bounds the start of the entries.
	readyTime = 20 * time.Second
)

var zones = []string{"hall-a", "hall-b", "hall-c"}

var (
	errNoPorts  = errors.New("no free loopback ports for the entries")
	errNotReady = errors.New("entries are not ready")
)

// world is the platform around the entries, and what is known of it to check the rules.
type world struct {
	rec     *record
	program string
	store   *imitator.Store
	dir     string
	entries []*entry
	engines []*engine

	mu sync.Mutex
	// requests holds what clients sent, by attempt.
	requests map[string]*request
	// results holds the results of stages, by handle.
	results map[string]*result
	// breaks counts the breaches of each rule.
	breaks map[string]int
	// configVersion is that of the newest configuration, revokedAt when the store acknowledged the one without a key.
	configVersion int
	revokedAt     map[string]time.Time
}

// entry is one process under test.
type entry struct {
	name, front, ready string
	cmd                *exec.Cmd
}

func newWorld(rec *record, program string) *world {
	return &world{
		rec:      rec,
		program:  program,
		store:    imitator.NewStore(),
		requests: make(map[string]*request),
		results:  make(map[string]*result),
		breaks:   make(map[string]int),

		revokedAt: make(map[string]time.Time),
	}
}

// breach records that a rule was broken.
func (w *world) breach(rule, format string, args ...any) {
	w.mu.Lock()
	w.breaks[rule]++
	w.mu.Unlock()
	w.rec.add("BREACH %s: %s", rule, fmt.Sprintf(format, args...))
}

func (w *world) breachCount(rule string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.breaks[rule]
}

// configure writes a configuration as the operator does.
func (w *world) configure(version int, routes, services, tenants []map[string]any) {
	w.store.PutJSON("keyed.op", "config", map[string]any{
		"Version": version, "Routes": routes, "Services": services, "Tenants": tenants,
		"Limits": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
		},
	})
	w.rec.add("the store acknowledges configuration %d", version)
}

// startEntries starts all entries and waits until they are ready.
func (w *world) startEntries(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	w.dir = dir
	network, base, err := freeAddresses()
	if err != nil {
		return err
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", network, i+1, base+3))
	}
	for i := range entryCount {
		e, err := w.startEntry(fmt.Sprintf("%s.%d", network, i+1), base, i, seeds)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, e)
	}
	return w.awaitReady(ctx)
}

// freeAddresses returns the first three numbers of loopback addresses and a first port that are free on them.
func freeAddresses() (network string, base int, err error) {
	for range 50 {
		network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		base = 20000 + rand.IntN(9000)
		free := true
		for i := range entryCount {
			ip := fmt.Sprintf("%s.%d", network, i+1)
			for _, port := range []string{fmt.Sprint(base), fmt.Sprint(base + 1), fmt.Sprint(base + 2), fmt.Sprint(base + 3), metricsPort} {
				l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
				if err != nil {
					free = false
					continue
				}
				free = l.Close() == nil && free
			}
		}
		if free {
			return network, base, nil
		}
	}
	return "", 0, errNoPorts
}

func (w *world) startEntry(ip string, base, i int, seeds []string) (*entry, error) {
	zone := zones[i%len(zones)]
	e := &entry{
		name:  fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1),
		front: fmt.Sprintf("%s:%d", ip, base),
		ready: fmt.Sprintf("%s:%d", ip, base+1),
	}
	settings := map[string]any{
		"NodeName": e.name, "Role": "entry", "MachineClass": "edge", "Serves": []string{"edge", "control_plane", "registry"},
		"Ip": ip, "Zone": zone, "Region": "arusha",
		"Zones": map[string]string{"hall-a": "arusha", "hall-b": "arusha", "hall-c": "arusha"},
		"Listen": map[string]string{
			"Front": e.front, "Readiness": e.ready,
			"Directory": fmt.Sprintf("%s:%d", ip, base+2), "Control": fmt.Sprintf("%s:%d", ip, base+3),
		},
		"InternalPorts": []int{base + 4, base + 19}, "Seeds": seeds, "IsBootstrap": true, "IsCounted": false,
		"Limits":      map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"Discovery":   "platform",
		"Entry":       "registry",
		"HeartbeatMs": heartbeat.Milliseconds(),
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8,
			"LossSlackMs": 200, "ConfigMs": 2000, "DowngradeMs": 250, "CoreStretchMs": 5000, "RetryRatio": 0.2,
			"RetryWindowS": 10, "RetrySlack": 54, "RecoverS": 12, "MaxDelayMs": 120, "ReuseWindowS": 10, "ttl_max_s": 5,
		},
		"Platform": map[string]any{"Address": w.store.Address(), "form": "log", "WritesPerS": 400, "ReadsPerS": 2000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(w.dir, e.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.dir, e.name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	e.cmd = exec.Command(w.program, "forward", "--metrics-port", metricsPort)
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GERANIUMLINE_CONFIG=" + file}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	w.rec.add("%s starts at %s", e.name, e.front)
	return e, nil
}

func (w *world) awaitReady(ctx context.Context) error {
	limit := time.Now().Add(readyTime)
	for _, e := range w.entries {
		for !imitator.Ready(ctx, e.ready) {
			if time.Now().After(limit) || ctx.Err() != nil {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.rec.add("all entries are ready")
	return nil
}

// close ends all processes that were started, and the stand-ins.
func (w *world) close() {
	for _, e := range w.entries {
		_ = e.cmd.Process.Kill()
		_ = e.cmd.Wait()
	}
	for _, e := range w.engines {
		e.close()
	}
	w.store.Close()
	http.DefaultClient.CloseIdleConnections()
	if w.dir != "" && os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// sleep waits for a duration or until the run ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
