package starter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"geraniumline/faker"
	"geraniumline/platformserver"
	"geraniumline/verifier"
)

// operatorName is the name of the operator in every entry's settings.
const operatorName = "operator"

// Pool describes the stand-ins of one pool.
type Pool struct {
	Name      string
	Kind      string
	Endpoints int
	// Args holds additional command-line arguments of the stand-ins.
	Args []string
}

// Config describes a fleet.
type Config struct {
	// Bin is the directory of the two programs, Dir the directory for settings and logs.
	Bin, Dir string
	Entries  int
	Zones    int
	Pools    []Pool
	LogArgs  []string
	// Settings holds settings to override or add in each entry's file.
	Settings map[string]any
	// EntrySettings, if set, returns settings to override or add in one entry's file. It is called after all
	// addresses have been chosen.
	EntrySettings func(*Fleet, *Entry) (map[string]any, error)
}

// Fleet is a system of entries and stand-ins, each in its own process.
type Fleet struct {
	cfg       Config
	operator  string
	sharedKey string
	log       *Process
	vms       *Process
	weights   *Process
	pools     map[string][]*Endpoint
	entries   []*Entry
}

// Endpoint is a stand-in for an endpoint of a pool.
type Endpoint struct {
	*Process
	Pool   string
	Zone   string
	Driver *faker.ControlClient
}

// Entry is an entry process with its addresses.
type Entry struct {
	*Process
	Zone            string
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	settings        string
}

// Start starts all processes of a fleet. If one fails to start, it stops those already running and returns the error.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	f := &Fleet{
		cfg:       cfg,
		operator:  verifier.GenerateCredential(),
		sharedKey: verifier.GenerateKey(),
		pools:     map[string][]*Endpoint{},
	}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	for _, pool := range f.cfg.Pools {
		if err := f.startPool(pool); err != nil {
			return err
		}
	}
	if err := f.RegisterVMs(ctx); err != nil {
		return err
	}
	if err := f.prepareEntries(); err != nil {
		return err
	}
	for _, entry := range f.entries {
		if err := f.StartEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startPlatform() error {
	var err error
	if f.log, err = f.standin("log", append([]string{"log"}, f.cfg.LogArgs...)...); err != nil {
		return err
	}
	if f.vms, err = f.standin("vms", "vms"); err != nil {
		return err
	}
	f.weights, err = f.standin("weights", "weights")
	return err
}

func (f *Fleet) standin(name string, args ...string) (*Process, error) {
	return startStandin(filepath.Join(f.cfg.Bin, "standin"), f.cfg.Dir, name, args...)
}

// startPool starts a pool's endpoints and distributes them over the availability zones.
func (f *Fleet) startPool(pool Pool) error {
	for i := range pool.Endpoints {
		args := []string{"service", "--kind", pool.Kind}
		if pool.Kind == "engine" {
			args = []string{"engine"}
		}
		process, err := f.standin(fmt.Sprintf("%s-%d", pool.Name, i+1), append(args, pool.Args...)...)
		if err != nil {
			return err
		}
		f.pools[pool.Name] = append(f.pools[pool.Name], &Endpoint{
			Process: process,
			Pool:    pool.Name,
			Zone:    f.zone(i),
			Driver:  faker.NewControlClient(process.address),
		})
	}
	return nil
}

func (f *Fleet) zone(i int) string {
	return fmt.Sprintf("zone-%c", 'a'+rune(i%f.cfg.Zones))
}

// RegisterVMs writes the VMs of all endpoints and entries to the platform's list.
func (f *Fleet) RegisterVMs(ctx context.Context) error {
	var vms []platformserver.VM
	for _, pool := range f.cfg.Pools {
		for _, endpoint := range f.pools[pool.Name] {
			vms = append(vms, platformserver.VM{Address: endpoint.address, Zone: endpoint.Zone, Pool: endpoint.Pool, State: platformserver.VMStateLive})
		}
	}
	for _, entry := range f.entries {
		vms = append(vms, platformserver.VM{Address: entry.PeerAddress, Zone: entry.Zone, Pool: "entry", State: platformserver.VMStateLive})
	}
	return faker.NewControlClient(f.vms.address).SetVMs(ctx, vms)
}

// prepareEntries chooses the entries' addresses and writes their settings files.
func (f *Fleet) prepareEntries() error {
	addresses, err := freeAddresses(3 * f.cfg.Entries)
	if err != nil {
		return err
	}
	for i := range f.cfg.Entries {
		f.entries = append(f.entries, &Entry{
			Process:         &Process{name: fmt.Sprintf("entry-%d", i+1)},
			Zone:            f.zone(i),
			CallerAddress:   addresses[3*i],
			OperatorAddress: addresses[3*i+1],
			PeerAddress:     addresses[3*i+2],
			settings:        filepath.Join(f.cfg.Dir, fmt.Sprintf("entry-%d.json", i+1)),
		})
	}
	for _, entry := range f.entries {
		if err := f.writeSettings(entry); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts an entry's process, or restarts it after it has exited.
func (f *Fleet) StartEntry(entry *Entry) error {
	process, err := startEntry(filepath.Join(f.cfg.Bin, "geraniumline"), f.cfg.Dir, entry.name, entry.settings)
	if err != nil {
		return err
	}
	entry.Process = process
	return nil
}

// freeAddresses returns n loopback addresses that no socket listens on.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// Stop ends the processes that this fleet started, and no others.
func (f *Fleet) Stop() error {
	var errs []error
	for _, entry := range f.entries {
		if entry.command == nil {
			continue
		}
		errs = append(errs, entry.Kill())
	}
	for _, process := range f.standins() {
		errs = append(errs, process.stop())
	}
	return errors.Join(errs...)
}

func (f *Fleet) standins() []*Process {
	var all []*Process
	for _, pool := range f.pools {
		for _, endpoint := range pool {
			all = append(all, endpoint.Process)
		}
	}
	for _, process := range []*Process{f.log, f.vms, f.weights} {
		if process != nil {
			all = append(all, process)
		}
	}
	return all
}

// Entries returns the fleet's entries, running or not.
func (f *Fleet) Entries() []*Entry { return f.entries }

// Endpoints returns the endpoints of a pool.
func (f *Fleet) Endpoints(pool string) []*Endpoint { return f.pools[pool] }

// LogDriver returns a driver for the stand-in of the log.
func (f *Fleet) LogDriver() *faker.ControlClient { return faker.NewControlClient(f.log.address) }

// LogAddress returns the address of the log's stand-in.
func (f *Fleet) LogAddress() string { return f.log.address }

// VMsAddress returns the address of the stand-in of the list of VMs.
func (f *Fleet) VMsAddress() string { return f.vms.address }

// VMsDriver returns a driver for the stand-in of the list of VMs.
func (f *Fleet) VMsDriver() *faker.ControlClient { return faker.NewControlClient(f.vms.address) }

// Executions returns the executions in the ledgers of all endpoints.
func (f *Fleet) Executions(ctx context.Context) ([]faker.Execution, error) {
	var all []faker.Execution
	for _, pool := range f.cfg.Pools {
		for _, endpoint := range f.pools[pool.Name] {
			page, err := endpoint.Driver.Ledger(ctx)
			if err != nil {
				return nil, err
			}
			all = append(all, page.Executions...)
		}
	}
	return all, nil
}

// AwaitReady waits until every entry reports all entries live and lists all endpoints. It returns a StartError if an
// entry exits or the timeout passes first.
func (f *Fleet) AwaitReady(ctx context.Context, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, entry := range f.entries {
		for !f.isReady(ctx, entry) {
			if _, ended := entry.Wait(0); ended || time.Now().After(deadline) {
				return &StartError{Name: entry.name, Err: errNotReady}
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// pollInterval is the interval at which AwaitReady checks an entry.
const pollInterval = 50 * time.Millisecond

func (f *Fleet) isReady(ctx context.Context, entry *Entry) bool {
	client, err := f.Operator(entry)
	if err != nil {
		return false
	}
	status, err := client.GetStatus(ctx)
	if err != nil {
		return false
	}
	live := 0
	for _, other := range status.Entries {
		if other.State == "live" {
			live++
		}
	}
	return live == len(f.entries) && len(status.Endpoints) == f.endpointCount()
}

func (f *Fleet) endpointCount() int {
	count := 0
	for _, pool := range f.cfg.Pools {
		count += pool.Endpoints
	}
	return count
}
