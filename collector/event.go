package collector

import (
	"time"

	"geraniumline/registrar"
)

// GroupID names the pieces of one stage of one request.
type GroupID struct {
	// Origin is the entry that has the request.
	Origin  string
	Request string
	Stage   int
}

// Group is pieces of one stage of one request that are to be made.
type Group struct {
	ID GroupID
	// Segments number the pieces.
	Segments []int
	// Key is the input of pieces whose stage comes first; Inputs are the results that all others take.
	Key    string
	Inputs []string
	// Due is when the results are needed for an answer on time at the usual pace of the later stages, Latest at their
	// fastest; it is Due where it is not set. Deadline is when they are of no use any more.
	Due       time.Time
	LatestDue time.Time
	Deadline  time.Time
	Priority  int
	Account   string
	// ResultBytes is the size of one result.
	ResultBytes int64
	// Zone is where the pieces should be made: where their inputs lie or their results are wanted. It is empty where
	// that is all the same.
	PreferredZone string
	// Kept groups stay here though another entry is said to have the duty: that one left their origin without an answer.
	Pinned bool
	// Regions are those where the pieces may be made; empty where all are.
	Regions []string
	// FarBytes are what crosses availability zones if the pieces are made in another one, or in several.
	CrossZoneBytes int64
	// InputBytes is the size of all inputs of one piece.
	InputBytes int64
	// TellRead asks for an InputsRead.
	NotifyInputsFetched bool
	// Holding groups keep much of the space of the endpoints that made their inputs.
	HoldsSpace bool
}

// Piece is one piece within a call.
type Piece struct {
	Request  string
	Stage    int
	Segment  int
	Key      string
	Inputs   []string
	Deadline time.Time
}

// Reason tells why a piece has no result.
type Reason uint8

// The reasons. None stands with a result.
const (
	None Reason = iota
	// Late pieces could not be made before their deadline.
	Late
	// InputGone pieces need a result that is no longer there.
	InputGone
	// NoRoom pieces found no space for their result.
	NoSpace
	// Failed pieces were tried as often as allowed.
	Failed
	// Overload pieces would wait longer than their deadline allows.
	Overload
	// Moved pieces are to be asked for at another entry: this one stops.
	Moved
	// Evacuated pieces have no endpoint that may get new work.
	Evacuated
	// HeldBack pieces have no endpoint that takes calls before their deadline: all have asked for fewer.
	Throttled
)

// String gives the reason as logs and metrics name it.
func (r Reason) String() string {
	switch r {
	case Late:
		return "late"
	case InputGone:
		return "inputGone"
	case NoSpace:
		return "noRoom"
	case Failed:
		return "failed"
	case Overload:
		return "overload"
	case Moved:
		return "moved"
	case Evacuated:
		return "evacuated"
	case Throttled:
		return "heldBack"
	default:
		return "none"
	}
}

// PieceResult is what a call brought for one piece.
type PieceResult struct {
	Handle string
	Reason Reason
}

// CallOutcome tells how a call went.
type CallOutcome uint8

// The ends of calls.
const (
	// Answered calls have a result or a reason for each piece.
	Answered CallOutcome = iota
	// Refused calls were turned away unrun by an endpoint that is full or leaving.
	Refused
	// Unreachable endpoints refuse connections.
	Unreachable
	// Unanswered endpoints let connections come to nothing.
	Unanswered
	// Broken calls ended without an answer.
	Broken
)

// String gives the end as logs name it.
func (e CallOutcome) String() string {
	switch e {
	case Answered:
		return "answered"
	case Refused:
		return "refused"
	case Unreachable:
		return "unreachable"
	case Unanswered:
		return "unanswered"
	default:
		return "broken"
	}
}

// Event is what can happen to a pool.
type Event interface{ event() }

// GroupArrived brings pieces to be made.
type GroupArrived struct{ Group Group }

// GroupWithdrawn tells that pieces are not needed any more.
type GroupWithdrawn struct{ ID GroupID }

// CallEnded brings the end of a call.
type CallEnded struct {
	Call    uint64
	Outcome CallOutcome
	Results []PieceResult
}

// ResultRef is a result and where it lies.
type ResultRef struct {
	Handle string
	// Address is that of the endpoint that made it.
	Address string
}

// ResultsReleased names results that are not needed any more.
type ResultsReleased struct{ Results []ResultRef }

// FreeCallEnded tells that a call that freed results is over, well or not.
type FreeCallEnded struct{ Results []ResultRef }

// EndpointsChanged brings the endpoints that may get work.
type EndpointsChanged struct {
	Endpoints []registrar.Endpoint
	// Evacuated tells that there are others, which the operator lets have no new work, and none besides: what waits is told
	// so at once.
	Evacuated bool
}

// OriginLost tells that an entry has ended: its requests need no more pieces.
type OriginLost struct{ Origin string }

// Stopping tells that this entry stops: what has not begun is asked for elsewhere.
type Stopping struct{}

// Reassigned tells that another entry collects now: what waits is asked for there, but for what is kept here.
type Reassigned struct{}

// Ticked lets time pass.
type Ticked struct{}

func (GroupArrived) event()     {}
func (GroupWithdrawn) event()   {}
func (CallEnded) event()        {}
func (ResultsReleased) event()  {}
func (FreeCallEnded) event()    {}
func (EndpointsChanged) event() {}
func (OriginLost) event()       {}
func (Stopping) event()         {}
func (Reassigned) event()       {}
func (Ticked) event()           {}

// Effect is what is to be done.
type Effect interface{ effect() }

// SendCall asks for a call to an endpoint.
type SendCall struct {
	Call     uint64
	Endpoint registrar.Endpoint
	Pieces   []Piece
	// Timeout is when the call is given up.
	Timeout time.Duration
	// Free is how many more results of the last piece's size the endpoint has space for.
	RemainingResults int
}

// Deliver hands a piece's result, or the reason why there is none, to the entry that has the request.
type Deliver struct {
	ID      GroupID
	Segment int
	Result  PieceResult
	// Address and Zone are those of the endpoint where the result lies.
	Address string
	Zone    string
}

// FreeResults gives the space of results back at their maker.
type FreeResults struct {
	Address string
	Handles []string
}

// InputsFetched tells the entry that has the request that the endpoints have fetched the inputs of all of a group's pieces.
type InputsFetched struct{ ID GroupID }

// HealthChanged tells that an endpoint was taken out of use or let back.
type HealthChanged struct {
	Endpoint registrar.Endpoint
	OutOfUse bool
	Cause    CallOutcome
}

func (SendCall) effect()      {}
func (Deliver) effect()       {}
func (FreeResults) effect()   {}
func (InputsFetched) effect() {}
func (HealthChanged) effect() {}
