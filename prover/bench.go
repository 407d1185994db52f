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
	// addressTTL is short, so that planned stops are too.
	addressTTL = time.Second
	drainGrace = time.Second
	// accountRate is far above what the proofs send: their subject is not the limit.
	accountRate = 5000
)

// bench is one proof's fleet and what was sent to it.
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

// prepare publishes the configuration and makes the client.
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

// pools are the demo's, smaller; the ledgers must not be helped by fences.
func pools() []starter.Pool {
	all := demonstrator.Pools()
	for i := range all {
		all[i].Endpoints = 3
		all[i].Args = append(all[i].Args, "--ignore-fence")
	}
	return all
}

func (b *bench) close() error {
	err := b.fleet.Stop()
	for _, relay := range b.relays {
		err = errors.Join(err, relay.Close())
	}
	b.http.CloseIdleConnections()
	return err
}

// say adds a figure to the proof's note.
func (b *bench) say(format string, args ...any) {
	if b.note != "" {
		b.note += "; "
	}
	b.note += fmt.Sprintf(format, args...)
}

func (b *bench) entry(i int) *starter.Entry { return b.fleet.Entries()[i] }

func (b *bench) operator(i int) (*operatorserver.Client, error) { return b.fleet.Operator(b.entry(i)) }

// status asks an entry how it sees the system; nil when it does not answer in time.
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
	pollEvery     = 5 * time.Millisecond
)

// TimeoutError tells that something did not come about in time.
type TimeoutError struct{ What string }

func (e *TimeoutError) Error() string { return "not in time: " + e.What }

// ViolationError tells which promise was not kept.
type ViolationError struct{ What string }

func (e *ViolationError) Error() string { return e.What }

func violated(format string, args ...any) error {
	return &ViolationError{What: fmt.Sprintf(format, args...)}
}

// await polls until the condition holds and gives the time that it took.
func await(what string, timeout time.Duration, holds func() bool) (time.Duration, error) {
	start := time.Now()
	for !holds() {
		if time.Since(start) > timeout {
			return timeout, &TimeoutError{What: what}
		}
		time.Sleep(pollEvery)
	}
	return time.Since(start), nil
}

// restart starts an entry's process again and waits until it serves.
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

// logRelay puts a relay between an entry and the log.
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

// peerRelay puts a relay in front of an entry's peer address. The first entry is the others' only seed, so that
// nobody knows the address behind the relay.
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
