package scheduler

const (
	// minimumWeight keeps the division by a weight finite.
	minimumWeight = 1e-9
	// countedFlows is how many present accounts are looked at one by one; with more of them
	// their backlogs are reckoned as if each outlasted the new item's wait.
	countedFlows = 32
)

// WorkAhead is the work that a pool serves before a new item, in endpoint milliseconds.
type WorkAhead struct {
	// Current counts the accounts that have work waiting or announced.
	Current float64
	// WorstCase counts the weights that are usually there, as if all took up their shares now.
	WorstCase float64
}

// WorkAhead estimates what the pool serves before a new item: the account's own work in the
// class, waiting or announced, what others may be served meanwhile by their weights, and
// all more urgent work.
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
	part := p.part(urgency)
	var own *flow
	if a, ok := p.accounts[item.Account]; ok {
		own = a.flows[urgency]
	}
	ahead := p.classes[urgency].ahead(own, max(item.Weight, minimumWeight))
	return WorkAhead{Current: max(urgent, 0) + ahead.Current/part, WorstCase: max(urgent, 0) + ahead.WorstCase/part}
}

// part is the part of the pool's work that the class may count on: what more urgent classes
// were lately served is taken off, for as much of it is to come, and so are the
// guarantees of less urgent classes that wait.
func (p *pool) part(urgency Urgency) float64 {
	part := 1.0
	for i := range p.classes {
		switch {
		case Urgency(i) < urgency:
			part -= ratio(p.served[i], p.servedTotal())
		case Urgency(i) > urgency && p.classes[i].flows.len() > 0:
			part -= p.guarantees[i]
		}
	}
	return max(part, p.guarantees[urgency], leastPart)
}

// leastPart keeps the division by a class's part finite.
const leastPart = 0.01

func (p *pool) servedTotal() float64 {
	total := 0.0
	for _, served := range p.served {
		total += served
	}
	return total
}

func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// ahead is the work within the class before a new item of the flow, which may be nil.
func (c *class) ahead(own *flow, weight float64) WorkAhead {
	starts := c.earliest()
	if own != nil {
		starts = max(own.tag, starts) + (own.cost+own.announced)/weight
	}
	present := c.served(starts)
	return WorkAhead{Current: present, WorstCase: max(present, (starts-c.now)*max(c.weight, c.usual))}
}

// served is the work that the class serves until its virtual time has come to starts.
func (c *class) served(starts float64) float64 {
	if len(c.present) > countedFlows {
		return min(c.cost+c.announced, max(0, starts-c.now)*c.weight)
	}
	total := 0.0
	for _, f := range c.present {
		turn := max(0, starts-max(f.tag, c.earliest())) * f.weight
		total += min(f.cost+f.announced, turn)
	}
	return total
}
