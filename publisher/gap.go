package publisher

// heldChange is a change that was read but is not yet folded in.
type heldChange struct {
	offset   int64
	atMillis int64
	change   *Change
}

// gap is open while records that this fold needs may have been cut from the log.
// Symptom without it: a change read after the gap is judged against an object that is out of date, so that this
// entry calls a conflict what all others accepted. Held changes are judged only once a snapshot covers the gap.
type gap struct {
	open bool
	// floor is the lowest throughOffset of a snapshot that joins the held changes without a hole.
	floor int64
	held  []heldChange
}

func (g *gap) hold(h heldChange, most int) {
	g.held = append(g.held, h)
	if len(g.held) > most {
		g.floor = g.held[0].offset
		g.held = g.held[1:]
	}
}

// BeginPage takes the log's oldest kept offset, once before each page's records. It tells whether records that the
// fold needs may have been cut and no snapshot has made up for them: an alarm. The fold keeps what it has.
func (f *Fold) BeginPage(first int64) bool {
	if first > f.read+1 {
		f.gap = gap{open: true, floor: first - 1}
		f.snaps.forgetParts()
	}
	return f.gap.open
}

// closeGap puts a snapshot in force and folds in the held changes that came after it, in log order.
// Some of them lie before the snapshot's own records in the log.
func (f *Fold) closeGap(s *state, throughOffset int64) []Verdict {
	f.state = s
	f.offset = throughOffset
	if throughOffset < f.gap.floor {
		return nil
	}
	held := f.gap.held
	f.gap = gap{}
	var verdicts []Verdict
	for _, h := range held {
		if h.offset > throughOffset {
			verdicts = append(verdicts, f.applyChange(h))
		}
	}
	f.read = max(f.read, throughOffset)
	f.offset = f.read
	return verdicts
}
