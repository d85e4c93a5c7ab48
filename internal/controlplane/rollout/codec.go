package rollout

import "swiftdeal/internal/membership/codec"

// op identifies the action in a command's encoded form.
type op uint8

// The numbers are stored in logs and must never be reused or reassigned.
const (
	opStart op = 1 + iota
	opPause
	opContinue
	opHalt
	opRollBack
	opNextBatch
	opPassGate
	opRemoveNode
	opMarkUnhealthy
)

// commandForm is the encoded form of every command. Which fields are used depends on Op.
type commandForm struct {
	Op          op                  `cbor:"1,keyasint"`
	AtMs        int64               `cbor:"2,keyasint,omitempty"`
	RequestedBy string              `cbor:"3,keyasint,omitempty"`
	Reason      string              `cbor:"4,keyasint,omitempty"`
	Plan        *Plan               `cbor:"5,keyasint,omitempty"`
	Nodes       map[string]NodeInfo `cbor:"6,keyasint,omitempty"`
	Baseline    map[string]Count    `cbor:"7,keyasint,omitempty"`
	Batch       int                 `cbor:"8,keyasint,omitempty"`
	ReleaseID   string              `cbor:"9,keyasint,omitempty"`
	Verdict     string              `cbor:"10,keyasint,omitempty"`
	Comparisons []Comparison        `cbor:"11,keyasint,omitempty"`
	Node        string              `cbor:"12,keyasint,omitempty"`
	UpdateLast  []string            `cbor:"14,keyasint,omitempty"`
	Unhealthy   map[string]string   `cbor:"13,keyasint,omitempty"`
}

// MarshalCBOR encodes the command as a commandForm.
func (c Command) MarshalCBOR() ([]byte, error) {
	form := commandForm{AtMs: c.AtMs, RequestedBy: c.RequestedBy, ReleaseID: c.ReleaseID}
	c.Action.encode(&form)
	return codec.Encode(form), nil
}

// UnmarshalCBOR decodes a command. A command written by a later version decodes as an unknown action, which State.Apply rejects.
func (c *Command) UnmarshalCBOR(encoded []byte) error {
	var form commandForm
	if err := codec.Decode(encoded, &form); err != nil {
		return err
	}
	*c = Command{AtMs: form.AtMs, RequestedBy: form.RequestedBy, ReleaseID: form.ReleaseID, Action: form.action()}
	return nil
}

func (form *commandForm) action() Action {
	switch form.Op {
	case opStart:
		return Start{Plan: form.Plan, Nodes: form.Nodes, Baseline: form.Baseline, UpdateLast: form.UpdateLast}
	case opPause:
		return Pause{}
	case opContinue:
		return Continue{}
	case opHalt:
		return Halt{Reason: form.Reason, Comparisons: form.Comparisons, Unhealthy: form.Unhealthy}
	case opRollBack:
		return RollBack{}
	case opNextBatch:
		return NextBatch{Batch: form.Batch}
	case opPassGate:
		return PassGate{Batch: form.Batch, Verdict: form.Verdict, Comparisons: form.Comparisons}
	case opRemoveNode:
		return RemoveNode{Node: form.Node}
	case opMarkUnhealthy:
		return MarkUnhealthy{Nodes: form.Unhealthy}
	}
	return unknownAction{op: form.Op}
}

func (a Start) encode(form *commandForm) {
	form.Op, form.Plan, form.Nodes, form.Baseline, form.UpdateLast = opStart, a.Plan, a.Nodes, a.Baseline, a.UpdateLast
}

func (Pause) encode(form *commandForm) { form.Op = opPause }

func (Continue) encode(form *commandForm) { form.Op = opContinue }

func (a Halt) encode(form *commandForm) {
	form.Op, form.Reason, form.Comparisons, form.Unhealthy = opHalt, a.Reason, a.Comparisons, a.Unhealthy
}

func (RollBack) encode(form *commandForm) { form.Op = opRollBack }

func (a NextBatch) encode(form *commandForm) {
	form.Op, form.Batch = opNextBatch, a.Batch
}

func (a PassGate) encode(form *commandForm) {
	form.Op, form.Batch, form.Verdict, form.Comparisons = opPassGate, a.Batch, a.Verdict, a.Comparisons
}

func (a RemoveNode) encode(form *commandForm) {
	form.Op, form.Node = opRemoveNode, a.Node
}

func (a MarkUnhealthy) encode(form *commandForm) {
	form.Op, form.Unhealthy = opMarkUnhealthy, a.Nodes
}

func (a unknownAction) encode(form *commandForm) { form.Op = a.op }
