// Package biller adds up the work that each client account caused, by stage, with wasted
// work apart, and how its requests ended. Totals only grow, so that merging the bills of
// several entries counts everything exactly once however often and in whatever order they
// arrive.
package biller

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	AnsweredInTime Outcome = iota
	AnsweredLate
	NotRun
	Unknown
)

// Counts are requests by outcome.
type Counts struct {
	InTime  uint64 `json:"inTime"`
	Late    uint64 `json:"late"`
	NotRun  uint64 `json:"notRun"`
	Unknown uint64 `json:"unknown"`
}

// Attainment is the part of the requests that were answered in time; 1 when there were none.
func (c Counts) Attainment() float64 {
	total := c.Sum()
	if total == 0 {
		return 1
	}
	return float64(c.InTime) / float64(total)
}

// Sum is the number of requests.
func (c Counts) Sum() uint64 {
	return c.InTime + c.Late + c.NotRun + c.Unknown
}

func (c *Counts) add(other Counts) {
	c.InTime += other.InTime
	c.Late += other.Late
	c.NotRun += other.NotRun
	c.Unknown += other.Unknown
}

// raise takes the greater of each count.
func (c *Counts) raise(other Counts) {
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

// StageCost is the work of one stage in endpoint milliseconds.
type StageCost struct {
	Stage  string  `json:"stage"`
	Cost   float64 `json:"cost"`
	Wasted float64 `json:"wasted"`
}

// Bill is one account's total.
type Bill struct {
	Account string      `json:"account"`
	Urgent  Counts      `json:"urgent"`
	Normal  Counts      `json:"normal"`
	Relaxed Counts      `json:"relaxed"`
	Stages  []StageCost `json:"stages"`
}

// Counts are the requests of all urgency classes.
func (b Bill) Counts() Counts {
	var all Counts
	all.add(b.Urgent)
	all.add(b.Normal)
	all.add(b.Relaxed)
	return all
}
