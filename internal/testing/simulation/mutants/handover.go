package mutants

const (
	messageFile = "internal/handover/clocks.go"
	inNode      = "internal/node"
	inHandover  = "internal/handover"
)

// timesNotMoved leaves what another process tells dated by that process's clock.
var timesNotMoved = []Change{{
	File:        messageFile,
	Original:    "	return (own.Balancer - own.Monotonic) - (c.Balancer - c.Monotonic)\n",
	Replacement: "	return 0\n",
}}

// Handover lists the mutants of handovers between two processes of a node.
var Handover = []ControlPlaneMutant{
	{
		Mutant:  Mutant{Name: "times-not-moved", Breaks: "times between two balancers' clocks", Changes: timesNotMoved},
		Package: inHandover, Test: "TestOffsetBetweenClocks",
	},
	{
		Mutant:  Mutant{Name: "times-not-moved-in-a-node", Breaks: "times between two balancers' clocks", Changes: timesNotMoved},
		Package: inNode, Test: "TestTimesFromAnotherBalancersClock",
	},
}
