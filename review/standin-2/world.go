package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"geraniumline/platform/imitator"
)

// Names and settings of the deployment, like those of a small site.
const (
	host       = "site.example"
	key        = "9dnn2ctnfzs989anu6ws"
	account    = "bozi300"
	zone       = "hall-a"
	program    = "target/geraniumline"
	memoryMb   = 284
	contactMs  = 3000
	heartbeat  = 1200 * time.Millisecond
	readyLimit = 20 * time.Second
)

// world is the platform around the entries: the store, the endpoints' records and the processes.
type world struct {
	dir     string
	store   *imitator.Store
	entries []*entry
	network string
	started time.Time
	stop    context.CancelFunc
	ctx     context.Context

	mu     sync.Mutex
	record *os.File
	seq    map[string]int
}

// entry is one machine that runs the project's program.
type entry struct {
	w      *world
	name   string
	ip     string
	ports  map[string]int
	cmd    *exec.Cmd
	exited chan struct{}
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		dir: dir, store: imitator.NewStore(), record: f, started: time.Now(), ctx: ctx, stop: cancel, seq: make(map[string]int),
		network: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250)),
	}
	return w, nil
}

// log writes one line to the record, with the seconds since the start.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%7.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) close() {
	w.stop()
	for _, e := range w.entries {
		e.kill()
	}
	w.store.Close()
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// register writes the record of an endpoint about itself.
func (w *world) register(id, service, address, state string, born time.Time) {
	w.mu.Lock()
	w.seq[id]++
	n := w.seq[id]
	w.mu.Unlock()
	w.store.PutJSON("keyed.servers", id, map[string]any{
		"Service": service, "Address": address, "Zone": zone, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0,
		"SeqNo": n, "born": born.UnixMilli(),
	})
}

// configure writes the operator's configuration.
func (w *world) configure(routes, services []map[string]any) {
	w.store.PutJSON("keyed.op", "config", map[string]any{
		"Version": 1, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": account, "ApiKeys": []string{key}}},
	})
}

func route(name, kind, service string, extra map[string]any) map[string]any {
	r := map[string]any{
		"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "RouteType": kind, "Service": service,
		"TimeoutMs": 15000, "GoalMs": 2000, "Priority": 1, "MaxAttempts": 1,
	}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

// startEntries starts n entries and waits until all of them are ready.
func (w *world) startEntries(n int) error {
	if _, err := os.Stat(program); err != nil {
		return err
	}
	ports := make(map[string]int)
	for _, use := range []string{"Front", "Readiness", "Control", "Directory"} {
		port, err := freePort(w.network + "10")
		if err != nil {
			return err
		}
		ports[use] = port
	}
	for i := range n {
		w.entries = append(w.entries, &entry{w: w, name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: w.network + strconv.Itoa(10+i), ports: ports})
	}
	for _, e := range w.entries {
		if err := e.start(true); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	port := l.Addr().(*net.TCPAddr).Port
	return port, l.Close()
}

func (w *world) awaitReady() error {
	ctx, cancel := context.WithTimeout(w.ctx, readyLimit)
	defer cancel()
	for _, e := range w.entries {
		for !imitator.Ready(ctx, e.address("Readiness")) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.log("%d entries are ready", len(w.entries))
	return nil
}

func (e *entry) address(use string) string { return net.JoinHostPort(e.ip, strconv.Itoa(e.ports[use])) }

// start writes the settings file and starts the process with the command of the deploy file.
func (e *entry) start(bootstrap bool) error {
	var seeds []string
	for _, other := range e.w.entries[:min(3, len(e.w.entries))] {
		seeds = append(seeds, other.address("Control"))
	}
	listen := make(map[string]string)
	for use := range e.ports {
		listen[use] = e.address(use)
	}
	data, err := json.Marshal(map[string]any{
		"NodeName": e.name, "Role": "entry", "MachineClass": "edge", "Serves": []string{"edge", "control_plane", "registry"},
		"Ip": e.ip, "Zone": zone, "Region": "arusha", "Zones": map[string]string{zone: "arusha"},
		"Listen": listen, "InternalPorts": []int{7740, 7755}, "Seeds": seeds, "IsBootstrap": bootstrap, "IsCounted": false,
		"Limits":    map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": memoryMb, "MaxFds": 4100, "LinkMbps": 1000, "DiskMb": 0},
		"Discovery": "platform", "Entry": "registry", "HeartbeatMs": heartbeat.Milliseconds(),
		"Contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": contactMs, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8,
			"LossSlackMs": 200, "ConfigMs": 2000, "DowngradeMs": 250, "CoreStretchMs": 5000, "RetryRatio": 0.2, "RetryWindowS": 10,
			"RetrySlack": 54, "RecoverS": 12, "MaxDelayMs": 120, "ttl_max_s": 5,
		},
		"Platform": map[string]any{"Address": e.w.store.Address(), "form": "log", "WritesPerS": 400, "ReadsPerS": 2000, "keep_s": 300},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(e.w.dir, e.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, "forward", "--metrics-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GERANIUMLINE_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = cmd.Wait(); close(exited) }()
	e.cmd, e.exited = cmd, exited
	e.w.log("%s started", e.name)
	return nil
}

// kill ends the process with SIGKILL.
func (e *entry) kill() {
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	<-e.exited
}

// restartAll kills all entries at the same moment and starts them again after a delay.
func (w *world) restartAll(delay time.Duration) error {
	for _, e := range w.entries {
		_ = e.cmd.Process.Kill()
	}
	for _, e := range w.entries {
		<-e.exited
	}
	w.log("all entries were killed")
	time.Sleep(delay)
	for _, e := range w.entries {
		if err := e.start(false); err != nil {
			return err
		}
	}
	return w.awaitReady()
}
