package publisher

// heldChange is a change that was read but is not applied yet.
type heldChange struct {
	offset   int64
	atMillis int64
	change   *Change
}

// gap is open while records that this Fold needs may have been cut from the log.
//
// Changes read after the gap are held until a snapshot covers it. Applied at once, they would be checked
// against an outdated object, so that this entry could reject as a conflict what all others accepted.
type gap struct {
	open bool
	// minThrough is the lowest throughOffset of a snapshot that leaves no records missing before the held
	// changes.
	minThrough int64
	held       []heldChange
}

func (g *gap) hold(h heldChange, limit int) {
	g.held = append(g.held, h)
	if len(g.held) > limit {
		g.minThrough = g.held[0].offset
		g.held = g.held[1:]
	}
}

// BeginPage must be called with the log's oldest kept offset once before the records of each page are applied.
// It reports whether required records may have been cut and no snapshot has replaced them yet, which should
// raise an alarm. The Fold keeps its state.
func (f *Fold) BeginPage(first int64) bool {
	if first > f.lastRead+1 {
		f.gap = gap{open: true, minThrough: first - 1}
		f.snaps.discardParts()
	}
	return f.gap.open
}

// installSnapshot puts a snapshot in force and applies the held changes that came after it, in log order. Some
// of them precede the snapshot's own records in the log.
func (f *Fold) installSnapshot(s *state, throughOffset int64) []Verdict {
	f.state = s
	f.offset = throughOffset
	if throughOffset < f.gap.minThrough {
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
	f.lastRead = max(f.lastRead, throughOffset)
	f.offset = f.lastRead
	return verdicts
}
