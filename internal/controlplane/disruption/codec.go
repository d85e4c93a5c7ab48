package disruption

import "swiftdeal/internal/membership/codec"

// op identifies the action in a command's encoded form.
type op uint8

// The numbers are stored in logs and must never be reused or reassigned.
const (
	opReevaluate op = 1 + iota
	opRequestGrant
	opConfirmExit
	opReturnToService
	opResume
	opWriteOff
	opRegister
	opReportQuiesced
	opConfigure
	opRevoke
	opMarkUnhealthy
)

// commandForm is the encoded form of every command. Which fields are used depends on Op.
type commandForm struct {
	Op          op                `cbor:"1,keyasint"`
	AtMs        int64             `cbor:"2,keyasint,omitempty"`
	Observed    *Observed         `cbor:"3,keyasint,omitempty"`
	Request     *Request          `cbor:"4,keyasint,omitempty"`
	Subject     Subject           `cbor:"5,keyasint,omitempty"`
	GrantID     uint64            `cbor:"6,keyasint,omitempty"`
	InstanceID  uint64            `cbor:"7,keyasint,omitempty"`
	Incarnation uint64            `cbor:"8,keyasint,omitempty"`
	RequestedBy string            `cbor:"9,keyasint,omitempty"`
	Reason      string            `cbor:"10,keyasint,omitempty"`
	Nodes       []NamedMember     `cbor:"11,keyasint,omitempty"`
	Budgets     *Budgets          `cbor:"12,keyasint,omitempty"`
	Unhealthy   map[string]string `cbor:"13,keyasint,omitempty"`
}

// MarshalCBOR encodes the command as a commandForm.
func (c Command) MarshalCBOR() ([]byte, error) {
	form := commandForm{AtMs: c.AtMs, Observed: c.Observed}
	c.Action.encode(&form)
	return codec.Encode(form), nil
}

// UnmarshalCBOR decodes a command. A command written by a later version decodes as an unknown action, which State.Apply rejects.
func (c *Command) UnmarshalCBOR(encoded []byte) error {
	var form commandForm
	if err := codec.Decode(encoded, &form); err != nil {
		return err
	}
	*c = Command{AtMs: form.AtMs, Observed: form.Observed, Action: form.action()}
	return nil
}

func (form *commandForm) action() Action {
	switch form.Op {
	case opReevaluate:
		return Reevaluate{}
	case opRequestGrant:
		var request Request
		if form.Request != nil {
			request = *form.Request
		}
		return RequestGrant{Request: request}
	case opConfirmExit:
		return ConfirmExit{
			Subject: form.Subject, GrantID: form.GrantID, InstanceID: form.InstanceID, Incarnation: form.Incarnation,
		}
	case opReturnToService:
		return ReturnToService{
			Subject: form.Subject, GrantID: form.GrantID, InstanceID: form.InstanceID, Incarnation: form.Incarnation,
			RequestedBy: form.RequestedBy,
		}
	case opResume:
		return Resume{Subject: form.Subject, RequestedBy: form.RequestedBy}
	case opWriteOff:
		return WriteOff{Subject: form.Subject, RequestedBy: form.RequestedBy, Reason: form.Reason}
	case opRegister:
		return Register{Nodes: form.Nodes}
	case opReportQuiesced:
		return ReportQuiesced{GrantID: form.GrantID, Nodes: form.Nodes}
	case opConfigure:
		return Configure{Budgets: form.Budgets, RequestedBy: form.RequestedBy}
	case opRevoke:
		return Revoke{Subject: form.Subject, RequestedBy: form.RequestedBy, Reason: form.Reason}
	case opMarkUnhealthy:
		return MarkUnhealthy{Nodes: form.Unhealthy}
	}
	return unknownAction{op: form.Op}
}

func (Reevaluate) encode(form *commandForm) { form.Op = opReevaluate }

func (a RequestGrant) encode(form *commandForm) {
	form.Op, form.Request = opRequestGrant, &a.Request
}

func (a ConfirmExit) encode(form *commandForm) {
	form.Op, form.Subject, form.GrantID = opConfirmExit, a.Subject, a.GrantID
	form.InstanceID, form.Incarnation = a.InstanceID, a.Incarnation
}

func (a ReturnToService) encode(form *commandForm) {
	form.Op, form.Subject, form.GrantID, form.RequestedBy = opReturnToService, a.Subject, a.GrantID, a.RequestedBy
	form.InstanceID, form.Incarnation = a.InstanceID, a.Incarnation
}

func (a Resume) encode(form *commandForm) {
	form.Op, form.Subject, form.RequestedBy = opResume, a.Subject, a.RequestedBy
}

func (a WriteOff) encode(form *commandForm) {
	form.Op, form.Subject, form.RequestedBy, form.Reason = opWriteOff, a.Subject, a.RequestedBy, a.Reason
}

func (a Register) encode(form *commandForm) {
	form.Op, form.Nodes = opRegister, a.Nodes
}

func (a ReportQuiesced) encode(form *commandForm) {
	form.Op, form.GrantID, form.Nodes = opReportQuiesced, a.GrantID, a.Nodes
}

func (a Configure) encode(form *commandForm) {
	form.Op, form.Budgets, form.RequestedBy = opConfigure, a.Budgets, a.RequestedBy
}

func (a Revoke) encode(form *commandForm) {
	form.Op, form.Subject, form.RequestedBy, form.Reason = opRevoke, a.Subject, a.RequestedBy, a.Reason
}

func (a MarkUnhealthy) encode(form *commandForm) {
	form.Op, form.Unhealthy = opMarkUnhealthy, a.Nodes
}

func (a unknownAction) encode(form *commandForm) { form.Op = a.op }
