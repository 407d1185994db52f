package detector

// State is how far a member can be relied on.
type State uint8

// The states of a member. The zero State belongs to a member that nobody has heard of.
const (
	Unknown State = iota
	// Live members are heard and may be given to callers.
	Live
	// Suspect members have been silent for Config.SuspectAfter, or say themselves that they hear nobody.
	Suspect
	// Dead members have been silent for Config.DeadAfter, or a newer process has taken their name.
	Dead
	// Stopping members are in a planned stop: they take no new callers but still answer.
	Stopping
	// Stopped members have ended a planned stop.
	Stopped
)

// String gives the state's name as logs and the status page print it.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Stopping:
		return "stopping"
	case Stopped:
		return "stopped"
	default:
		return "unknown"
	}
}

// declared maps a state from the wire to one that a member may say of itself.
// Anything else is read as Suspect: the member is alive, but is not given to callers.
func declared(value uint8) State {
	switch s := State(value); s {
	case Live, Stopping, Stopped:
		return s
	default:
		return Suspect
	}
}
