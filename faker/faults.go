package faker

// Faults are the fault switches of an endpoint stand-in. The zero value disables all faults.
type Faults struct {
	// SlowFactor multiplies all processing times; 0 means 1.
	SlowFactor float64 `json:"slowFactor"`
	// ErrorRate is the share of calls that are refused with code failed without being run.
	ErrorRate float64 `json:"errorRate"`
	// RunErrorRate is the share of calls that run and then return an error in the final part.
	RunErrorRate float64 `json:"runErrorRate"`
	// FailFast refuses each call immediately with code failed.
	FailFast bool `json:"failFast"`
	// RefuseAll refuses each call with code overloaded.
	RefuseAll bool `json:"refuseAll"`
	// Leaving refuses each new call with code leaving and sets the leaving flag in load reports.
	Leaving bool `json:"leaving"`
	// Hang accepts calls but starts none of them until it is switched off.
	Hang bool `json:"hang"`
	// CrashOnInput terminates the process when a call's input contains this text.
	CrashOnInput string `json:"crashOnInput"`
	// DelayReplyMillis delays the first byte of each reply; processing continues in the meantime.
	DelayReplyMillis int64 `json:"delayReplyMillis"`
	// DuplicateParts sends each part twice.
	DuplicateParts bool `json:"duplicateParts"`
	// SwapReplies sends each part with the ids and the text of another request, if there is one.
	SwapReplies bool `json:"swapReplies"`
	// OutOfOrder swaps each two adjacent parts.
	OutOfOrder bool `json:"outOfOrder"`
	// CutStreamAfterParts closes the connection after this many parts; the stream can still be resumed.
	// 0 disables it.
	CutStreamAfterParts int `json:"cutStreamAfterParts"`
	// DropReplyAfterRun runs the call, then closes the connection without sending any reply.
	DropReplyAfterRun bool `json:"dropReplyAfterRun"`
	// LoadLagMillis overrides the configured lag of load reports if it is greater than 0.
	LoadLagMillis int64 `json:"loadLagMillis"`
	// CacheEventDelayMillis overrides the configured delay of cache events if it is greater than 0.
	CacheEventDelayMillis int64 `json:"cacheEventDelayMillis"`
	// CacheEventGapRate is the share of cache events that are omitted.
	CacheEventGapRate float64 `json:"cacheEventGapRate"`
	// IgnoreFence runs stage calls without checking their fence.
	IgnoreFence bool `json:"ignoreFence"`
	// IgnoreOrderFence accepts assignment orders without checking their fence.
	IgnoreOrderFence bool `json:"ignoreOrderFence"`
}

func (f Faults) check() error {
	return firstError(
		checkNotNegative("slowFactor", f.SlowFactor),
		checkRate("errorRate", f.ErrorRate),
		checkRate("runErrorRate", f.RunErrorRate),
		checkNotNegative("delayReplyMillis", f.DelayReplyMillis),
		checkNotNegative("cutStreamAfterParts", f.CutStreamAfterParts),
		checkNotNegative("loadLagMillis", f.LoadLagMillis),
		checkNotNegative("cacheEventDelayMillis", f.CacheEventDelayMillis),
		checkRate("cacheEventGapRate", f.CacheEventGapRate),
	)
}

func (f Faults) slowFactor() float64 {
	return valueOrDefault(f.SlowFactor, 1)
}
