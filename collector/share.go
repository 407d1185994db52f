package collector

import "time"

const (
	// delayPerExcessShare is the delay of a client account's pieces for each fair share that it recently used beyond its
	// own; maxShareDelay limits it. In a surge of one large account, that account's requests become late first. The delay
	// is well below an objective, so that priority and due time still matter.
	delayPerExcessShare = 150 * time.Millisecond
	maxShareDelay       = 600 * time.Millisecond
)

// shares measures the rate of pieces added to calls, by client account.
type shares struct {
	byAccount map[string]*recentRate
}

func (s *shares) add(account string, now time.Time) {
	if s.byAccount == nil {
		s.byAccount = make(map[string]*recentRate)
	}
	r, known := s.byAccount[account]
	if !known {
		r = &recentRate{}
		s.byAccount[account] = r
	}
	r.add(1, now)
}

// delays returns the current delay of each account's pieces. Accounts without recent work are removed.
func (s *shares) delays(now time.Time) map[string]time.Duration {
	total := 0.0
	rates := make(map[string]float64, len(s.byAccount))
	for account, r := range s.byAccount {
		rate := r.perSecond(now)
		if rate == 0 {
			delete(s.byAccount, account)
			continue
		}
		rates[account] = rate
		total += rate
	}
	delays := make(map[string]time.Duration, len(rates))
	for account, rate := range rates {
		excess := rate/(total/float64(len(rates))) - 1
		if excess > 0 {
			delays[account] = min(maxShareDelay, time.Duration(excess*float64(delayPerExcessShare)))
		}
	}
	return delays
}
