package soak

import (
	"swiftdeal/internal/testing/simulation/mutants"
)

// Planted is a fault to build into the program, with a plan under which the soak must report a violation of the invariant.
type Planted struct {
	Name      string
	Invariant string
	Plan      Plan
	Changes   []mutants.Change
}

// Source files in which faults are planted.
const (
	sendCheckFile    = "internal/transport/sendcheck.go"
	headFile         = "internal/transport/head.go"
	dispatchFile     = "internal/dispatch/requests.go"
	attemptsFile     = "internal/dispatch/attempts.go"
	admissionFile    = "internal/admission/admission.go"
	deadlineFile     = "internal/admission/deadline.go"
	ingressFile      = "internal/ingress/conn.go"
	listenFile       = "internal/listen/listener.go"
	balanceAPI       = "balance/api.go"
	balanceAttempts  = "balance/attempt.go"
	balancePlacement = "balance/placement.go"
	slowStartFile    = "balance/slowstart.go"
)

// usualLoad returns a plan with ordinary load and the given faults.
func usualLoad(workMs, rate float64, faults ...Fault) Plan {
	return Plan{Seed: 7, Nodes: 3, Workers: 5, Rate: rate, WorkMs: workMs, LengthMs: 7000, Faults: faults}
}

var (
	// sendCheckDisabled makes the last check before a send pass always, so that faults in the decisions become visible.
	sendCheckDisabled = mutants.Change{
		File: sendCheckFile,
		Original: "	s.transport.monitor.Violated(invariant.RetryAllowed,\n" +
			"		\"id\", s.request.ID, \"attempt\", s.number, \"worker\", s.worker, \"why\", refusal)\n	return false\n",
		Replacement: "	return true\n",
	}
	// resetTakenAsUnsent treats a reset connection as proof that the request never ran.
	resetTakenAsUnsent = mutants.Change{
		File: balanceAPI, Original: "	return r == RejectedBusy ||",
		Replacement: "	return r == ConnectionReset || r == RejectedBusy ||",
	}
)

// AllPlanted lists the planted faults: at least one for each invariant.
var AllPlanted = []Planted{
	{
		Name:      "nobody-answers",
		Invariant: "answer",
		Plan:      usualLoad(100, 40, Fault{Kind: WorkerHang, At: 1500, Length: 7000, Amount: 1}),
		Changes: []mutants.Change{
			{
				File:        dispatchFile,
				Original:    "		open.context.Finish(answer)\n		d.finishRequest(open)\n",
				Replacement: "		d.finishRequest(open)\n",
			},
			{
				File:        deadlineFile,
				Original:    "		if c.Finish(request.Answer{Verdict: request.Failed, Reason: reasonOutOfTime}) {\n",
				Replacement: "		if false {\n",
			},
		},
	},
	{
		Name:      "unsafe-repeated",
		Invariant: "repeat",
		Plan:      usualLoad(150, 40, Fault{Kind: WorkerReset, At: 1000, Length: 5000, Amount: 1}),
		Changes:   []mutants.Change{sendCheckDisabled, resetTakenAsUnsent},
	},
	{
		Name:      "unsafe-repeat-decided",
		Invariant: "own-check",
		Plan:      usualLoad(150, 40, Fault{Kind: WorkerReset, At: 1000, Length: 5000, Amount: 1}),
		Changes:   []mutants.Change{resetTakenAsUnsent},
	},
	{
		Name:      "drain-unheard",
		Invariant: "drain",
		Plan:      usualLoad(150, 60, Fault{Kind: WorkerDrain, At: 1500, Length: 5000, Amount: 0.6}),
		Changes: []mutants.Change{
			{
				File:        balancePlacement,
				Original:    "|| w.Status != Ready || !w.present\n",
				Replacement: "|| !w.present\n",
			},
			{
				File:        sendCheckFile,
				Original:    "	return invariant.WorkerDraining, s.transport.pool.isInService(s.worker)\n",
				Replacement: "	return invariant.WorkerDraining, true\n",
			},
		},
	},
	{
		Name:      "slow-start-ignored",
		Invariant: "slow-start",
		Plan:      usualLoad(1100, 40, Fault{Kind: WorkerKill, At: 1000, Length: 500, Amount: 0.8}),
		Changes: []mutants.Change{
			{
				File:        slowStartFile,
				Original:    "	if factor >= 1 || b.settings.OverloadMultiple <= 0 {\n",
				Replacement: "	if factor >= 0 {\n",
			},
			{
				File:        balanceAttempts,
				Original:    "	b.countSlowStartViolation(w, r)\n",
				Replacement: "",
			},
		},
	},
	{
		Name:      "whole-deadline-told",
		Invariant: "deadline",
		Plan:      usualLoad(200, 40, Fault{Kind: WorkerFail, At: 1000, Length: 5000, Amount: 0.9}),
		Changes: []mutants.Change{
			{
				File:        headFile,
				Original:    "	left = max(time.Until(c.Deadline), time.Millisecond)\n",
				Replacement: "	left = c.Deadline.Sub(c.Arrived)\n",
			},
		},
	},
	{
		Name:      "left-unheard",
		Invariant: "left",
		Plan: usualLoad(
			300, 120,
			Fault{Kind: WorkerHang, At: 1000, Length: 2500, Amount: 0.8},
			Fault{Kind: ClientsLeave, At: 800, Length: 5000, Amount: 0.7},
		),
		Changes: []mutants.Change{
			{
				File: dispatchFile,
				Original: "		if open := d.requests[c.ID]; open != nil && open.context == c && !open.done {\n" +
					"			d.balancer.ClientGone",
				Replacement: "		if open := d.requests[c.ID]; open != nil && false {\n" +
					"			d.balancer.ClientGone",
			},
			{
				File:        attemptsFile,
				Original:    "	if open.isDone() {\n		// Guards",
				Replacement: "	if false {\n		// Guards",
			},
			{
				File:        sendCheckFile,
				Original:    "	if s.ended() {\n		return invariant.RequestEnded, false\n	}\n",
				Replacement: "",
			},
			{
				File:        sendCheckFile,
				Original:    "	if s.request.Client != nil {",
				Replacement: "	if false {",
			},
			{
				File:        sendCheckFile,
				Original:    "	if refusal == \"\" && s.ended() {",
				Replacement: "	if false {",
			},
		},
	},
	{
		Name:      "heads-for-ever",
		Invariant: "rude-client",
		Plan:      usualLoad(100, 20, Fault{Kind: ClientsStop, At: 500, Length: 2500, Amount: 30}),
		Changes: []mutants.Change{
			{
				File:        ingressFile,
				Original:    "	if c.request.idle && !c.head.empty() {",
				Replacement: "	if false && c.request.idle && !c.head.empty() {",
			},
		},
	},
	{
		Name:      "accept-ends",
		Invariant: "process",
		Plan:      usualLoad(100, 40, Fault{Kind: Calls, Syscall: "accept4:error=ENOBUFS:when=8+9"}),
		Changes: []mutants.Change{
			{
				File:        listenFile,
				Original:    "	return errno == syscall.EBADF || ",
				Replacement: "	return errno == syscall.ENOBUFS || errno == syscall.EBADF || ",
			},
		},
	},
	{
		Name:      "requests-never-leave",
		Invariant: "settled",
		Plan:      usualLoad(100, 40),
		Changes: []mutants.Change{
			{
				File:        admissionFile,
				Original:    "		timer.Stop()\n		delete(a.requests, c.ID)\n",
				Replacement: "		timer.Stop()\n",
			},
		},
	},
}
