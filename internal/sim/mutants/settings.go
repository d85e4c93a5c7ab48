package mutants

const (
	revising   = "internal/fleet/revision/core.go"
	revisions  = "internal/fleet/revision/revision.go"
	agreeing   = "internal/fleet/council/settings.go"
	inRevision = "internal/fleet/revision"
	inCouncil  = "internal/fleet/council"
)

// Settings lists the mutants of the fleet's settings.
var Settings = []CouncilMutant{
	{Mutant{"earlier-revision-heeded", "what is held never goes back", []Change{{revising, "	if r.ID.Compare(k.head.ID) <= 0 {\n		return\n	}\n", ""}, {revising, "	case c > 0 && h.Size > 0", "	case c != 0 && h.Size > 0"}, {revising, "	case c < 0 || c == 0 && fresh:\n", "	case c == 0 && fresh:\n"}}}, inRevision, "TestEarlier"},
	{Mutant{"sum-not-looked-at", "what is in force is whole", []Change{{revising, "	if SumOf(f.buf) != sum {", "	if false {"}}}, inViews, "TestSettingsScenarios/handed-over-damaged"},
	{Mutant{"base-not-looked-at", "no change undoes another unseen", []Change{{revisions, "	case c.Op == Set && c.Base != now:", "	case false:"}}}, inRevision, "TestState"},
	{Mutant{"nothing-adopted", "a new group goes by what nodes hold", []Change{{agreeing, "	if k.m.setting.Current != nil || k.heardAll() {\n", "	if false {\n"}, {agreeing, "	return k.lacks() != nil || ", "	return "}}}, inViews, "TestSettingsScenarios/all-seats-come-back-empty"},
	{Mutant{"decided-before-hearing", "a new group goes by what nodes hold", []Change{{agreeing, "	return k.lacks() != nil || k.m.setting.Current == nil && !k.heardAll()", "	return false"}}}, inViews, "TestSettingsScenarios/asked-while-all-seats-come-back-empty"},
	{Mutant{"groups-not-ordered", "a later group's revisions come after an earlier one's", []Change{{revisions, "cmp.Or(i.Group.Compare(o.Group), cmp.Compare(i.No, o.No))", "cmp.Or(cmp.Compare(i.No, o.No), o.Group.Compare(i.Group))"}}}, inRevision, "TestIDs"},
	{Mutant{"nobody-told-of-what-was-fetched", "a change is everywhere within seconds", []Change{{revising, "	k.hot, k.fresh = hotRounds, freshTells\n", ""}}}, inViews, "TestSettingsSpread/128"},
	{Mutant{"never-another-source", "a source goes", []Change{{revising, "		f.turn = (f.turn%n + 1 + k.rnd.IntN(n-1)) % n\n", ""}}}, inRevision, "TestSources"},
	{Mutant{"fetched-for-ever", "a source goes", []Change{{revising, "bool { return k.now >= f.until })", "bool { return !f.held && k.now >= f.until })"}}}, inRevision, "TestSources"},
	{Mutant{"restored-without-settings", "a seat that is filled has the settings", []Change{{"internal/fleet/council/machine.go", "k.Permits, k.Release, k.Setting, k.Index", "k.Permits, k.Release, revision.State{}, k.Index"}}}, inCouncil, "TestSnapshotHasSettings"},
	{Mutant{"late-word-overwrites", "what is in force never goes back", []Change{{revising, "	case id.Compare(k.force) > 0: //", "	default: //"}}}, inRevision, "TestApplied"},
	{Mutant{"each-part-asks-for-eight", "a long body is sent once", []Change{{revising, "slices.Index(f.have, false) > f.upto", "slices.Index(f.have, false) > i"}}}, inRevision, "TestWindows"},
}
