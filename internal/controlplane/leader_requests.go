package controlplane

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rejection"
	"swiftdeal/internal/controlplane/rollout"
)

// Leader: it checks operators' requests and translates them into commands.

// Reasons for rejecting an operator's request before it is proposed. A *rejection.Error wraps them, for use with errors.Is.
var (
	ErrUnknownOperation = errors.New("unknown operation")
	ErrUnknownWorker    = errors.New("unknown worker")
	ErrNoSettings       = errors.New("the fleet has no settings")
	ErrNoBaseVersion    = errors.New("no base version is named")
	ErrNoEarlierVersion = errors.New("no earlier version of settings is known")
	ErrInvalidSettings  = errors.New("settings missing or too large")
)

// decision is the leader's decision on an operator's request. If both fields are nil it cannot be made yet, and the node retries.
type decision struct {
	command *logCommand // command to propose
	result  *Result     // result without a command; the node gets it when it retries
}

// operatorResult handles an operator's request. It returns the result, or nil if there is none yet and the node has to wait.
func (a *Agent) operatorResult(from string, poll *pollRequest) *Result {
	if last := a.leader.lastResults[from]; last.seq == poll.Seq {
		return &last.result
	}
	decided, err := a.decide(from, poll.Operator)
	switch {
	case err != nil:
		return &Result{Text: err.Error()}
	case decided.result != nil:
		a.leader.lastResults[from] = finishedRequest{poll.Seq, *decided.result}
	case decided.command != nil:
		pending := pendingProposal{subject: fmt.Sprintf("call %s %d", from, poll.Seq), node: from, request: poll}
		a.propose(pending, decided.command)
	}
	return nil
}

// decide returns the decision on an operator's request, or the error with which it is rejected.
func (a *Agent) decide(from string, request *OperatorRequest) (decision, error) {
	requestedBy := cmp.Or(request.RequestedBy, "operator at "+from)
	subject := disruption.Subject{Kind: request.SubjectKind, Name: request.Name}
	switch request.Operation {
	case OperationDrain:
		return a.decideDrain(subject, request, requestedBy)
	case OperationResume:
		return newGrantDecision(disruption.Resume{Subject: subject, RequestedBy: requestedBy}, nil), nil
	case OperationWriteOff:
		writeOff := disruption.WriteOff{Subject: subject, RequestedBy: requestedBy, Reason: request.Reason}
		return newGrantDecision(writeOff, nil), nil
	case OperationReplace:
		return a.decideReplace(request)
	case OperationStartRelease, OperationPauseRelease, OperationContinueRelease, OperationHaltRelease, OperationRollBackRelease:
		action := a.releaseAction(request, requestedBy)
		return decision{command: &logCommand{Rollout: &rollout.Command{Action: action, RequestedBy: requestedBy}}}, nil
	case OperationSetSettings, OperationRevertSettings:
		return a.decideSettings(from, request, requestedBy)
	}
	return decision{}, rejection.New(ErrUnknownOperation, "no call %q", request.Operation)
}

// newGrantDecision returns the decision to propose a command on grants.
func newGrantDecision(action disruption.Action, observed *disruption.Observed) decision {
	return decision{command: &logCommand{Disruption: &disruption.Command{Action: action, Observed: observed}}}
}

func (a *Agent) decideDrain(subject disruption.Subject, request *OperatorRequest, requestedBy string) (decision, error) {
	wanted := disruption.Request{Subject: subject, Priority: request.Priority, RequestedBy: requestedBy, Reason: request.Reason}
	if subject.Kind == disruption.KindWorker {
		i := slices.IndexFunc(a.local.Workers, func(worker WorkerStatus) bool { return worker.ID == subject.Name })
		if i < 0 {
			return decision{}, rejection.New(ErrUnknownWorker, "%v is not in the list of workers", subject)
		}
		wanted.Site = a.local.Workers[i].Site
		wanted.VersionOrKind = a.local.Workers[i].Kind
	}
	return newGrantDecision(disruption.RequestGrant{Request: wanted}, a.observe()), nil
}

// decideReplace replaces a replica. This needs no command of the state machine: it is a change of the consensus group's configuration.
func (a *Agent) decideReplace(request *OperatorRequest) (decision, error) {
	old, replacement := request.Name, request.Reason
	if err := a.consensus.Replace(old, replacement); err != nil {
		return decision{}, err
	}
	return decision{result: &Result{OK: true, Text: replacement + " takes the place of " + old}}, nil
}

// releaseAction returns the rollout action for an operation on releases.
func (a *Agent) releaseAction(request *OperatorRequest, requestedBy string) rollout.Action {
	switch request.Operation {
	case OperationStartRelease:
		return a.startAction(request.Plan)
	case OperationPauseRelease:
		return rollout.Pause{}
	case OperationContinueRelease:
		return rollout.Continue{}
	case OperationHaltRelease:
		return rollout.Halt{Reason: cmp.Or(request.Reason, "by "+requestedBy)}
	}
	return rollout.RollBack{}
}

// startAction returns the action that starts a release on all registered nodes, with their request counts so far as the baseline.
func (a *Agent) startAction(plan *rollout.Plan) rollout.Start {
	start := rollout.Start{
		Plan:       plan,
		Nodes:      map[string]rollout.NodeInfo{},
		Baseline:   map[string]rollout.Count{},
		UpdateLast: a.config.Replicas,
	}
	for name, member := range a.state.disruption.Members {
		start.Nodes[name] = rollout.NodeInfo{Site: member.Site, Version: member.Version}
	}
	for _, poll := range a.leader.lastPolls {
		for class, count := range poll.request.RequestCounts {
			start.Baseline[class] = start.Baseline[class].Add(count)
		}
	}
	return start
}
