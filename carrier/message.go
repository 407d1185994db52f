package carrier

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// Message is one of the messages that entries send to each other.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
	// Kind tells which message it is, for the frame's first byte.
	Kind() Kind
}

// UnknownKindError tells of a frame whose first byte names no message.
type UnknownKindError struct {
	Value Kind
}

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("frame of unknown kind %d", e.Value)
}

// Kind tells that c is a challenge.
func (c *Challenge) Kind() Kind { return KindChallenge }

// Kind tells that p is a proof.
func (p *Proof) Kind() Kind { return KindProof }

// Kind tells that h is a heartbeat.
func (h *Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind tells that c is a call for records.
func (c *RecordsCall) Kind() Kind { return KindRecordsCall }

// Kind tells that r answers a call for records.
func (r *Records) Kind() Kind { return KindRecords }

// Kind tells that c is a call for an outcome.
func (c *OutcomeCall) Kind() Kind { return KindOutcomeCall }

// Kind tells that o answers a call for an outcome.
func (o *Outcome) Kind() Kind { return KindOutcome }

// Kind tells that h hands outcomes over.
func (h *Handover) Kind() Kind { return KindHandover }

// Kind tells that b are bills.
func (b *Bills) Kind() Kind { return KindBills }

// Kind tells that d is demand by model.
func (d *Demand) Kind() Kind { return KindDemand }

// Kind tells that m asks for pieces.
func (m *PieceRequest) Kind() Kind { return KindPieceRequest }

// Kind tells that m acknowledges an ask for pieces.
func (m *PieceAccepted) Kind() Kind { return KindPieceAccepted }

// Kind tells that m brings results of pieces.
func (m *PieceResults) Kind() Kind { return KindPieceResults }

// Kind tells that m withdraws pieces.
func (m *PieceWithdraw) Kind() Kind { return KindPieceWithdraw }

// Kind tells that m frees results.
func (m *PieceFree) Kind() Kind { return KindPieceFree }

// Kind tells that m tells the sender's work under way.
func (m *LoadReport) Kind() Kind { return KindLoadReport }

// Kind tells that m calls for the configuration.
func (m *ConfigCall) Kind() Kind { return KindConfigCall }

// Kind tells that m brings a configuration.
func (m *ConfigReply) Kind() Kind { return KindConfigReply }

// Kind tells that m calls for the list of endpoints.
func (m *EndpointsCall) Kind() Kind { return KindEndpointsCall }

// Kind tells that m brings a list of endpoints.
func (m *EndpointsReply) Kind() Kind { return KindEndpointsReply }

// Kind tells that m brings changes of endpoints.
func (m *EndpointsNews) Kind() Kind { return KindEndpointsNews }

// Kind tells that m says that inputs were fetched.
func (m *PieceRead) Kind() Kind { return KindPieceRead }

// NewMessage gives an empty message of the kind, to decode a frame into.
func NewMessage(kind Kind) (Message, error) {
	switch kind {
	case KindChallenge:
		return &Challenge{}, nil
	case KindProof:
		return &Proof{}, nil
	case KindHeartbeat:
		return &Heartbeat{}, nil
	case KindRecordsCall:
		return &RecordsCall{}, nil
	case KindRecords:
		return &Records{}, nil
	case KindOutcomeCall:
		return &OutcomeCall{}, nil
	case KindOutcome:
		return &Outcome{}, nil
	case KindHandover:
		return &Handover{}, nil
	case KindBills:
		return &Bills{}, nil
	case KindDemand:
		return &Demand{}, nil
	case KindPieceRequest:
		return &PieceRequest{}, nil
	case KindPieceAccepted:
		return &PieceAccepted{}, nil
	case KindPieceResults:
		return &PieceResults{}, nil
	case KindPieceWithdraw:
		return &PieceWithdraw{}, nil
	case KindPieceFree:
		return &PieceFree{}, nil
	case KindLoadReport:
		return &LoadReport{}, nil
	case KindConfigCall:
		return &ConfigCall{}, nil
	case KindConfigReply:
		return &ConfigReply{}, nil
	case KindEndpointsCall:
		return &EndpointsCall{}, nil
	case KindEndpointsNews:
		return &EndpointsNews{}, nil
	case KindPieceRead:
		return &PieceRead{}, nil
	case KindEndpointsReply:
		return &EndpointsReply{}, nil
	default:
		return nil, &UnknownKindError{Value: kind}
	}
}
