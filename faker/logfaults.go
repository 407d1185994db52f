package faker

import (
	"context"
	"net/http"
)

// LogFaults are the switches of the log service's stand-in.
type LogFaults struct {
	Outage Outage `json:"outage"`
	// SlowAppendMillis passes before an append takes effect, which it does even if its caller has gone.
	SlowAppendMillis int64 `json:"slowAppendMillis"`
	// SlowAppendReplyMillis passes between an append's effect and its reply.
	SlowAppendReplyMillis int64 `json:"slowAppendReplyMillis"`
	// SlowReadMillis passes before a read.
	SlowReadMillis int64 `json:"slowReadMillis"`
	// LoseReplies closes the connection without a reply for so many appends that took effect. It
	// counts down, which GET shows.
	LoseReplies int `json:"loseReplies"`
	// LoseReplyRate does so for a share of the appends.
	LoseReplyRate float64 `json:"loseReplyRate"`
}

func (f LogFaults) check() error {
	return firstError(
		f.Outage.check(),
		checkNotNegative("slowAppendMillis", f.SlowAppendMillis),
		checkNotNegative("slowAppendReplyMillis", f.SlowAppendReplyMillis),
		checkNotNegative("slowReadMillis", f.SlowReadMillis),
		checkNotNegative("loseReplies", f.LoseReplies),
		checkRate("loseReplyRate", f.LoseReplyRate),
	)
}

func (l *Log) failInOutage(ctx context.Context) error {
	err := failInOutage(ctx, l.faults, func(f LogFaults) Outage { return f.Outage })
	if err != nil {
		l.updateLedger(func(ledger *LogLedger) { ledger.Refused++ })
	}
	return err
}

// loseReply closes the connection in place of a reply, if the switches say so.
func (l *Log) maybeLoseReply() {
	lost := false
	if l.faults.get().LoseReplies > 0 {
		l.faults.update(func(f *LogFaults) {
			lost = f.LoseReplies > 0
			f.LoseReplies = max(0, f.LoseReplies-1)
		})
	}
	lost = lost || l.occursAtRate(l.faults.get().LoseReplyRate)
	if !lost {
		return
	}
	l.updateLedger(func(ledger *LogLedger) { ledger.LostReplies++ })
	panic(http.ErrAbortHandler)
}
