package collector

import (
	"time"

	"geraniumline/registrar"
)

// GroupID identifies the pieces of one stage of one request.
type GroupID struct {
	// Origin is the entry that handles the request.
	Origin  string
	Request string
	Stage   int
}

// Group is a set of pieces of one stage of one request that are to be processed.
type Group struct {
	ID GroupID
	// Segments are the numbers of the pieces within the stage.
	Segments []int
	// Key is the input of pieces of a first stage. Inputs are the handles of the results that pieces of later stages use.
	Key    string
	Inputs []string
	// Due is when the results are needed for an answer on time if later stages take their usual time, LatestDue if they
	// are as fast as possible; it defaults to Due. Results are useless after Deadline.
	Due       time.Time
	LatestDue time.Time
	Deadline  time.Time
	// Priority is as returned by Rank.
	Priority int
	Account  string
	// ResultBytes is the expected size of one result.
	ResultBytes int64
	// PreferredZone is the availability zone where the pieces should be processed: the one that holds their inputs or
	// that needs their results. It is empty if there is no preference.
	PreferredZone string
	// Pinned groups stay at this entry although another one is assigned to collect: that one did not answer their origin.
	Pinned bool
	// Regions are the regions where the pieces may be processed; empty allows all.
	Regions []string
	// CrossZoneBytes is the number of bytes that cross availability zones if the pieces are processed in another zone or
	// in several.
	CrossZoneBytes int64
	// InputBytes is the total size of the inputs of one piece.
	InputBytes int64
	// NotifyInputsFetched requests an InputsFetched effect.
	NotifyInputsFetched bool
	// HoldsSpace is set if the group's inputs occupy much of the result space of the endpoints that produced them.
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

// Reason is the reason why a piece has no result.
type Reason uint8

// The reasons why a piece has no result.
const (
	// None accompanies a result.
	None Reason = iota
	// Late pieces could not be processed before their deadline.
	Late
	// InputGone pieces need a result that no longer exists.
	InputGone
	// NoSpace pieces found no space for their result.
	NoSpace
	// Failed pieces failed in a call, and their tries are used up.
	Failed
	// Overload pieces would have to wait beyond their deadline.
	Overload
	// Moved pieces must be requested from another entry, since this one no longer collects them.
	Moved
	// Evacuated pieces have no endpoint that may receive new work.
	Evacuated
	// Throttled pieces have no endpoint that accepts calls before their deadline: all have requested fewer calls.
	Throttled
	// CrashesEndpoints pieces were in calls that crashed their endpoints, the last time without pieces of other requests.
	CrashesEndpoints
)

// String returns the reason's name in logs and metrics.
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
	case CrashesEndpoints:
		return "crashed"
	default:
		return "none"
	}
}

// PieceResult is the outcome of a call for one piece: the handle of its result, or the reason why it has none.
type PieceResult struct {
	Handle string
	Reason Reason
}

// CallOutcome is how a call ended.
type CallOutcome uint8

// The outcomes of calls.
const (
	// Answered calls have a result or a reason for each piece.
	Answered CallOutcome = iota
	// Refused calls were rejected before they ran, by an endpoint that is full or leaving.
	Refused
	// Unreachable means that the endpoint refused the connection.
	Unreachable
	// Unanswered means that the call could not be sent although the endpoint did not refuse the connection.
	Unanswered
	// Broken calls ended without a usable answer.
	Broken
	// Crashed calls broke since their endpoint crashed.
	Crashed
)

// String returns the outcome's name in logs.
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
	case Crashed:
		return "crashed"
	default:
		return "broken"
	}
}

// Event is an input to a pool.
type Event interface{ event() }

// GroupArrived adds pieces to process.
type GroupArrived struct{ Group Group }

// GroupWithdrawn reports that pieces are no longer needed.
type GroupWithdrawn struct{ ID GroupID }

// CallEnded reports the outcome of a call.
type CallEnded struct {
	Call    uint64
	Outcome CallOutcome
	Results []PieceResult
}

// ResultRef identifies a result and the endpoint that stores it.
type ResultRef struct {
	Handle string
	// Address is the address of the endpoint that produced the result.
	Address string
}

// ResultsReleased reports results that are no longer needed.
type ResultsReleased struct{ Results []ResultRef }

// FreeCallEnded reports that a call to free results has ended, successfully or not.
type FreeCallEnded struct{ Results []ResultRef }

// EndpointsChanged replaces the list of endpoints that may receive work.
type EndpointsChanged struct {
	Endpoints []registrar.Endpoint
	// Evacuated is set if the service has endpoints but the operator has evacuated all of them. Waiting pieces then fail at
	// once.
	Evacuated bool
}

// OriginLost reports that an entry is gone and its requests need no more pieces.
type OriginLost struct{ Origin string }

// Stopping reports that this entry shuts down. Pieces in no call must be requested elsewhere.
type Stopping struct{}

// Reassigned reports that another entry collects now. Waiting pieces must be requested there, except those of pinned groups.
type Reassigned struct{}

// Ticked reports that time has passed.
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

// Effect is an action that the caller of Reduce must perform.
type Effect interface{ effect() }

// SendCall requests a call to an endpoint.
type SendCall struct {
	Call     uint64
	Endpoint registrar.Endpoint
	Pieces   []Piece
	// Timeout is the duration after which the call is aborted.
	Timeout time.Duration
	// RemainingResults is the number of further results of the last piece's size that the endpoint has space for.
	RemainingResults int
}

// Deliver passes a piece's result, or the reason why there is none, to the entry that handles the request.
type Deliver struct {
	ID      GroupID
	Segment int
	Result  PieceResult
	// Address and Zone are those of the endpoint that stores the result.
	Address string
	Zone    string
}

// FreeResults requests that an endpoint frees results that it stores.
type FreeResults struct {
	Address string
	Handles []string
}

// InputsFetched notifies the entry that handles the request that endpoints have fetched the inputs of all pieces of a group.
type InputsFetched struct{ ID GroupID }

// HealthChanged reports that an endpoint was taken out of use or put back into use.
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
