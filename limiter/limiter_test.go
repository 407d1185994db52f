package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"geraniumline/carrier"
	"geraniumline/limiter"
)

const account = "wallcare"

// TestAdmitReturnsReason sends requests until the first refusal and checks its reason.
func TestAdmitReturnsReason(t *testing.T) {
	scenarios := []struct {
		testName string
		limits   *limiter.Limits
		cost     float64
		admitted int
		refused  limiter.Refused
	}{
		{"account without a contract", nil, 1, 0, limiter.Refused{Reason: limiter.ReasonUnknownAccount, RetryAfter: 5 * time.Second}},
		{"burst used up", &limiter.Limits{RatePerSecond: 1, Burst: 3}, 1, 3, limiter.Refused{Reason: limiter.ReasonRate, RetryAfter: time.Second}},
		{"slots used up", &limiter.Limits{RatePerSecond: 100, Burst: 100, Concurrency: 2}, 1, 2, limiter.Refused{Reason: limiter.ReasonConcurrency, RetryAfter: 250 * time.Millisecond}},
		{"cost used up", &limiter.Limits{RatePerSecond: 100, Burst: 100, CostPerSecond: 100}, 100, 2, limiter.Refused{Reason: limiter.ReasonCost, RetryAfter: time.Second}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			l := limiter.New(limiter.Config{})
			if s.limits != nil {
				l.SetLimits(account, *s.limits, start)
			}
			for range s.admitted {
				require.Equal(t, limiter.Admitted{}, l.Admit(account, s.cost, start))
			}
			refused, ok := l.Admit(account, s.cost, start).(limiter.Refused)
			require.True(t, ok)
			require.Equal(t, s.refused.Reason, refused.Reason)
			// Delays are rounded up to a step, each at most 1.15 times the one before.
			require.GreaterOrEqual(t, refused.RetryAfter, s.refused.RetryAfter)
			require.Less(t, refused.RetryAfter, s.refused.RetryAfter*12/10)
		})
	}
}

// TestShareOfSilentPeer checks the share of an entry while a peer with most of the demand falls
// silent.
//
// The peer is unreachable but not dead: it continues to admit requests according to its last known
// state. This entry refuses callers meanwhile, since the peer's share must not be used here, or
// both sides would use the whole limit. With time both sides converge to an even share. Only the
// knowledge that the peer has stopped frees its share at once.
func TestShareOfSilentPeer(t *testing.T) {
	l := limiter.New(limiter.Config{Entry: "a"})
	l.SetEntryCount(2, start)
	l.SetLimits(account, limiter.Limits{RatePerSecond: 100, Burst: 10}, start)
	now := start
	step := func(d time.Duration, reporting bool) float64 {
		for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
			l.Admit(account, 1, now)
			if reporting {
				l.UpdatePeerUsage("b", []carrier.AccountUse{{Account: account, Demand: 300, Rate: 75}}, now)
			}
		}
		share, _, _ := l.Share(account, now)
		return share
	}
	require.InDelta(t, 0.26, step(2*time.Second, true), 0.03, "in proportion to demand, above a floor")
	require.InDelta(t, 0.26, step(time.Second, false), 0.06, "the peer's last share is reserved")
	require.InDelta(t, 0.5, step(10*time.Second, false), 0.01, "an even share after the decay")
	l.RemovePeer("b", now)
	l.SetEntryCount(1, now)
	require.InDelta(t, 1, step(time.Second, false), 0.01, "the whole limit once the peer is removed")
}

// TestEveryAccountIsReported limits a heartbeat to fewer accounts than are active.
func TestEveryAccountIsReported(t *testing.T) {
	const accounts, bound = 10, 3
	l := limiter.New(limiter.Config{MaxReportedAccounts: bound})
	now := start
	reported := map[string]bool{}
	for range 2 * accounts {
		now = now.Add(200 * time.Millisecond)
		for i := range accounts {
			name := fmt.Sprintf("account%d", i)
			l.SetLimits(name, limiter.Limits{RatePerSecond: 100, Burst: 10}, now)
			l.Admit(name, 1, now)
		}
		uses := l.UsageReports(now)
		require.LessOrEqual(t, len(uses), bound)
		for _, use := range uses {
			reported[use.Account] = true
		}
	}
	require.Len(t, reported, accounts)
}

// TestLimitsHoldForAnySequence runs random sequences of admissions, releases, reports, silences and
// removed peers, with clocks that may stand still. It checks the entry's admissions against the
// limits and its count of requests in flight.
func TestLimitsHoldForAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := limiter.Limits{
			RatePerSecond: rapid.Float64Range(0.5, 200).Draw(t, "rate"),
			Burst:         rapid.Float64Range(1, 50).Draw(t, "burst"),
			Concurrency:   rapid.IntRange(0, 10).Draw(t, "concurrency"),
		}
		l := limiter.New(limiter.Config{})
		l.SetEntryCount(3, start)
		l.SetLimits(account, limits, start)
		now, admitted, inFlight := start, 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				if _, ok := l.Admit(account, 1, now).(limiter.Admitted); ok {
					admitted++
					inFlight++
				}
			},
			"release": func(t *rapid.T) {
				if inFlight > 0 {
					l.Release(account, 1, rapid.Float64Range(0, 10).Draw(t, "cost"), now)
					inFlight--
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "millis")) * time.Millisecond)
			},
			"peerReports": func(t *rapid.T) {
				use := carrier.AccountUse{Account: account, Demand: rapid.Float32Range(0, 500).Draw(t, "demand"), InFlight: rapid.Int32Range(0, 5).Draw(t, "inFlight")}
				l.UpdatePeerUsage(rapid.SampledFrom([]string{"b", "c"}).Draw(t, "peer"), []carrier.AccountUse{use}, now)
			},
			"peerRemoved": func(_ *rapid.T) { l.RemovePeer("b", now) },
			"report":      func(_ *rapid.T) { l.UsageReports(now) },
			"": func(t *rapid.T) {
				share, _, counted := l.Share(account, now)
				require.GreaterOrEqual(t, share, 0.0)
				require.LessOrEqual(t, share, 1.0)
				require.Equal(t, inFlight, counted)
				if limits.Concurrency > 0 {
					require.LessOrEqual(t, inFlight, limits.Concurrency)
				}
				// The entry's share of the burst and one more request, and a borrowed burst.
				allowed := 2*limits.Burst + 2 + limits.RatePerSecond*now.Sub(start).Seconds()
				require.LessOrEqual(t, float64(admitted), allowed)
			},
		})
	})
}
