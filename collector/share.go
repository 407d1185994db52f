package collector

import "time"

const (
	// overShareDelay is what a client account's pieces yield for each time its fair share that it has had lately, and
	// maxShareDelay the most. Under a surge of one large account, its own requests become late first; the delay is
	// well under an objective, so that urgency and due time still tell.
	overShareDelay = 150 * time.Millisecond
	maxShareDelay  = 600 * time.Millisecond
)

// shares counts the pieces that calls took, by client account.
type shares struct {
	byAccount map[string]*pastRate
}

func (s *shares) add(account string, now time.Time) {
	if s.byAccount == nil {
		s.byAccount = make(map[string]*pastRate)
	}
	r, known := s.byAccount[account]
	if !known {
		r = &pastRate{}
		s.byAccount[account] = r
	}
	r.add(1, now)
}

// delays gives how far each account's pieces yield now. Accounts without work are forgotten.
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
		over := rate/(total/float64(len(rates))) - 1
		if over > 0 {
			delays[account] = min(maxShareDelay, time.Duration(over*float64(overShareDelay)))
		}
	}
	return delays
}
