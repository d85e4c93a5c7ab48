package mutants

const (
	holding = "internal/fleet/member/hold.go"
	taking  = "internal/fleet/member/take.go"
	steps   = "internal/fleet/member/step.go"
	viewing = "internal/fleet/member/member.go"
)

// FleetMutant is a planted fault in the view of the fleet, with the scenario of internal/sim/views that has to fail.
type FleetMutant struct {
	Mutant
	Scenario string
}

// Fleet lists the mutants of the view.
var Fleet = []FleetMutant{
	{Mutant{"suspicion-without-end", "a crash is known to all", []Change{{steps, "			k.bury(p, wire.Dead, 0, \"did not refute in time\", k.self.Name)\n", ""}}}, "crash-is-seen"},
	{Mutant{"no-refutation", "who was held for dead returns", []Change{{holding, "	k.self.Inc++\n	k.counts.Refutations++\n", "	k.counts.Refutations++\n"}}}, "stopped-for-long"},
	{Mutant{"no-helpers", "a one-way cut costs nobody its life", []Change{{steps, "k.some(k.helpers(q), q.p)", "k.some(0, q.p)"}}}, "one-way-cut"},
	{Mutant{"the-dead-left-alone", "two halves find one another", []Change{{steps, "	for range min(most, len(to)) {", "	for range min(most, 0*len(to)) {"}}}, "split-in-two"},
	{Mutant{"earlier-life-taken", "incarnations never go back", []Change{{holding, "	case r.Inc > p.inc || r.Inc == p.inc && r.Life > p.life:\n", "	case true:\n"}}}, "twin"},
	{Mutant{"the-dead-forgotten-at-once", "an old datagram brings nobody back", []Change{{steps, "k.now-p.since >= k.c.Forget", "k.now-p.since >= 0"}}}, "crash-is-seen"},
	{Mutant{"leaves-without-a-word", "who has left is not suspected", []Change{{viewing, "	k.self.Inc++\n	k.reword()\n	k.tell(k.self.Name, true)\n	k.tell(k.self.Name, false)\n", "	return\n"}}}, "left-is-not-suspected"},
	{Mutant{"sleeper-trusts-itself", "a process that stood still buries nobody", []Change{{steps, "	if k.wake == 0 || late <= k.c.Period/2 {", "	if true {"}}}, "TestSleeper"},
	{Mutant{"restart-not-outbid", "a restarted node outranks its earlier life", []Change{{holding, "	if r.Addr == k.self.Addr || gone {\n", "	if false && gone {\n"}}}, "killed-again-and-again"},
	{Mutant{"namesakes-outbid-for-ever", "two processes under one name do not oscillate", []Change{{holding, "	if r.Addr == k.self.Addr || gone {\n", "	if true || gone {\n"}}}, "twin"},
	{Mutant{"members-without-bound", "memory is bounded", []Change{{holding, "if len(k.list)+1 >= k.c.Most && !k.makeRoom() || r.Inc > jump<<20 {", "if r.Inc > jump<<20 {"}}}, "TestBound"},
	{Mutant{"no-summaries", "views meet again", []Change{{taking, "	if k.now-k.lastSync < k.c.Period/2 && lo == 0 {", "	if true {"}}}, "liar"},
	{Mutant{"replacement-taken-for-a-twin", "two processes of one node are one member", []Change{{holding, "	} else if old.Addr != r.Addr {\n", "	} else {\n"}}}, "replaced"},
	{Mutant{"any-lie-believed", "a lie costs a bounded number of incarnations", []Change{
		{holding, "	if c.Inc-p.inc > jump {\n", "	if false {\n"}, {holding, "	if c.Inc-k.self.Inc > jump {\n", "	if false {\n"}}}, "liar"},
	{Mutant{"one-accuser-is-enough", "the living are not held for dead on a bad network", []Change{{viewing, "	return k.periods(k.c.Suspicion * max(1, math.Log10(float64(k.there+1))))", "	return k.periods(0.2)"}}}, "loss-and-jitter"},
	{Mutant{"old-accusations-hold", "a refutation holds", []Change{{holding, "	if p == nil || c.Life != p.life || c.Inc < p.inc {\n", "	if p == nil || c.Life != p.life {\n		return\n	}\n	if c.Status == wire.Suspect && c.Inc < p.inc {\n		c.Inc = p.inc\n	}\n	if c.Inc < p.inc {\n"}}}, "split-in-two"},
}
