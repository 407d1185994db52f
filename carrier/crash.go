package carrier

//go:generate msgp -file crash.go -o crash_gen.go -tests=false

//msgp:tuple CrashLoss PartObservation CrashedPart

// CrashLoss is the loss of one endpoint. Entries that observed the same loss report the same endpoint and nearly the
// same age.
type CrashLoss struct {
	// Endpoint is the endpoint's process, or its address where processes are not known.
	Endpoint  string
	AgeMillis int64
}

// CrashMark lists the endpoints that were lost while a request with this digest ran there. The losses are listed
// rather than counted, so that those observed by different entries add up and those passed on are not counted again.
type CrashMark struct {
	Digest []byte      `msg:"digest,limit=32"`
	Losses []CrashLoss `msg:"losses,limit=16"`
}

// PartObservation is the crash of an endpoint while a request with a part of a prompt had no answer there, or a trial of
// that part.
type PartObservation struct {
	// ID identifies the process that crashed, or the trial.
	ID        uint64
	AgeMillis int64
	Trial     bool
	// Cleared is set if an answer began later on a prompt with the part.
	Cleared bool
}

// CrashedPart is a part of prompts that may crash endpoints. Observations are listed rather than counted, so that those
// made by different entries add up and those passed on are not counted again.
type CrashedPart struct {
	Part uint64
	// SeenAgeMillis is the time since the part's last crash, or since a request was last refused for it.
	SeenAgeMillis int64
	Observations  []PartObservation `msg:"observations,limit=64"`
}

// PartCrashes lists parts of prompts that may crash endpoints: those that have changed, or all for a peer that knows
// others.
type PartCrashes struct {
	Parts []CrashedPart `msg:"parts,limit=1024"`
}

// TrialCall asks the entry that grants the trials of parts of prompts for one.
type TrialCall struct {
	CallID uint64   `msg:"callId"`
	Parts  []uint64 `msg:"parts,limit=256"`
}

// TrialReply answers a TrialCall.
type TrialReply struct {
	CallID  uint64 `msg:"callId"`
	Granted bool   `msg:"granted"`
}
