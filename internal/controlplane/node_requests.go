package controlplane

import (
	"slices"
	"time"

	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rollout"
)

// Node: it sends operators' requests to the leader and retries until it gets a result.

// requestPeriods is the number of periods for which an operator's request is retried.
const requestPeriods = 20

// Operation is the kind of an operator's request.
type Operation string

// Operations. The comment after each lists the fields of OperatorRequest that it uses besides RequestedBy and Reason.
const (
	OperationDrain           Operation = "drain"         // SubjectKind, Name, Priority
	OperationResume          Operation = "resume"        // SubjectKind, Name
	OperationWriteOff        Operation = "write-off"     // SubjectKind, Name
	OperationReplace         Operation = "replace"       // Name: the replica's node; Reason: the node that replaces it
	OperationStartRelease    Operation = "release-start" // Plan
	OperationPauseRelease    Operation = "release-pause"
	OperationContinueRelease Operation = "release-go"
	OperationHaltRelease     Operation = "release-halt"
	OperationRollBackRelease Operation = "release-back"
	OperationSetSettings     Operation = "settings-set"  // BaseVersion, SettingsBody
	OperationRevertSettings  Operation = "settings-back" // BaseVersion, AtMs
)

// OperatorRequest is a request of an operator to the control plane. It may be submitted at any node.
type OperatorRequest struct {
	Operation    Operation              `cbor:"1,keyasint" json:"op"`
	SubjectKind  disruption.SubjectKind `cbor:"2,keyasint,omitempty" json:"kind"`
	Name         string                 `cbor:"3,keyasint,omitempty" json:"name"`
	RequestedBy  string                 `cbor:"4,keyasint,omitempty" json:"by"`
	Reason       string                 `cbor:"5,keyasint,omitempty" json:"why"`
	Priority     int                    `cbor:"6,keyasint,omitempty" json:"priority"`
	Plan         *rollout.Plan          `cbor:"7,keyasint,omitempty" json:"plan,omitempty"`
	BaseVersion  *configversion.ID      `cbor:"8,keyasint,omitempty" json:"base,omitempty"` // version to be replaced
	SettingsBody *BodyReference         `cbor:"9,keyasint,omitempty" json:"-"`
	AtMs         int64                  `cbor:"10,keyasint,omitempty" json:"at,omitempty"` // Unix time, informational
}

// Result is the outcome of an operator's request or of a log command.
type Result struct {
	OK      bool              `cbor:"1,keyasint,omitempty" json:"ok"`
	Number  uint64            `cbor:"2,keyasint,omitempty" json:"no,omitempty"` // of the grant or of the version of settings
	Text    string            `cbor:"3,keyasint,omitempty" json:"text"`         // human-readable
	Version *configversion.ID `cbor:"4,keyasint,omitempty" json:"revision,omitempty"`
}

// OperatorReply is the result of the request that was submitted under Ticket.
type OperatorReply struct {
	Ticket uint64
	Result
}

// pendingRequest is an operator's request without a result so far.
type pendingRequest struct {
	ticket    uint64
	request   *OperatorRequest
	seq       uint64 // sequence number of all its polls; 0 if none was sent
	expiresAt time.Duration
	retryAt   time.Duration
}

// requestTracker holds operators' requests until their results arrive, and the results until the host takes them.
type requestTracker struct {
	pending    []*pendingRequest
	replies    []OperatorReply
	lastTicket uint64
}

func (t *requestTracker) newTicket() uint64 {
	t.lastTicket++
	return t.lastTicket
}

// nextRetryAt returns when the next request is due, but no later than latest.
func (t *requestTracker) nextRetryAt(latest time.Duration) time.Duration {
	for _, p := range t.pending {
		latest = min(latest, p.retryAt)
	}
	return latest
}

// finish completes the pending request with the given sequence number, if there is one.
func (t *requestTracker) finish(seq uint64, result Result) {
	i := slices.IndexFunc(t.pending, func(p *pendingRequest) bool { return p.seq == seq })
	if i < 0 {
		return
	}
	t.reply(t.pending[i].ticket, result)
	t.pending = slices.Delete(t.pending, i, i+1)
}

func (t *requestTracker) reply(ticket uint64, result Result) {
	t.replies = append(t.replies, OperatorReply{Ticket: ticket, Result: result})
}

// Submit submits an operator's request to the control plane. TakeReplies returns the result with the same ticket.
func (a *Agent) Submit(now time.Duration, request OperatorRequest) (ticket uint64) {
	a.now = max(a.now, now)
	ticket = a.requests.newTicket()
	a.requests.pending = append(a.requests.pending, &pendingRequest{
		ticket: ticket, request: &request, expiresAt: a.now + requestPeriods*a.config.Period, retryAt: a.now,
	})
	a.scheduleStep()
	return ticket
}

// TakeReplies returns and clears the results of operators' requests.
func (a *Agent) TakeReplies() []OperatorReply {
	replies := a.requests.replies
	a.requests.replies = nil
	return replies
}

// retryRequests resends the pending requests that are due, and fails those that have expired.
func (a *Agent) retryRequests() {
	for _, p := range slices.Clone(a.requests.pending) {
		switch {
		case a.now >= p.expiresAt:
			a.requests.reply(p.ticket, Result{Text: "the council has not answered: " + a.UnavailableReason()})
			a.requests.pending = slices.DeleteFunc(a.requests.pending, func(other *pendingRequest) bool { return other == p })
		case a.now >= p.retryAt:
			a.sendRequest(p)
		}
	}
}

// sendRequest sends a request in a poll. All polls for a request carry the sequence number of the first, by which the leader recognizes
// retries.
func (a *Agent) sendRequest(p *pendingRequest) {
	poll := a.newPollRequest()
	if p.seq == 0 {
		p.seq = poll.Seq
	}
	poll.Seq = p.seq
	poll.Operator = p.request
	p.retryAt = a.now + a.config.Period/2
	a.sendPollRequest(poll)
}
