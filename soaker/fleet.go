package soaker

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"geraniumline/platform"
	"geraniumline/platform/imitator"
	"geraniumline/relayer"
	"geraniumline/starter"
)

const (
	// restartDelay is the delay between the end of a process and its restart.
	restartDelay = 200 * time.Millisecond
	// stopTimeout bounds a planned stop: the platform's grace period plus a second for a busy machine.
	stopTimeout = 9 * time.Second
)

// entry is an entry's process, which is restarted each time it ends, and the relays in front of and behind it.
type entry struct {
	name      string
	settings  string
	binary    string
	dir       string
	listening imitator.ListenAddresses
	// storeRelay relays the entry's connections to the store, callerRelay those of callers to the entry.
	storeRelay, callerRelay *relayer.Relay

	mu      sync.Mutex
	process *starter.Process
	// incarnation counts the starts of the process.
	incarnation int
	// faultActive is set while a fault is being injected into the process.
	faultActive bool
}

// fleet is a set of entries that share one site of simulated dependencies.
type fleet struct {
	site    *imitator.Site
	entries []*entry
}

// newFleet creates the site and starts the entries.
func newFleet(cfg *Config) (*fleet, error) {
	f := &fleet{site: imitator.NewSite()}
	if cfg.Versions {
		addVersion(f.site)
	}
	var seeds []string
	for i := range cfg.Entries {
		e, err := f.add(cfg, fmt.Sprintf("entry-%d", i), seeds)
		if err != nil {
			f.close()
			return nil, err
		}
		if len(seeds) < maxSeeds {
			seeds = append(seeds, e.listening.Peers)
		}
	}
	return f, nil
}

// maxSeeds is how many peer addresses an entry's settings contain.
const maxSeeds = 2

func (f *fleet) add(cfg *Config, name string, seeds []string) (*entry, error) {
	e := &entry{name: name, binary: filepath.Join(cfg.Bin, "geraniumline"), dir: cfg.Dir}
	f.entries = append(f.entries, e)
	var err error
	if e.listening, err = imitator.FreeListenAddresses(); err != nil {
		return nil, err
	}
	if e.storeRelay, err = relayer.New(f.site.Store.Address()); err != nil {
		return nil, err
	}
	if e.callerRelay, err = relayer.New(e.listening.Callers); err != nil {
		return nil, err
	}
	e.settings, err = f.site.WriteSettings(cfg.Dir, imitator.EntrySettings{
		Name: name, Seeds: seeds, StoreAddress: e.storeRelay.Address(), Listen: e.listening,
	})
	if err != nil {
		return nil, err
	}
	return e, e.start()
}

// start starts a new process and increments the incarnation.
func (e *entry) start() error {
	process, err := starter.StartForward(e.binary, e.dir, e.name, platform.SettingsVariable, e.settings)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process = process
	e.incarnation++
	return nil
}

// current returns the process and its incarnation.
func (e *entry) current() (*starter.Process, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process, e.incarnation
}

// tryAcquire reserves the process for one fault. It returns false if another fault is active.
func (e *entry) tryAcquire() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faultActive {
		return false
	}
	e.faultActive = true
	return true
}

func (e *entry) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultActive = false
}

// close ends the processes, the relays and the site.
func (f *fleet) close() {
	for _, e := range f.entries {
		if process, _ := e.current(); process != nil {
			// The process may have ended already.
			_ = process.Resume()
			_ = process.Kill()
		}
		for _, relay := range []*relayer.Relay{e.storeRelay, e.callerRelay} {
			if relay != nil {
				_ = relay.Close()
			}
		}
	}
	f.site.Close()
}
