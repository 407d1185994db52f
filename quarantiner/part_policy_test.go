package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/quarantiner"
)

const (
	poolSize = 9
	// knowledgeDelay is how long a crash takes to be known, and firstEventTime the mean time to a first event.
	knowledgeDelay = 200 * time.Millisecond
	firstEventTime = 250 * time.Millisecond
	modelStep      = 10 * time.Millisecond
)

// partModel is a pool of endpoints that serves requests with a part that nearly all share, one of many rare parts and, in
// some, a part that crashes endpoints. Endpoints also crash by chance, several at once.
type partModel struct {
	parts *quarantiner.Parts
	rnd   *rand.Rand
	now   time.Time
	// running holds the requests without an answer by endpoint; processes counts the starts of each endpoint.
	running   [poolSize][]modelRequest
	processes [poolSize]int
	downUntil [poolSize]time.Time
	reports   []modelReport
	trials    uint64

	crashedByPart, sound, soundRefused int
}

type modelRequest struct {
	parts    []quarantiner.Part
	begins   time.Time
	crashing bool
}

type modelReport struct {
	at      time.Time
	broke   time.Time
	process quarantiner.Process
	parts   []quarantiner.Part
}

func (m *partModel) poisson(perSecond float64) bool {
	return m.rnd.Float64() < perSecond*modelStep.Seconds()
}

func (m *partModel) arrive(crashingRequest bool) {
	r := modelRequest{crashing: crashingRequest, parts: []quarantiner.Part{shared}}
	if crashingRequest {
		r.parts = append(r.parts, crashing)
	} else {
		r.parts = append(r.parts, quarantiner.Part(100+m.rnd.IntN(200)))
		m.sound++
	}
	trial := false
	switch v := m.parts.Verdict(r.parts, m.now).(type) {
	case quarantiner.SendFreely:
	case quarantiner.SendAsTrial:
		m.trials++
		trial = m.parts.TakeTrial(r.parts, m.trials, m.now)
	case quarantiner.Refuse:
		m.parts.RecordRefusal(v.Part, m.now)
	}
	if _, free := m.parts.Verdict(r.parts, m.now).(quarantiner.SendFreely); !free && !trial {
		if !crashingRequest {
			m.soundRefused++
		}
		return
	}
	r.begins = m.now.Add(time.Duration((0.5 + m.rnd.Float64()) * float64(firstEventTime)))
	i := m.rnd.IntN(poolSize)
	for m.now.Before(m.downUntil[i]) {
		i = m.rnd.IntN(poolSize)
	}
	m.running[i] = append(m.running[i], r)
}

func (m *partModel) crash(i int) {
	process := quarantiner.Process(1000*i + m.processes[i])
	for _, r := range m.running[i] {
		m.reports = append(m.reports, modelReport{at: m.now.Add(knowledgeDelay), broke: m.now, process: process, parts: r.parts})
	}
	m.running[i] = nil
	m.processes[i]++
	m.downUntil[i] = m.now.Add(3 * time.Second)
}

func (m *partModel) step() {
	m.now = m.now.Add(modelStep)
	m.reports = slices.DeleteFunc(m.reports, func(r modelReport) bool {
		if r.at.After(m.now) {
			return false
		}
		m.parts.RecordCrash(r.parts, r.process, r.broke)
		return true
	})
	for i := range m.running {
		for j := 0; j < len(m.running[i]); j++ {
			r := m.running[i][j]
			switch {
			case r.begins.After(m.now):
			case r.crashing:
				m.crashedByPart++
				m.crash(i)
			default:
				m.parts.RecordAnswer(r.parts, m.now)
				m.running[i] = slices.Delete(m.running[i], j, j+1)
				j--
			}
		}
	}
}

// play plays two minutes, in which requests with the crashing part come once a second or not at all.
func (m *partModel) play(crashingPerSecond, soundPerSecond float64) {
	for range int(2 * time.Minute / modelStep) {
		if m.poisson(crashingPerSecond) {
			m.arrive(true)
		}
		if m.poisson(soundPerSecond) {
			m.arrive(false)
		}
		if m.poisson(0.05) {
			for _, i := range m.rnd.Perm(poolSize)[:3] {
				m.crash(i)
			}
		}
		m.step()
	}
}

// Guards against parts that crash many endpoints before they are quarantined, and against sound parts that are quarantined for
// long after crashes by chance.
func TestPolicyCrashingPart(t *testing.T) {
	immediate := []time.Duration{0, 20 * time.Second, 10 * time.Minute}
	later := immediate[1:]
	ways := []struct {
		testName string
		cfg      quarantiner.PartsConfig
	}{
		{"twoCrashes", quarantiner.PartsConfig{Crashes: 2, TrialDelays: immediate}},
		{"threeCrashes", quarantiner.PartsConfig{}},
		{"threeCrashesLaterTrial", quarantiner.PartsConfig{Crashes: 3, TrialDelays: later}},
		{"fiveCrashes", quarantiner.PartsConfig{Crashes: 5, TrialDelays: immediate}},
		{"fiveCrashesLaterTrial", quarantiner.PartsConfig{Crashes: 5, TrialDelays: later}},
	}
	for _, load := range []struct {
		crashing, sound float64
	}{{1, 1}, {1, 10}, {0, 1}, {0, 10}, {0, 100}} {
		for _, way := range ways {
			t.Run(fmt.Sprintf("%s/crashing%v/sound%v", way.testName, load.crashing, load.sound), func(t *testing.T) {
				lost, mostLost, sound, refused := 0, 0, 0, 0
				const seeds = 20
				for seed := range uint64(seeds) {
					m := &partModel{parts: quarantiner.NewParts(way.cfg), rnd: rand.New(rand.NewPCG(seed, 1)), now: start}
					m.play(load.crashing, load.sound)
					lost += m.crashedByPart
					mostLost = max(mostLost, m.crashedByPart)
					sound += m.sound
					refused += m.soundRefused
				}
				t.Logf("endpoints lost %.1f, at most %d; sound requests refused %.2f%%", float64(lost)/seeds, mostLost, 100*float64(refused)/float64(sound))
				if way.testName == "threeCrashes" {
					require.LessOrEqual(t, mostLost, 8, "three more than the fifth crash")
					require.LessOrEqual(t, float64(refused), 0.5*float64(sound), "sound requests begin at the first attempt")
				}
			})
		}
	}
}
