package detector

// State is the availability of a member.
type State uint8

// The states of a member. The zero State is that of an unknown member.
const (
	Unknown State = iota
	// Live members are heard from and may be handed out to callers.
	Live
	// Suspect members have been silent for Config.SuspectAfter, or report that they receive from nobody.
	Suspect
	// Dead members have been silent for Config.DeadAfter, or a newer process uses their name.
	Dead
	// Stopping members are in a planned stop: they accept no new callers but still answer.
	Stopping
	// Stopped members have completed a planned stop.
	Stopped
)

// String returns the name of the state as shown in logs and on the status page.
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

// parseDeclared converts a state from the wire to one that a member may report about itself. Any other value is read
// as Suspect: the member is alive, but isn't handed out to callers.
func parseDeclared(value uint8) State {
	switch s := State(value); s {
	case Live, Stopping, Stopped:
		return s
	default:
		return Suspect
	}
}
