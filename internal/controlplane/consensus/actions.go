package consensus

import "fmt"

// Action is an instruction to the host: a PersistAction or a SendAction. The host carries actions out in order.
type Action interface{ isAction() }

// PersistAction asks the host to persist State before it carries out any later action. The entries of State follow or replace
// those persisted earlier; see PersistentState.Merge.
type PersistAction struct{ State *PersistentState }

// SendAction asks the host to send Payload as a datagram to the node Recipient. The datagram may be lost.
type SendAction struct {
	Recipient string
	Payload   []byte
}

func (PersistAction) isAction() {}
func (SendAction) isAction()    {}

// AppliedCommand is a committed command that the state machine has executed.
type AppliedCommand struct {
	Index      uint64
	ProposalID uint64 // as returned by Propose; 0 if another replica has proposed the command
	Result     any    // as returned by StateMachine.Apply
}

// maxLogLines bounds the log lines that the host has not taken yet; further ones are dropped.
const maxLogLines = 64

// output collects actions, applied commands and log lines until the host takes them.
type output struct {
	actions  []Action
	applied  []AppliedCommand
	logLines []string
}

func (o *output) emit(action Action) { o.actions = append(o.actions, action) }

func (o *output) logf(format string, args ...any) {
	if len(o.logLines) < maxLogLines {
		o.logLines = append(o.logLines, fmt.Sprintf(format, args...))
	}
}

// TakeActions returns the actions since the last call.
func (r *Replica) TakeActions() []Action {
	actions := r.out.actions
	r.out.actions = nil
	return actions
}

// TakeApplied returns the commands that were executed since the last call.
func (r *Replica) TakeApplied() []AppliedCommand {
	applied := r.out.applied
	r.out.applied = nil
	return applied
}

// TakeLogLines returns the log lines since the last call, for the log of the host.
func (r *Replica) TakeLogLines() []string {
	lines := r.out.logLines
	r.out.logLines = nil
	return lines
}
