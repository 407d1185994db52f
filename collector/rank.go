package collector

const (
	// MaxPriority is the largest priority that is told apart from larger ones.
	MaxPriority = 9
	// ClassCount is the number of pairs of a request's priority and its route's.
	ClassCount = (MaxPriority + 1) * (MaxPriority + 1)
	// rankBase is added to ranks that hold two priorities. It is larger than any priority, which an entry of the release before
	// sends instead.
	rankBase = 100
)

// Rank returns the value of Group.Priority for a request of the given priority on a route of the given priority. A client
// account's priority takes precedence over its routes'. Among requests for which it is the same, those of a more urgent route
// go first; by due time alone, short requests of the least urgent route would take the room from large ones of the most urgent.
func Rank(priority, routePriority int) int {
	priority, routePriority = clampPriority(priority), clampPriority(routePriority)
	if priority == routePriority {
		return priority
	}
	return rankBase + pairOf(priority, routePriority)
}

// Class returns the index of the class of a group's priority: more urgent classes have a lower one.
func Class(rank int) int {
	if rank >= rankBase {
		return min(rank-rankBase, ClassCount-1)
	}
	return pairOf(clampPriority(rank), clampPriority(rank))
}

// PriorityOf returns the request's priority in a class.
func PriorityOf(class int) int { return class / (MaxPriority + 1) }

func pairOf(priority, routePriority int) int { return priority*(MaxPriority+1) + routePriority }

func clampPriority(priority int) int { return min(max(priority, 0), MaxPriority) }
