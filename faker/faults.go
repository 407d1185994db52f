package faker

// Faults are the switches of an endpoint's stand-in. The zero value is an endpoint without fault.
type Faults struct {
	// SlowFactor multiplies all working time; 0 stands for 1.
	SlowFactor float64 `json:"slowFactor"`
	// ErrorRate is the share of calls refused with code failed; they are not run.
	ErrorRate float64 `json:"errorRate"`
	// RunErrorRate is the share of calls that run and end in a final part with an error.
	RunErrorRate float64 `json:"runErrorRate"`
	// FailFast refuses each call at once with code failed.
	FailFast bool `json:"failFast"`
	// RefuseAll refuses each call with code overloaded.
	RefuseAll bool `json:"refuseAll"`
	// Leaving refuses each new call with code leaving, and the load report says so.
	Leaving bool `json:"leaving"`
	// Hang takes calls in and starts none of them until it is switched off.
	Hang bool `json:"hang"`
	// CrashOnInput ends the process when a call's input contains it.
	CrashOnInput string `json:"crashOnInput"`
	// DelayReplyMillis holds back the first byte of each reply; the work goes on meanwhile.
	DelayReplyMillis int64 `json:"delayReplyMillis"`
	// DuplicateParts sends each part twice.
	DuplicateParts bool `json:"duplicateParts"`
	// SwapReplies sends each part with the ids and the text of another request, if there was one.
	SwapReplies bool `json:"swapReplies"`
	// OutOfOrder exchanges each two neighbouring parts.
	OutOfOrder bool `json:"outOfOrder"`
	// CutStreamAfterParts closes the connection of a call after so many parts; the stream is kept.
	CutStreamAfterParts int `json:"cutStreamAfterParts"`
	// DropReplyAfterRun runs the call, then closes the connection without a byte of reply.
	DropReplyAfterRun bool `json:"dropReplyAfterRun"`
	// LoadLagMillis replaces the configured lag of load reports if it is over 0.
	LoadLagMillis int64 `json:"loadLagMillis"`
	// CacheEventDelayMillis replaces the configured delay of cache events if it is over 0.
	CacheEventDelayMillis int64 `json:"cacheEventDelayMillis"`
	// CacheEventGapRate is the share of cache events that are lost.
	CacheEventGapRate float64 `json:"cacheEventGapRate"`
	// IgnoreFence has stage calls run whatever their fence says.
	IgnoreFence bool `json:"ignoreFence"`
	// IgnoreOrderFence has orders taken whatever their fence says.
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
