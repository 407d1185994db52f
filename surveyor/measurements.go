package surveyor

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"geraniumline/carrier"
	"geraniumline/claimer"
	"geraniumline/detector"
	"geraniumline/limiter"
	"geraniumline/publisher"
	"geraniumline/recorder"
	"geraniumline/router"
)

// The names of the slopes, as docs/CAPACITY.md refers to them.
const (
	ContractBytes      = "contractBytes"
	ContractLimitBytes = "contractLimitBytes"
	ChangeMicros       = "changeMicros"
	ChangeBytes        = "changeBytes"
	EndpointBytes      = "endpointBytes"
	EndpointLoadBytes  = "endpointLoadBytes"
	ChooseMicros       = "chooseMicros"
	MemberBytes        = "memberBytes"
	HeartbeatBytes     = "heartbeatBytes"
	HeartbeatMicros    = "heartbeatMicros"
	AccountUseBytes    = "accountUseBytes"
	AccountUseMicros   = "accountUseMicros"
	ClaimBytes         = "claimBytes"
	ClaimWireBytes     = "claimWireBytes"
	ClaimMicros        = "claimMicros"
	RequestMicros      = "requestMicros"
	RequestBytes       = "requestBytes"
)

// epoch is the time at which all measurements take place.
var epoch = time.Unix(1_800_000_000, 0)

func measurements() []measurement {
	accounts := []int{2000, 5000, 10_000, 20_000}
	endpoints := []int{100, 1000, 5000, 10_000}
	members := []int{3, 7, 20, 50, 200}
	counts := []int{2000, 5000, 10_000, 20_000}
	return []measurement{
		{ContractBytes, "bytes", "contract in force", accounts, func(n int) float64 {
			return heap(func() any { return foldOf(n) })
		}},
		{ContractLimitBytes, "bytes", "account with a limit in use", accounts, func(n int) float64 {
			return heap(func() any { return limiterOf(n) })
		}},
		{ChangeMicros, "microseconds", "change folded", counts, foldMicros},
		{ChangeBytes, "bytes", "change on the wire", counts, func(n int) float64 {
			return float64(n * len(contractRecord(1).Data))
		}},
		{EndpointBytes, "bytes", "endpoint", endpoints, func(n int) float64 {
			return heap(func() any { return routerOf(n) })
		}},
		{EndpointLoadBytes, "bytes", "endpoint in a heartbeat", endpoints, func(n int) float64 {
			return wireSize(&carrier.Heartbeat{Endpoints: endpointLoads(n)})
		}},
		{ChooseMicros, "microseconds", "endpoint known, for each choice", endpoints, chooseMicros},
		{MemberBytes, "bytes", "entry known", members, func(n int) float64 {
			return heap(func() any { return detectorOf(n) })
		}},
		{HeartbeatBytes, "bytes", "entry in a heartbeat", members, func(n int) float64 {
			return wireSize(steadyHeartbeat(n))
		}},
		{HeartbeatMicros, "microseconds", "entry in a heartbeat taken", members, heartbeatMicros},
		{AccountUseBytes, "bytes", "account in a heartbeat", accounts, func(n int) float64 {
			return wireSize(&carrier.Heartbeat{Accounts: accountUses(n)})
		}},
		{AccountUseMicros, "microseconds", "account in a heartbeat taken", accounts, usesMicros},
		{ClaimBytes, "bytes", "key remembered", counts, func(n int) float64 {
			return heap(func() any { return tableOf(n) })
		}},
		{ClaimWireBytes, "bytes", "claim in the log", counts, func(n int) float64 {
			size := 0
			for _, record := range claimRecords(n) {
				size += len(record.Data)
			}
			return float64(size)
		}},
		{ClaimMicros, "microseconds", "claim read", counts, claimMicros},
		{RequestMicros, "microseconds", "request of 4 stages through the core", counts, requestMicros},
		{RequestBytes, "bytes", "request in flight in the core", counts, func(n int) float64 {
			return heap(func() any { return coreWith(n) })
		}},
	}
}

func account(i int) string { return fmt.Sprintf("account-%06d", i) }

func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255) }

func credentialOf(i int) string { return fmt.Sprintf("%064x", i) }

func contractRecord(i int) recorder.Record {
	body, err := json.Marshal(publisher.Contract{
		Account: account(i), CredentialSha256: credentialOf(i), Weight: 1, RatePerSecond: 10, Burst: 20, Concurrency: 10,
		CostPerSecond: 1000, Urgency: publisher.Normal, Pipelines: []string{pipelineName},
	})
	return changeRecord(int64(i), publisher.KindContract, account(i), body, err)
}

func changeRecord(offset int64, kind, name string, body []byte, err error) recorder.Record {
	if err != nil {
		panic(err) // the objects are this package's own
	}
	data, err := publisher.EncodeChange(publisher.Change{
		OperationID: fmt.Sprintf("operation-%d", offset), Operator: "operator", Kind: kind, Name: name, Body: body,
	})
	if err != nil {
		panic(err)
	}
	return recorder.Record{Offset: offset, AtMillis: epoch.UnixMilli(), Data: data}
}

func foldOf(contracts int) *publisher.Fold {
	fold := publisher.New(publisher.Config{})
	for _, record := range configuration(contracts) {
		fold.Apply(record)
	}
	return fold
}

func foldMicros(n int) float64 {
	records := configuration(n)
	fold := publisher.New(publisher.Config{})
	return micros(func() {
		for _, record := range records {
			fold.Apply(record)
		}
	})
}

func limiterOf(accounts int) *limiter.Limiter {
	l := limiter.New(limiter.Config{Entry: "entry-1"})
	for i := range accounts {
		l.SetLimits(account(i), limiter.Limits{RatePerSecond: 10, Burst: 20, Concurrency: 10, CostPerSecond: 1000}, epoch)
		l.Admit(account(i), 1, epoch)
	}
	return l
}

func vmsOf(n int) []router.VM {
	vms := make([]router.VM, n)
	for i := range vms {
		vms[i] = router.VM{Address: address(i), Zone: "zone-a", Pool: fmt.Sprintf("pool-%d", i%34)}
	}
	return vms
}

func routerOf(endpoints int) *router.Router {
	r := router.New(router.Config{Rand: rand.New(rand.NewPCG(1, 1))})
	r.List(vmsOf(endpoints), epoch)
	return r
}

func chooseMicros(n int) float64 {
	const choices = 20_000
	r := routerOf(n)
	return micros(func() {
		for i := range choices {
			r.Choose(router.Ask{Pool: "pool-0", Prefix: router.PrefixOf(account(i))}, epoch)
		}
	}) / choices
}

func endpointLoads(n int) []carrier.EndpointLoad {
	loads := make([]carrier.EndpointLoad, n)
	for i := range loads {
		loads[i] = carrier.EndpointLoad{Address: address(i), InFlight: 3}
	}
	return loads
}

func member(i int) carrier.Member {
	return carrier.Member{Name: fmt.Sprintf("entry-%04d", i), Zone: "zone-a", CallerAddress: address(i), PeerAddress: address(i + 1<<15), Incarnation: 1_800_000_000_000_000, State: uint8(detector.Live)}
}

func detectorOf(members int) *detector.Detector {
	d := detector.New(detector.Config{Self: member(0), SuspectAfter: time.Second, DeadAfter: 3 * time.Second, ForgetAfter: time.Minute})
	for i := 1; i < members; i++ {
		from := member(i)
		from.Sequence = steadySequence
		d.Receive(&carrier.Heartbeat{From: from, Sequence: steadySequence}, epoch)
	}
	return d
}

// steadySequence is a member's sequence after some hours, steadyAge the age of its news: small numbers would take
// fewer bytes on the wire than those of a running system.
const (
	steadySequence = 100_000
	steadyAge      = 400 * time.Millisecond
)

// introducing is how many heartbeats name new members in full, after which they have a short form.
const introducing = 8

// steadyHeartbeat is the heartbeat of an entry that its peers know already.
func steadyHeartbeat(members int) *carrier.Heartbeat {
	d := detectorOf(members)
	for range introducing {
		d.Heartbeat(epoch)
	}
	return d.Heartbeat(epoch.Add(steadyAge))
}

func heartbeatMicros(n int) float64 {
	const beats = 500
	d := detectorOf(n)
	heartbeat := steadyHeartbeat(n)
	heartbeat.From = member(1)
	return micros(func() {
		for i := range beats {
			heartbeat.Sequence = uint64(i + steadySequence + 1)
			heartbeat.From.Sequence = heartbeat.Sequence
			d.Receive(heartbeat, epoch)
		}
	}) / beats
}

func accountUses(n int) []carrier.AccountUse {
	uses := make([]carrier.AccountUse, n)
	for i := range uses {
		uses[i] = carrier.AccountUse{Account: account(i), Rate: 3, Demand: 4, CostRate: 100, InFlight: 2, Backlog: 1}
	}
	return uses
}

func usesMicros(n int) float64 {
	const beats = 20
	l := limiterOf(n)
	l.SetPeers(7, epoch)
	uses := accountUses(n)
	return micros(func() {
		for i := range beats {
			l.PeerUses("entry-2", uses, epoch.Add(time.Duration(i)*time.Millisecond))
		}
	}) / beats
}

// claimsInBatch is how many claims one append groups at the rate that today's window gives.
const claimsInBatch = 12

func claimRecords(n int) []recorder.Record {
	var records []recorder.Record
	id := uint64(0)
	for done := 0; done < n; done += claimsInBatch {
		batch := claimer.Batch{Entry: "entry-2", Incarnation: 1, BatchID: uint64(done + 1)}
		for i := done; i < min(done+claimsInBatch, n); i++ {
			id++
			batch.Records = append(batch.Records, claimer.Claim{Key: claimer.Key{Account: account(i % 1000), Key: keyOf(i)}, ClaimID: id})
		}
		data, err := claimer.Encode(batch)
		if err != nil {
			panic(err)
		}
		records = append(records, recorder.Record{Offset: int64(len(records) + 1), AtMillis: epoch.UnixMilli(), Data: data})
	}
	return records
}

// keyOf gives a UUIDv7 of the measurements' time.
func keyOf(i int) string {
	var key uuid.UUID
	millis := epoch.UnixMilli()
	for b := range 6 {
		key[b] = byte(millis >> (40 - 8*b))
	}
	key[6] = 0x70
	key[8] = 0x80
	for b := range 4 {
		key[12+b] = byte(i >> (24 - 8*b))
	}
	return key.String()
}

func tableOf(claims int) *claimer.Table {
	table := claimer.New(claimer.Config{Entry: "entry-1", Incarnation: 1, Horizon: time.Hour})
	for _, record := range claimRecords(claims) {
		table.Apply(record)
	}
	return table
}

func claimMicros(n int) float64 {
	records := claimRecords(n)
	table := claimer.New(claimer.Config{Entry: "entry-1", Incarnation: 1, Horizon: time.Hour})
	return micros(func() {
		for _, record := range records {
			table.Apply(record)
		}
	})
}

func wireSize(message carrier.Message) float64 {
	data, err := message.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

// micros times work with the real clock: these are measurements, nothing decides by them.
func micros(work func()) float64 {
	start := time.Now()
	work()
	return float64(time.Since(start).Nanoseconds()) / 1000
}
