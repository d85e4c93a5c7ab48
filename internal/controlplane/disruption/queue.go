package disruption

import (
	"cmp"
	"slices"
)

// Request is a request for a grant.
type Request struct {
	Subject
	Priority      int    `cbor:"3,keyasint,omitempty" json:"priority"` // higher values are served first
	RequestedBy   string `cbor:"4,keyasint,omitempty" json:"by"`
	Reason        string `cbor:"5,keyasint,omitempty" json:"why"`
	ReleaseID     string `cbor:"6,keyasint,omitempty" json:"release,omitempty"` // the release that the request belongs to
	TargetVersion string `cbor:"7,keyasint,omitempty" json:"target,omitempty"`  // the version that the node is to run when it returns
	Site          string `cbor:"8,keyasint,omitempty" json:"site,omitempty"`
	VersionOrKind string `cbor:"9,keyasint,omitempty" json:"of,omitempty"` // a node's version, a worker's kind
}

// PendingRequest is a request that has not been granted yet.
type PendingRequest struct {
	Request
	ID         uint64 `cbor:"20,keyasint" json:"no"` // the index of its command in the log
	AtMs       int64  `cbor:"21,keyasint,omitempty" json:"at_ms"`
	Overtaken  int    `cbor:"22,keyasint,omitempty" json:"passed"` // how often a later request was granted before this one
	WaitReason string `cbor:"23,keyasint,omitempty" json:"waits_for"`
}

const (
	maxPendingRequests  = 256
	defaultMaxOvertakes = 8
	overtakenTooOften   = -1 << 30 // ranks before all priorities
)

// A grant's ID is the index of its command in the log, followed by the low bits of the number of grants held at that time.
const (
	grantCountBits = 8
	grantCountMask = 0xff
)

// RequestOf returns the pending request of a subject; nil if it has none.
func (s *State) RequestOf(subject Subject) *PendingRequest {
	for _, request := range s.Queue {
		if request.Subject == subject {
			return request
		}
	}
	return nil
}

func (s *State) removeRequest(subject Subject) {
	s.Queue = slices.DeleteFunc(s.Queue, func(request *PendingRequest) bool { return request.Subject == subject })
}

// apply adds a request to the queue, unless its subject already has a request or a grant.
func (a RequestGrant) apply(s *State, at logPosition) (Result, error) {
	request := a.Request
	if request.Name == "" {
		return reject(ErrInvalid, "nobody is named")
	}
	if grant := s.GrantOf(request.Subject); grant != nil {
		if grant.Phase == PhaseReturning {
			return reject(ErrWrongPhase, "%v is on its way back; ask again once it is", request.Subject)
		}
		return Result{}, nil
	}
	if pending := s.RequestOf(request.Subject); pending != nil {
		pending.Priority = max(pending.Priority, request.Priority)
		return Result{}, nil
	}
	if request.Kind == KindNode {
		member := s.Members[request.Name]
		if member == nil {
			return reject(ErrUnknownSubject, "%v is not known to the council", request.Subject)
		}
		request.Site = member.Site
		request.VersionOrKind = member.Version
	}
	if len(s.Queue) >= maxPendingRequests {
		return reject(ErrLimitReached, "%d requests wait already", len(s.Queue))
	}
	s.Queue = append(s.Queue, &PendingRequest{Request: request, ID: at.index, AtMs: at.atMs})
	s.RecordHistory(at.index, at.atMs, "asked", request.Subject.String(), request.RequestedBy, request.Reason)
	return Result{}, nil
}

// requestOutcome returns the result of a subject's request after pending requests were evaluated.
func (s *State) requestOutcome(subject Subject) Result {
	if grant := s.GrantOf(subject); grant != nil {
		return Result{GrantID: grant.ID, Text: "granted"}
	}
	if pending := s.RequestOf(subject); pending != nil {
		return Result{Text: "waits: " + pending.WaitReason}
	}
	return Result{}
}

// servingOrder returns the queue in the order in which it is served: first the requests that were overtaken too often, then by
// priority, then by arrival.
func (s *State) servingOrder() []*PendingRequest {
	maxOvertakes := s.Budgets.maxOvertakes()
	rank := func(request *PendingRequest) int {
		if request.Overtaken >= maxOvertakes {
			return overtakenTooOften
		}
		return -request.Priority
	}
	order := slices.Clone(s.Queue)
	slices.SortStableFunc(order, func(a, b *PendingRequest) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID))
	})
	return order
}

// grantPending grants pending requests in serving order as far as the budgets allow. Others may overtake a request that cannot
// be granted, but only MaxOvertakes times. After that, requests of the same kind behind it wait, so that it does not starve.
func (s *State) grantPending(index uint64, atMs int64) {
	maxOvertakes := s.Budgets.maxOvertakes()
	var waiting []*PendingRequest
	blocked := map[SubjectKind]string{} // why requests of a kind wait even if the budgets allow them
	for _, request := range s.servingOrder() {
		switch {
		case request.ReleaseID != "" && request.ReleaseID == s.BlockedRelease:
			request.WaitReason = "its release is halted"
			continue
		case blocked[request.Kind] != "":
			request.WaitReason = blocked[request.Kind]
			continue
		}
		request.WaitReason = s.blockingBudget(&request.Request)
		if request.WaitReason == "" {
			s.grant(request, index, atMs)
			countOvertaken(waiting, request)
			continue
		}
		waiting = append(waiting, request)
		if request.Overtaken >= maxOvertakes {
			blocked[request.Kind] = "for " + request.Subject.String() + ", which was passed too often"
		}
	}
}

// grant turns a pending request into a grant.
func (s *State) grant(request *PendingRequest, index uint64, atMs int64) {
	s.Queue = slices.DeleteFunc(s.Queue, func(other *PendingRequest) bool { return other == request })
	grant := &Grant{Request: request.Request, ID: s.newGrantID(index), AtMs: atMs}
	if request.Kind == KindWorker {
		// Workers do not confirm: from now on the nodes are told to drain the worker.
		grant.Phase = PhaseConfirmed
		grant.PendingNodes = sortedKeys(s.Members)
		grant.Quiesced = len(grant.PendingNodes) == 0
	}
	s.Grants = append(s.Grants, grant)
	s.RecordHistory(index, atMs, "granted", request.Subject.String(), request.RequestedBy, request.Reason)
}

// newGrantID returns an unused ID derived from the index of the command. A command may issue several grants, so the index alone
// is not unique.
func (s *State) newGrantID(index uint64) uint64 {
	id := index<<grantCountBits | uint64(len(s.Grants)&grantCountMask)
	for s.grantByID(id) != nil {
		id++
	}
	return id
}

// countOvertaken increments Overtaken of each waiting request of the same kind that arrived before the granted one.
func countOvertaken(waiting []*PendingRequest, granted *PendingRequest) {
	for _, request := range waiting {
		if request.Kind == granted.Kind && request.ID < granted.ID {
			request.Overtaken++
		}
	}
}
