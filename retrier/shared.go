package retrier

import "time"

// Parts of the total that a Shared plans with.
const (
	// evenPart is what each entry may use of its even share whatever the others do. The rest of what is planned with is
	// lent to whoever needs it.
	evenPart = 0.6
	// risingPart is the part of the requests in the present window that counts while load rises. If they cease, three
	// quarters of them are still in one of the windows by which the limit is computed.
	risingPart = 0.75
	// stalePart is not planned with: requests may have ceased since they were reported, and entries that restart at once
	// have forgotten what they used.
	stalePart = 0.14
	// restartedPart is the part of the entries whose retries may be forgotten, as they restarted within a window. One
	// entry at least may restart.
	restartedPart = 0.05
	// borrowersPart is the part of the loan for entries that have used their own shares up and are known to have. The
	// rest is for all entries alike, as all may need it at once.
	borrowersPart = 0.1
	// deferrablePart is the part of the loan that is open to retries of deferrable requests.
	deferrablePart = 0.75
	// hedgePart is the part of the limit that must be left for a hedge.
	hedgePart = 0.5
)

const (
	// bucketsPerWindow is the resolution of the counts.
	bucketsPerWindow = 40
	// keptBuckets covers the window, the one before it and the current bucket.
	keptBuckets = 2*bucketsPerWindow + 1
	// maxReportAge is how long a peer's report is valid. An older one counts as if the peer had used its even share.
	maxReportAge = 1250 * time.Millisecond
	// maxReportGap is the silence after which a peer lends nothing for a window: it may have lent to others meanwhile.
	maxReportGap = 2 * time.Second
	// loanInterval is the time in which an entry may borrow one part of the loan. Within it, all entries have
	// seen what was borrowed in its first half, or consider the borrower silent.
	loanInterval = 2 * maxReportAge
	// entriesMemory is how long the largest number of live entries applies. A partition that lasts longer than it makes
	// each side plan with the whole slack.
	entriesMemory = time.Minute
	// defaultWindow applies if SharedConfig.Window is not set.
	defaultWindow = 10 * time.Second
)

// SharedConfig configures a Shared.
type SharedConfig struct {
	// Ratio and Slack limit the retries for a service in any Window, over all entries: Ratio times the requests for it,
	// plus Slack.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// MinEntries divides the slack until as many entries are known.
	MinEntries int
	// MaxReporting is the largest number of entries that all report to each other. With more, nothing is lent, and each
	// entry may use all of its even share.
	MaxReporting int
	// Restarted is set if an earlier process of the entry may have used the budget. Within its first window the entry then
	// has its part of the slack, little of the ratio, and what peers lend that know their use.
	Restarted bool
}

// Use is what one entry has used of the budget of one service.
type Use struct {
	// Requests is the number of requests that the entry's even share is computed from, Retries the number of its
	// retries within the window.
	Requests int
	Retries  int
}

// Need is how much a caller depends on a retry.
type Need uint8

const (
	// Deferrable is a request that has not run and isn't urgent: its caller can be told to send it again.
	Deferrable Need = iota
	// Pressing is an urgent request, or one that would be lost.
	Pressing
)

// Allowance is what an entry may use of the budget of a service.
type Allowance struct {
	// Limit is the number of retries within the window, Left how many of them are left.
	Limit float64
	Left  float64
}

// Shared is one entry's view of the retry budgets that all entries share. It answers failures that come at once, as
// when a part of the endpoints ends: all requests in flight there need a retry in the same moment, and chance gives
// some entries several times as many of them as others.
type Shared struct {
	cfg       SharedConfig
	bucket    time.Duration
	startTime time.Time
	services  map[string]*counts
	peers     map[string]*peerUse
	entries   peak
}

// peerUse is the newest report of a peer.
type peerUse struct {
	at time.Time
	// since is when the first of its reports that arrived without a gap did.
	since time.Time
	uses  map[string]Use
}

// NewShared returns the view of an entry that has just started.
func NewShared(cfg SharedConfig, now time.Time) *Shared {
	if cfg.Window <= 0 {
		cfg.Window = defaultWindow
	}
	return &Shared{
		cfg:       cfg,
		bucket:    cfg.Window / bucketsPerWindow,
		startTime: now,
		services:  make(map[string]*counts),
		peers:     make(map[string]*peerUse),
	}
}

// SetEntries sets the number of live entries, including this one. The largest recent number divides the slack, as
// entries that are not heard may be on the far side of a network partition.
func (s *Shared) SetEntries(live int, now time.Time) {
	s.entries.add(live, s.index(now, entriesMemory))
}

// RecordRequest records the first attempt of a request.
func (s *Shared) RecordRequest(service string, now time.Time) {
	s.counts(service, now).current().requests++
}

// TakeRetry takes one retry from the service's budget, and reports whether it is allowed.
func (s *Shared) TakeRetry(service string, need Need, now time.Time) bool {
	c := s.counts(service, now)
	even, loan := s.limits(service, c, now)
	if need == Deferrable {
		loan *= deferrablePart
	}
	used := float64(c.retries())
	if used+1 > even+loan {
		return false
	}
	b := c.current()
	b.retries++
	if used+1 > even {
		b.borrowed++
	}
	return true
}

// AllowsHedge reports whether a request may be given up at a slow endpoint and sent to another one. Half of the limit
// is kept for failed requests.
func (s *Shared) AllowsHedge(service string, now time.Time) bool {
	a := s.Allowance(service, now)
	return a.Left >= 1 && a.Left > a.Limit*hedgePart
}

// Allowance returns what this entry may use now.
func (s *Shared) Allowance(service string, now time.Time) Allowance {
	c := s.counts(service, now)
	even, loan := s.limits(service, c, now)
	return Allowance{Limit: even + loan, Left: max(0, even+loan-float64(c.retries()))}
}

// limits returns the number of retries within the window that this entry's own share allows, or that it has borrowed
// before, and how many it may borrow in addition.
func (s *Shared) limits(service string, c *counts, now time.Time) (even, loan float64) {
	n := s.entryCount(now)
	share := s.share(s.basis(c), n)
	plannedPart := plannedPart(n)
	own, whole := evenPart*share, plannedPart*share
	if s.cfg.Restarted && now.Sub(s.startTime) < s.cfg.Window {
		// All entries may have restarted at once, after they used what is planned with.
		own = evenPart*s.cfg.Slack/float64(n) + (1-plannedPart)/2*s.cfg.Ratio*float64(s.basis(c))
		whole = own
	}
	if n > s.cfg.MaxReporting {
		return whole, 0
	}
	retries := c.retries()
	recent, borrowed := c.recent(int(loanInterval / s.bucket))
	even = max(own, float64(retries-borrowed))
	unused := plannedPart*share - even
	borrows, borrowers := usedUp(retries-recent, share), 1
	for _, p := range s.peers {
		u := p.uses[service]
		share := s.share(u.Requests, n)
		if p.lends(s.cfg.Window, now) {
			unused += plannedPart*share - max(evenPart*share, float64(u.Retries))
			if usedUp(u.Retries, share) {
				borrowers++
			}
		} else {
			unused -= max(0, float64(u.Retries)-plannedPart*share)
		}
	}
	loan = max(0, unused) * (1 - borrowersPart) / float64(n)
	if borrows {
		loan += max(0, unused) * borrowersPart / float64(borrowers)
	}
	return even, loan
}

// usedUp reports whether an entry that has made the given number of retries can make no more of its own share.
func usedUp(retries int, share float64) bool {
	return retries > 0 && float64(retries+1) > evenPart*share
}

// plannedPart returns the part of the total that all entries together may use.
func plannedPart(entries int) float64 {
	return 1 - stalePart - evenPart*max(restartedPart, 1/float64(entries))
}

// share returns an entry's even share of the whole budget.
func (s *Shared) share(requests, entries int) float64 {
	return s.cfg.Ratio*float64(requests) + s.cfg.Slack/float64(entries)
}

// entryCount returns the number of entries that share the slack.
func (s *Shared) entryCount(now time.Time) int {
	return max(s.cfg.MinEntries, s.entries.largest(s.index(now, entriesMemory)), len(s.peers)+1)
}

// basis returns the number of requests that this entry's share is computed from. Each window that a retry made now is
// counted in has another one before it that ended within the last window; the least of these is safe whatever follows.
// When load rises it is far below what arrives now, of which a part is safe as well.
func (s *Shared) basis(c *counts) int {
	return max(c.leastRequests(), int(risingPart*float64(c.requests(0))))
}

// Uses returns what this entry reports to its peers.
func (s *Shared) Uses(now time.Time) map[string]Use {
	if s.entryCount(now) > s.cfg.MaxReporting {
		return nil
	}
	uses := make(map[string]Use, len(s.services))
	for service := range s.services {
		c := s.counts(service, now)
		if u := (Use{Requests: s.basis(c), Retries: c.retries()}); u != (Use{}) {
			uses[service] = u
		}
	}
	return uses
}

// SetPeerUses replaces the reported use of a peer.
func (s *Shared) SetPeerUses(peer string, uses map[string]Use, now time.Time) {
	p, known := s.peers[peer]
	if !known || now.Sub(p.at) > maxReportGap {
		p = &peerUse{since: now}
		s.peers[peer] = p
	}
	p.at, p.uses = now, uses
}

// Expire discards counts and reports whose retries have left the window.
func (s *Shared) Expire(now time.Time) {
	for peer, p := range s.peers {
		if now.Sub(p.at) > s.cfg.Window {
			delete(s.peers, peer)
		}
	}
	for service, c := range s.services {
		if c.advance(s.index(now, s.bucket)); c.empty() {
			delete(s.services, service)
		}
	}
}

// Services returns the services with recent requests.
func (s *Shared) Services() []string {
	list := make([]string, 0, len(s.services))
	for service := range s.services {
		list = append(list, service)
	}
	return list
}

// counts returns the counts of a service, brought up to now.
func (s *Shared) counts(service string, now time.Time) *counts {
	c, known := s.services[service]
	if !known {
		c = &counts{newest: s.index(now, s.bucket)}
		s.services[service] = c
	}
	c.advance(s.index(now, s.bucket))
	return c
}

// index returns the number of the period of the given length, counted from the start, that now falls in.
func (s *Shared) index(now time.Time, period time.Duration) int64 {
	return max(0, int64(now.Sub(s.startTime)/period))
}

// lends reports whether the peer's report is recent and this entry has known its use for a whole window.
func (p *peerUse) lends(window time.Duration, now time.Time) bool {
	return now.Sub(p.at) <= maxReportAge && now.Sub(p.since) >= window
}

// bucket holds the counts of a part of a window.
type bucket struct {
	requests int
	retries  int
	// borrowed is the part of retries beyond the entry's own share.
	borrowed int
}

// counts is a ring of the newest buckets of a service.
type counts struct {
	newest  int64
	buckets [keptBuckets]bucket
}

// advance clears the buckets that begin up to the given one.
func (c *counts) advance(to int64) {
	if to-c.newest >= keptBuckets {
		*c = counts{newest: to}
		return
	}
	for c.newest < to {
		c.newest++
		*c.at(0) = bucket{}
	}
}

// at returns the bucket of the given age, in buckets.
func (c *counts) at(age int) *bucket {
	return &c.buckets[(c.newest-int64(age)+keptBuckets)%keptBuckets]
}

func (c *counts) current() *bucket { return c.at(0) }

// retries counts at least those of the last window.
func (c *counts) retries() (n int) {
	for age := range bucketsPerWindow + 1 {
		n += c.at(age).retries
	}
	return n
}

// recent counts the retries in the given number of buckets at least, and the borrowed ones of them.
func (c *counts) recent(buckets int) (retries, borrowed int) {
	for age := range min(buckets+1, bucketsPerWindow) + 1 {
		retries += c.at(age).retries
		borrowed += c.at(age).borrowed
	}
	return retries, borrowed
}

// requests counts the requests in the window that ended the given number of buckets ago, or less of them.
func (c *counts) requests(end int) (n int) {
	for age := range bucketsPerWindow {
		n += c.at(end + age).requests
	}
	return n
}

// leastRequests returns the least number of requests in any window that ended within the last one.
func (c *counts) leastRequests() int {
	sum := c.requests(0)
	least := sum
	for end := 1; end <= bucketsPerWindow; end++ {
		sum += c.at(end+bucketsPerWindow-1).requests - c.at(end-1).requests
		least = min(least, sum)
	}
	return least
}

func (c *counts) empty() bool { return c.buckets == [keptBuckets]bucket{} }

// peak remembers the largest of the values in the present period and the one before it.
type peak struct {
	period  int64
	current int
	before  int
}

func (p *peak) add(value int, period int64) {
	p.advance(period)
	p.current = max(p.current, value)
}

func (p *peak) largest(period int64) int {
	p.advance(period)
	return max(p.current, p.before)
}

func (p *peak) advance(to int64) {
	switch to - p.period {
	case 0:
	case 1:
		*p = peak{period: to, before: p.current}
	default:
		*p = peak{period: to}
	}
}
