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
	// restartPause is how long after its end a process is started again.
	restartPause = 200 * time.Millisecond
	// stopGrace is how long a planned stop may take: the platform's grace and a second for a busy machine.
	stopGrace = 9 * time.Second
)

// entry is one entry's process, started again after each end, and the relays around it.
type entry struct {
	name      string
	settings  string
	binary    string
	dir       string
	listening imitator.Listening
	// store and callers relay its connections to the store and those of callers.
	store, callers *relayer.Relay

	mu      sync.Mutex
	process *starter.Process
	boot    int
	// busy is set while a fault of the process is under way.
	busy bool
}

// fleet is entries before one site of stand-ins.
type fleet struct {
	site    *imitator.Site
	entries []*entry
}

// newFleet starts the entries.
func newFleet(cfg *Config) (*fleet, error) {
	f := &fleet{site: imitator.NewSite()}
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

// maxSeeds is how many other entries' addresses the settings name.
const maxSeeds = 2

func (f *fleet) add(cfg *Config, name string, seeds []string) (*entry, error) {
	e := &entry{name: name, binary: filepath.Join(cfg.Bin, "geraniumline"), dir: cfg.Dir}
	f.entries = append(f.entries, e)
	var err error
	if e.listening, err = imitator.FreeListening(); err != nil {
		return nil, err
	}
	if e.store, err = relayer.New(f.site.Store.Address()); err != nil {
		return nil, err
	}
	if e.callers, err = relayer.New(e.listening.Callers); err != nil {
		return nil, err
	}
	e.settings, err = f.site.WriteSettings(cfg.Dir, imitator.EntrySettings{
		Name: name, Seeds: seeds, StoreAddress: e.store.Address(), Listening: e.listening,
	})
	if err != nil {
		return nil, err
	}
	return e, e.start()
}

// start starts the process once more.
func (e *entry) start() error {
	process, err := starter.StartForward(e.binary, e.dir, e.name, platform.SettingsVariable, e.settings)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process = process
	e.boot++
	return nil
}

// present gives the process and its number among the entry's starts.
func (e *entry) present() (*starter.Process, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process, e.boot
}

// take reserves the process for one fault, unless another one has it.
func (e *entry) take() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy {
		return false
	}
	e.busy = true
	return true
}

func (e *entry) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = false
}

// close ends all that the fleet has started.
func (f *fleet) close() {
	for _, e := range f.entries {
		if process, _ := e.present(); process != nil {
			// It may have ended already.
			_ = process.Resume()
			_ = process.Kill()
		}
		for _, relay := range []*relayer.Relay{e.store, e.callers} {
			if relay != nil {
				_ = relay.Close()
			}
		}
	}
	f.site.Close()
}
