package publisher

// historyLimit is the number of verdicts that every entry stores. It must be the same at all entries and never
// change: the verdict on a repeated operation ID depends on it, and two entries with different limits would
// diverge for good.
const historyLimit = 1024

const maxMessageBytes = 1024

// history stores the newest verdicts, oldest first.
type history struct {
	verdicts []Verdict
	byID     map[string]int
	// dropped is the number of verdicts that were removed; byID holds positions counted from the first verdict
	// ever.
	dropped int
}

func newHistory() history {
	return history{byID: make(map[string]int)}
}

func (h *history) add(v Verdict) {
	h.byID[v.OperationID] = h.dropped + len(h.verdicts)
	h.verdicts = append(h.verdicts, v)
	if len(h.verdicts) > historyLimit {
		delete(h.byID, h.verdicts[0].OperationID)
		h.verdicts = h.verdicts[1:]
		h.dropped++
	}
}

func (h *history) find(operationID string) (Verdict, bool) {
	position, ok := h.byID[operationID]
	if !ok {
		return Verdict{}, false
	}
	return h.verdicts[position-h.dropped], true
}

// newest returns up to n verdicts, newest first.
func (h *history) newest(n int) []Verdict {
	n = max(0, min(n, len(h.verdicts)))
	out := make([]Verdict, 0, n)
	for i := len(h.verdicts) - 1; len(out) < n; i-- {
		out = append(out, h.verdicts[i])
	}
	return out
}
