package disruption

// Command is a log entry of the control plane about nodes and workers that leave service. Its encoded form is in codec.go.
type Command struct {
	AtMs     int64     // Unix time in milliseconds on the leader's wall clock; for display only, no decision depends on it
	Observed *Observed // by the leader when it proposed the command; if nil, pending requests are not evaluated
	Action   Action
}

// Action is what a command does. The types that implement it are in this file.
type Action interface {
	// apply changes the state, or returns a *rejection.Error and leaves the state unchanged.
	apply(s *State, at logPosition) (Result, error)
	// encode sets the fields that the action uses in the command's encoded form.
	encode(form *commandForm)
}

// logPosition is a command's place in the log.
type logPosition struct {
	index    uint64
	atMs     int64
	observed bool // the command carries an observation
}

// Reevaluate evaluates pending requests again with a new observation.
type Reevaluate struct{}

// RequestGrant requests a grant. A repeated request keeps its place in the queue and gets the higher of both priorities.
type RequestGrant struct {
	Request Request
}

// ConfirmExit is sent by a node immediately before it leaves service. Once the command is accepted, the exit may have begun.
type ConfirmExit struct {
	Subject     Subject
	GrantID     uint64
	InstanceID  uint64
	Incarnation uint64
}

// ReturnToService ends a grant: a node reports that it is back in service, or the leader observes that a worker is.
type ReturnToService struct {
	Subject     Subject
	GrantID     uint64
	InstanceID  uint64 // set for nodes only
	Incarnation uint64 // set for nodes only
	RequestedBy string
}

// Resume withdraws a subject's request or unconfirmed grant. If the grant was confirmed, it asks the subject to return to
// service.
type Resume struct {
	Subject     Subject
	RequestedBy string
}

// WriteOff declares that a subject is permanently gone, so that it counts against no budget until it registers again.
type WriteOff struct {
	Subject     Subject
	RequestedBy string
	Reason      string
}

// Register registers processes that have polled the leader and run according to its membership view, each under its node name.
type Register struct {
	Nodes []NamedMember
}

// ReportQuiesced reports that nodes no longer send anything to a drained worker.
type ReportQuiesced struct {
	GrantID uint64
	Nodes   []NamedMember // only their names and instance IDs are used
}

// Configure replaces the budgets.
type Configure struct {
	Budgets     *Budgets
	RequestedBy string
}

// Revoke withdraws an unconfirmed grant.
type Revoke struct {
	Subject     Subject
	RequestedBy string
	Reason      string
}

// MarkUnhealthy marks nodes that count as unavailable although they are in service, each with a reason. An empty reason removes
// a node's mark.
type MarkUnhealthy struct {
	Nodes map[string]string
}

// unknownAction is an action that only a later version of the program knows. It is always rejected.
type unknownAction struct {
	op op
}

func (Reevaluate) apply(*State, logPosition) (Result, error) { return Result{}, nil }

func (a Configure) apply(s *State, at logPosition) (Result, error) {
	if a.Budgets == nil {
		return reject(ErrInvalid, "no budgets are given")
	}
	s.Budgets = *a.Budgets
	s.RecordHistory(at.index, at.atMs, "budgets", s.Budgets.historyText(), a.RequestedBy, "")
	return Result{}, nil
}

func (a MarkUnhealthy) apply(s *State, _ logPosition) (Result, error) {
	for name, reason := range a.Nodes {
		switch {
		case reason == "":
			delete(s.Unhealthy, name)
		case s.Members[name] != nil:
			s.Unhealthy[name] = reason
		}
	}
	return Result{}, nil
}

func (a unknownAction) apply(*State, logPosition) (Result, error) {
	return reject(ErrUnknownCommand, "a command that this version does not know (%d)", a.op)
}
