package mutants

// Files of the view of the fleet.
const (
	viewClock      = "internal/membership/core.go"
	viewUpdates    = "internal/membership/updates.go"
	viewSelf       = "internal/membership/self.go"
	viewConflicts  = "internal/membership/conflict.go"
	viewProbes     = "internal/membership/probe.go"
	viewSuspicions = "internal/membership/suspicion.go"
	viewJoining    = "internal/membership/join.go"
	viewSync       = "internal/membership/antientropy.go"
)

// FleetMutant is a planted fault in the view of the fleet, with the scenario of internal/testing/simulation/fleetsim that has to fail.
type FleetMutant struct {
	Mutant
	Scenario string
}

// Fleet lists the mutants of the view.
var Fleet = []FleetMutant{
	{Mutant{"suspicion-without-end", "a crash is known to all", []Change{
		{viewClock, "			c.markDeparted(p, codec.Dead, 0, \"suspicion timed out\", c.self.record.Name)\n", ""},
	}}, "crash-is-seen"},
	{Mutant{"no-refutation", "who was held for dead returns", []Change{
		{viewSelf, "	self.Incarnation++\n	c.counters.Refutations++\n", "	c.counters.Refutations++\n"},
	}}, "stopped-for-long"},
	{Mutant{"no-helpers", "a one-way cut costs nobody its life", []Change{
		{viewProbes, "c.members.randomActive(helpers, q.target, c.random)", "c.members.randomActive(0, q.target, c.random)"},
	}}, "one-way-cut"},
	{Mutant{"the-dead-left-alone", "two halves find one another", []Change{
		{viewJoining, "	for range min(maxHellos, len(addrs)) {", "	for range min(maxHellos, 0*len(addrs)) {"},
	}}, "split-in-two"},
	{Mutant{"earlier-life-taken", "incarnations never go back", []Change{
		{viewUpdates, "	case record.InstanceID != p.instanceID && !outranks(record.Identity, p.identity()):\n", "	case false:\n"},
	}}, "twin"},
	{Mutant{"the-dead-forgotten-at-once", "an old datagram brings nobody back", []Change{
		{viewClock, "c.now-p.statusSince >= c.config.ForgetAfter", "c.now-p.statusSince >= 0"},
	}}, "crash-is-seen"},
	{Mutant{"leaves-without-a-word", "who has left is not suspected", []Change{
		{viewSelf, "	c.self.record.Incarnation++\n	c.broadcastRecord()\n", "	return\n"},
	}}, "left-is-not-suspected"},
	{Mutant{"sleeper-trusts-itself", "a process that stood still buries nobody", []Change{
		{viewClock, "	if c.nextStepAt == 0 || late <= c.config.Period/2 {", "	if true {"},
	}}, "TestStall"},
	{Mutant{"restart-not-outbid", "a restarted node outranks its earlier life", []Change{
		{viewConflicts, "	if record.Addr == self.Addr || departed {\n", "	if false && departed {\n"},
	}}, "killed-again-and-again"},
	{Mutant{"namesakes-outbid-for-ever", "two processes under one name do not oscillate", []Change{
		{viewConflicts, "	if record.Addr == self.Addr || departed {\n", "	if true || departed {\n"},
	}}, "twin"},
	{Mutant{"members-without-bound", "memory is bounded", []Change{
		{viewUpdates, "	if !c.ensureSpace() || record.Incarnation > maxFirstIncarnation {\n",
			"	if record.Incarnation > maxFirstIncarnation {\n"},
	}}, "TestMaxMembers"},
	{Mutant{"no-summaries", "views meet again", []Change{
		{viewSync, "	if first == 0 && c.now-c.sync.lastAt < c.config.Period/2 {", "	if true {"},
	}}, "liar"},
	{Mutant{"replacement-taken-for-a-twin", "two processes of one node are one member", []Change{
		{viewUpdates, "	} else if old.Addr != record.Addr {\n", "	} else {\n"},
	}}, "replaced"},
	{Mutant{"any-lie-believed", "a lie costs a bounded number of incarnations", []Change{
		{viewUpdates, "	if implausible(claim.Incarnation, p.incarnation) {\n", "	if false {\n"},
		{viewSelf, "	if implausible(claim.Incarnation, self.Incarnation) {\n", "	if false {\n"},
	}}, "liar"},
	{Mutant{"one-accuser-is-enough", "the living are not held for dead on a bad network", []Change{
		{viewSuspicions, "	return c.periods(c.config.SuspicionMult * max(1, math.Log10(float64(c.members.active+1))))",
			"	return c.periods(0.2)"},
	}}, "loss-and-jitter"},
	{Mutant{"old-accusations-hold", "a refutation holds", []Change{
		{viewUpdates, "	if p == nil || claim.InstanceID != p.instanceID || claim.Incarnation < p.incarnation {\n",
			"	if p == nil || claim.InstanceID != p.instanceID {\n		return\n	}\n" +
				"	if claim.Status == codec.Suspect && claim.Incarnation < p.incarnation {\n" +
				"		claim.Incarnation = p.incarnation\n	}\n" +
				"	if claim.Incarnation < p.incarnation {\n"},
	}}, "split-in-two"},
}
