package prover

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"geraniumline/caller"
	"geraniumline/demonstrator"
	"geraniumline/operatorserver"
	"geraniumline/relayer"
	"geraniumline/starter"
	"geraniumline/verifier"
)

const (
	zones        = 3
	readyTimeout = 20 * time.Second
	// addressTTL is short so that planned stops are short as well.
	addressTTL = time.Second
	drainGrace = time.Second
	// accountRate is a limit far above the rate at which the proofs send, because they do not test the limit.
	accountRate = 5000
)

// bench holds the fleet of one proof and the requests sent to it.
type bench struct {
	fleet   *starter.Fleet
	account demonstrator.Account
	client  *caller.Caller
	http    *http.Client
	relays  map[string]*relayer.Relay
	dir     string
	note    string

	mu   sync.Mutex
	sent []*sent
	seq  int
}

func newBench(ctx context.Context, cfg Config, proof Proof, dir string) (*bench, error) {
	b := &bench{
		dir:    dir,
		relays: map[string]*relayer.Relay{},
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		account: demonstrator.Account{
			Name: "ward-office", Credential: verifier.GenerateCredential(), Weight: 1, Rate: accountRate,
		},
	}
	fleet := starter.Config{
		Bin: cfg.Bin, Dir: dir, Entries: proof.Entries, Zones: zones, Pools: pools(),
		Settings: map[string]any{"addressTtlMillis": addressTTL.Milliseconds(), "drainMillis": drainGrace.Milliseconds()},
	}
	if proof.ConfigureFleet != nil {
		proof.ConfigureFleet(b, &fleet)
	}
	var err error
	if b.fleet, err = starter.Start(ctx, fleet); err != nil {
		return nil, err
	}
	if err := b.prepare(ctx); err != nil {
		return nil, errors.Join(err, b.close())
	}
	return b, nil
}

// prepare waits until the fleet is ready, publishes the configuration and creates the client.
func (b *bench) prepare(ctx context.Context) error {
	if err := b.fleet.AwaitReady(ctx, readyTimeout); err != nil {
		return err
	}
	if err := demonstrator.Publish(ctx, b.fleet, []demonstrator.Account{b.account}); err != nil {
		return err
	}
	var addresses []string
	for _, entry := range b.fleet.Entries() {
		addresses = append(addresses, entry.CallerAddress)
	}
	b.client = caller.New(caller.Config{Account: b.account.Name, Credential: b.account.Credential, Entries: addresses, HTTP: b.http})
	return nil
}

// pools returns the pools of the demo with fewer endpoints. The endpoints ignore fences, so that a fence cannot keep a
// repeated execution out of the ledgers.
func pools() []starter.Pool {
	list := demonstrator.Pools()
	for i := range list {
		list[i].Endpoints = 3
		list[i].Args = append(list[i].Args, "--ignore-fence")
	}
	return list
}

func (b *bench) close() error {
	err := b.fleet.Stop()
	for _, relay := range b.relays {
		err = errors.Join(err, relay.Close())
	}
	b.http.CloseIdleConnections()
	return err
}

// addNote appends a formatted text to the proof's note.
func (b *bench) addNote(format string, args ...any) {
	if b.note != "" {
		b.note += "; "
	}
	b.note += fmt.Sprintf(format, args...)
}

func (b *bench) entry(i int) *starter.Entry { return b.fleet.Entries()[i] }

func (b *bench) operator(i int) (*operatorserver.Client, error) { return b.fleet.Operator(b.entry(i)) }

// status requests the status of the system from an entry. It returns nil if the entry does not respond in time.
func (b *bench) status(ctx context.Context, i int) *operatorserver.Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	client, err := b.operator(i)
	if err != nil {
		return nil
	}
	status, err := client.GetStatus(ctx)
	if err != nil {
		return nil
	}
	return status
}

const (
	statusTimeout = 2 * time.Second
	pollInterval  = 5 * time.Millisecond
)

// TimeoutError reports that a condition was not met in time.
type TimeoutError struct{ What string }

func (e *TimeoutError) Error() string { return "not in time: " + e.What }

// ViolationError reports a broken promise.
type ViolationError struct{ What string }

func (e *ViolationError) Error() string { return e.What }

func violated(format string, args ...any) error {
	return &ViolationError{What: fmt.Sprintf(format, args...)}
}

// await polls until the condition holds and returns the elapsed time. It returns a TimeoutError if the condition does not
// hold in time.
func await(what string, timeout time.Duration, holds func() bool) (time.Duration, error) {
	start := time.Now()
	for !holds() {
		if time.Since(start) > timeout {
			return timeout, &TimeoutError{What: what}
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start), nil
}

// restart starts an entry's process again and waits until it is ready.
func (b *bench) restart(ctx context.Context, i int) error {
	if err := b.fleet.StartEntry(b.entry(i)); err != nil {
		return err
	}
	_, err := await(b.entry(i).Name()+" serves", readyTimeout, func() bool {
		status := b.status(ctx, i)
		return status != nil && status.Ready
	})
	return err
}

// logRelay returns a fleet option that puts a relay between the named entry and the log.
func logRelay(name string) func(*bench, *starter.Config) {
	return func(b *bench, cfg *starter.Config) {
		cfg.EntrySettings = func(fleet *starter.Fleet, entry *starter.Entry) (map[string]any, error) {
			if entry.Name() != name {
				return nil, nil
			}
			address, err := b.relay(name, fleet.LogAddress())
			return map[string]any{"logUrl": "http://" + address}, err
		}
	}
}

// peerRelay returns a fleet option that puts a relay in front of the named entry's peer address. The first entry is the
// other entries' only seed, so that none of them learns the address behind the relay.
func peerRelay(name string) func(*bench, *starter.Config) {
	return func(b *bench, cfg *starter.Config) {
		cfg.EntrySettings = func(fleet *starter.Fleet, entry *starter.Entry) (map[string]any, error) {
			settings := map[string]any{"seedPeers": []string{fleet.Entries()[0].PeerAddress}}
			if entry.Name() != name {
				return settings, nil
			}
			address, err := b.relay(name, entry.PeerAddress)
			settings["advertisedPeerAddress"] = address
			return settings, err
		}
	}
}

func (b *bench) relay(name, target string) (string, error) {
	relay, err := relayer.New(target)
	if err != nil {
		return "", err
	}
	b.relays[name] = relay
	return relay.Address(), nil
}

func (b *bench) logFile(i int) string { return filepath.Join(b.dir, b.entry(i).Name()+".log") }
