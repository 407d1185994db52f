package faker

import (
	"context"
	"net/http"
)

// LogFaults are the fault switches of the log service stand-in.
type LogFaults struct {
	Outage Outage `json:"outage"`
	// SlowAppendMillis delays an append before it takes effect. The append is executed even if the
	// caller has disconnected.
	SlowAppendMillis int64 `json:"slowAppendMillis"`
	// SlowAppendReplyMillis delays the reply after an append has taken effect.
	SlowAppendReplyMillis int64 `json:"slowAppendReplyMillis"`
	// SlowReadMillis delays each read.
	SlowReadMillis int64 `json:"slowReadMillis"`
	// LoseReplies is the number of further appends that take effect but whose connection is closed
	// without a reply. It counts down; GET returns the remaining number.
	LoseReplies int `json:"loseReplies"`
	// LoseReplyRate is the share of appends, from 0 to 1, whose reply is lost in the same way.
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

// maybeLoseReply closes the connection instead of sending a reply if the switches require it.
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
