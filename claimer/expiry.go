package claimer

// expiryBucketMillis is the width of the time ranges in which keys expire together.
const expiryBucketMillis = 10_000

// expiries maps each range of log time to the keys that expire in it.
type expiries map[int64][]keyID

func (e expiries) add(key keyID, atMillis int64) {
	bucket := atMillis/expiryBucketMillis + 1
	e[bucket] = append(e[bucket], key)
}

// expire deletes the keys whose horizon has passed by the log's time. A claim for such a key that is appended
// later is void by the same time, so that the request can't run again.
func (t *Table) expire() {
	now := t.logMillis / expiryBucketMillis
	if t.lastExpired == 0 {
		t.lastExpired = now
	}
	for ; t.lastExpired < now; t.lastExpired++ {
		bucket := t.lastExpired + 1
		for _, key := range t.expiries[bucket] {
			t.answers.drop(t.keys[key])
			delete(t.keys, key)
		}
		delete(t.expiries, bucket)
	}
	t.answers.trim()
}

// answers limits the memory used by recorded answers: the oldest are dropped first.
type answers struct {
	queue []*keyState
	bytes int
}

func (a *answers) add(s *keyState, limit int) {
	if s.outcome.Answer == "" {
		return
	}
	a.queue = append(a.queue, s)
	a.bytes += len(s.outcome.Answer)
	for a.bytes > limit {
		a.drop(a.queue[0])
		a.trim()
	}
}

// trim removes the oldest elements whose answer was dropped.
func (a *answers) trim() {
	for len(a.queue) > 0 && a.queue[0].outcome.Answer == "" {
		a.queue[0] = nil
		a.queue = a.queue[1:]
	}
}

// drop deletes the text of one answer. Its element stays in the queue, where it counts for 0 bytes.
func (a *answers) drop(s *keyState) {
	if s.outcome == nil || s.outcome.Answer == "" {
		return
	}
	a.bytes -= len(s.outcome.Answer)
	s.outcome.Answer = ""
	s.outcome.State = StateAnswerNotKept
	s.outcome.AnswerInLog = true
}
