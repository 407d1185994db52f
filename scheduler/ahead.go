package scheduler

const (
	// minimumWeight keeps divisions by a weight finite.
	minimumWeight = 1e-9
	// maxExactFlows is the number of active flows up to which their backlogs are examined one by
	// one. With more flows, each backlog is assumed to outlast the wait of the new item.
	maxExactFlows = 32
)

// WorkAhead is the work that a pool serves before a new item, in endpoint milliseconds.
type WorkAhead struct {
	// Current covers the accounts that have work waiting or announced now.
	Current float64
	// WorstCase covers the weights that are usually active, as if all of them used their full
	// shares now.
	WorstCase float64
}

// WorkAhead estimates the work that the pool serves before a new item: the account's own work in
// the class, waiting or announced, the work of other accounts that is served meanwhile according to
// their weights, and all more urgent work.
func (s *Scheduler) WorkAhead(poolName string, item Item) WorkAhead {
	p, ok := s.pools[poolName]
	if !ok {
		return WorkAhead{}
	}
	urgency := min(item.Urgency, Relaxed)
	urgent := 0.0
	for i := range urgency {
		urgent += p.classes[i].cost + p.classes[i].announced
	}
	fraction := p.classFraction(urgency)
	var own *flow
	if a, ok := p.accounts[item.Account]; ok {
		own = a.flows[urgency]
	}
	ahead := p.classes[urgency].workAhead(own, max(item.Weight, minimumWeight))
	return WorkAhead{Current: max(urgent, 0) + ahead.Current/fraction, WorstCase: max(urgent, 0) + ahead.WorstCase/fraction}
}

// classFraction returns the fraction of the pool's work that the class can rely on. The recent
// fractions of more urgent classes are subtracted, since as much of their work is expected to come,
// and so are the guarantees of less urgent classes with waiting items.
func (p *pool) classFraction(urgency Urgency) float64 {
	fraction := 1.0
	for i := range p.classes {
		switch {
		case Urgency(i) < urgency:
			fraction -= fractionOf(p.servedWork[i], p.servedSum())
		case Urgency(i) > urgency && p.classes[i].flows.len() > 0:
			fraction -= p.guarantees[i]
		}
	}
	return max(fraction, p.guarantees[urgency], minClassFraction)
}

// minClassFraction keeps divisions by a class's fraction finite.
const minClassFraction = 0.01

func (p *pool) servedSum() float64 {
	total := 0.0
	for _, served := range p.servedWork {
		total += served
	}
	return total
}

func fractionOf(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// workAhead returns the work within the class before a new item of the flow own, which may be nil.
func (c *class) workAhead(own *flow, weight float64) WorkAhead {
	startTag := c.minTag()
	if own != nil {
		startTag = max(own.tag, startTag) + (own.cost+own.announced)/weight
	}
	current := c.workBefore(startTag)
	return WorkAhead{Current: current, WorstCase: max(current, (startTag-c.virtualTime)*max(c.weight, c.meanWeight))}
}

// workBefore returns the work that the class serves until its virtual time reaches startTag.
func (c *class) workBefore(startTag float64) float64 {
	if len(c.active) > maxExactFlows {
		return min(c.cost+c.announced, max(0, startTag-c.virtualTime)*c.weight)
	}
	total := 0.0
	for _, f := range c.active {
		share := max(0, startTag-max(f.tag, c.minTag())) * f.weight
		total += min(f.cost+f.announced, share)
	}
	return total
}
