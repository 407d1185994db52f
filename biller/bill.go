// Package biller accumulates the work that each client account caused, by stage and with
// wasted work separate, and the outcomes of its requests. Totals never decrease, so merging
// the bills of several entries counts everything exactly once, no matter how often and in
// which order they arrive.
package biller

// Outcome is the outcome of a request.
type Outcome uint8

// The outcomes of a request.
const (
	AnsweredInTime Outcome = iota
	AnsweredLate
	NotRun
	Unknown
)

// Counts holds the number of requests by outcome.
type Counts struct {
	InTime  uint64 `json:"inTime"`
	Late    uint64 `json:"late"`
	NotRun  uint64 `json:"notRun"`
	Unknown uint64 `json:"unknown"`
}

// Attainment returns the fraction of requests that were answered in time, or 1 if there were none.
func (c Counts) Attainment() float64 {
	total := c.Sum()
	if total == 0 {
		return 1
	}
	return float64(c.InTime) / float64(total)
}

// Sum returns the number of requests with any outcome.
func (c Counts) Sum() uint64 {
	return c.InTime + c.Late + c.NotRun + c.Unknown
}

func (c *Counts) add(other Counts) {
	c.InTime += other.InTime
	c.Late += other.Late
	c.NotRun += other.NotRun
	c.Unknown += other.Unknown
}

// raiseTo raises each count to that of other if it is greater.
func (c *Counts) raiseTo(other Counts) {
	c.InTime = max(c.InTime, other.InTime)
	c.Late = max(c.Late, other.Late)
	c.NotRun = max(c.NotRun, other.NotRun)
	c.Unknown = max(c.Unknown, other.Unknown)
}

func (c *Counts) count(o Outcome) {
	switch o {
	case AnsweredInTime:
		c.InTime++
	case AnsweredLate:
		c.Late++
	case NotRun:
		c.NotRun++
	default:
		c.Unknown++
	}
}

// StageCost holds the work of one stage in endpoint milliseconds. Cost does not include Wasted.
type StageCost struct {
	Stage  string  `json:"stage"`
	Cost   float64 `json:"cost"`
	Wasted float64 `json:"wasted"`
}

// Bill holds the running totals of one account.
type Bill struct {
	Account string      `json:"account"`
	Urgent  Counts      `json:"urgent"`
	Normal  Counts      `json:"normal"`
	Relaxed Counts      `json:"relaxed"`
	Stages  []StageCost `json:"stages"`
}

// Counts returns the counts summed over all urgency classes.
func (b Bill) Counts() Counts {
	var all Counts
	all.add(b.Urgent)
	all.add(b.Normal)
	all.add(b.Relaxed)
	return all
}
