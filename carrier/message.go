package carrier

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// Message is one of the messages that entries send to each other.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
	// Kind returns the message's kind, which is sent in the frame's kind byte.
	Kind() Kind
}

// UnknownKindError reports a frame whose kind byte is not the kind of any message.
type UnknownKindError struct {
	Value Kind
}

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("unknown frame kind %d", e.Value)
}

// Kind returns KindChallenge.
func (c *Challenge) Kind() Kind { return KindChallenge }

// Kind returns KindProof.
func (p *Proof) Kind() Kind { return KindProof }

// Kind returns KindHeartbeat.
func (h *Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind returns KindRecordsCall.
func (c *RecordsCall) Kind() Kind { return KindRecordsCall }

// Kind returns KindRecords.
func (r *Records) Kind() Kind { return KindRecords }

// Kind returns KindOutcomeCall.
func (c *OutcomeCall) Kind() Kind { return KindOutcomeCall }

// Kind returns KindOutcome.
func (o *Outcome) Kind() Kind { return KindOutcome }

// Kind returns KindHandover.
func (h *Handover) Kind() Kind { return KindHandover }

// Kind returns KindBills.
func (b *Bills) Kind() Kind { return KindBills }

// Kind returns KindDemand.
func (d *Demand) Kind() Kind { return KindDemand }

// Kind returns KindPieceRequest.
func (m *PieceRequest) Kind() Kind { return KindPieceRequest }

// Kind returns KindPieceAccepted.
func (m *PieceAccepted) Kind() Kind { return KindPieceAccepted }

// Kind returns KindPieceResults.
func (m *PieceResults) Kind() Kind { return KindPieceResults }

// Kind returns KindPieceWithdraw.
func (m *PieceWithdraw) Kind() Kind { return KindPieceWithdraw }

// Kind returns KindPieceFree.
func (m *PieceFree) Kind() Kind { return KindPieceFree }

// Kind returns KindLoadReport.
func (m *LoadReport) Kind() Kind { return KindLoadReport }

// Kind returns KindConfigCall.
func (m *ConfigCall) Kind() Kind { return KindConfigCall }

// Kind returns KindConfigReply.
func (m *ConfigReply) Kind() Kind { return KindConfigReply }

// Kind returns KindEndpointsCall.
func (m *EndpointsCall) Kind() Kind { return KindEndpointsCall }

// Kind returns KindEndpointsReply.
func (m *EndpointsReply) Kind() Kind { return KindEndpointsReply }

// Kind returns KindEndpointsNews.
func (m *EndpointsNews) Kind() Kind { return KindEndpointsNews }

// Kind returns KindPieceRead.
func (m *PieceRead) Kind() Kind { return KindPieceRead }

// Kind returns KindMembersCall.
func (m *MembersCall) Kind() Kind { return KindMembersCall }

// Kind returns KindMembersReply.
func (m *MembersReply) Kind() Kind { return KindMembersReply }

// Kind returns KindRelayCall.
func (m *RelayCall) Kind() Kind { return KindRelayCall }

// Kind returns KindRelayBody.
func (m *RelayBody) Kind() Kind { return KindRelayBody }

// Kind returns KindRelayResponse.
func (m *RelayResponse) Kind() Kind { return KindRelayResponse }

// Kind returns KindRelayEnd.
func (m *RelayEnd) Kind() Kind { return KindRelayEnd }

// Kind returns KindRelayFailure.
func (m *RelayFailure) Kind() Kind { return KindRelayFailure }

// Kind returns KindStreamOrigins.
func (m *StreamOrigins) Kind() Kind { return KindStreamOrigins }

// Kind returns KindOriginCall.
func (m *OriginCall) Kind() Kind { return KindOriginCall }

// Kind returns KindOriginReply.
func (m *OriginReply) Kind() Kind { return KindOriginReply }

// Kind returns KindPartCrashes.
func (m *PartCrashes) Kind() Kind { return KindPartCrashes }

// Kind returns KindTrialCall.
func (m *TrialCall) Kind() Kind { return KindTrialCall }

// Kind returns KindTrialReply.
func (m *TrialReply) Kind() Kind { return KindTrialReply }

// NewMessage returns an empty message of the kind, to decode a frame into, or an *UnknownKindError.
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
	case KindMembersCall:
		return &MembersCall{}, nil
	case KindMembersReply:
		return &MembersReply{}, nil
	case KindEndpointsReply:
		return &EndpointsReply{}, nil
	case KindRelayCall:
		return &RelayCall{}, nil
	case KindRelayBody:
		return &RelayBody{}, nil
	case KindRelayResponse:
		return &RelayResponse{}, nil
	case KindRelayEnd:
		return &RelayEnd{}, nil
	case KindRelayFailure:
		return &RelayFailure{}, nil
	case KindStreamOrigins:
		return &StreamOrigins{}, nil
	case KindOriginCall:
		return &OriginCall{}, nil
	case KindOriginReply:
		return &OriginReply{}, nil
	case KindPartCrashes:
		return &PartCrashes{}, nil
	case KindTrialCall:
		return &TrialCall{}, nil
	case KindTrialReply:
		return &TrialReply{}, nil
	default:
		return nil, &UnknownKindError{Value: kind}
	}
}
