package claimer

// expiryMillis is the width of the time ranges in which keys expire together.
const expiryMillis = 10_000

// expiries holds the keys by the range of log time in which they expire.
type expiries map[int64][]slot

func (e expiries) add(s slot, atMillis int64) {
	bucket := atMillis/expiryMillis + 1
	e[bucket] = append(e[bucket], s)
}

// expire forgets the keys whose horizon has passed by the log's time. A claim for such a key that lands
// later is void by the same time, so forgetting it lets nobody run it again.
func (t *Table) expire() {
	now := t.logMillis / expiryMillis
	if t.expired == 0 {
		t.expired = now
	}
	for ; t.expired < now; t.expired++ {
		bucket := t.expired + 1
		for _, s := range t.expiries[bucket] {
			t.answers.drop(t.slots[s])
			delete(t.slots, s)
		}
		delete(t.expiries, bucket)
	}
	t.answers.trim()
}

// answers bounds the memory of recorded answers: the oldest are dropped first.
type answers struct {
	held  []*holding
	bytes int
}

func (a *answers) keep(h *holding, limit int) {
	if h.ending.Answer == "" {
		return
	}
	a.held = append(a.held, h)
	a.bytes += len(h.ending.Answer)
	for a.bytes > limit {
		a.drop(a.held[0])
		a.trim()
	}
}

// trim forgets the oldest places whose text is gone.
func (a *answers) trim() {
	for len(a.held) > 0 && a.held[0].ending.Answer == "" {
		a.held[0] = nil
		a.held = a.held[1:]
	}
}

// drop lets go of one answer's text. The list keeps its place, where it then counts nothing.
func (a *answers) drop(h *holding) {
	if h.ending == nil || h.ending.Answer == "" {
		return
	}
	a.bytes -= len(h.ending.Answer)
	h.ending.Answer = ""
	h.ending.State = StateAnswerNotKept
	h.ending.AnswerInLog = true
}
