package mutants

const (
	distributorFile  = "internal/controlplane/configversion/distributor.go"
	announceFile     = "internal/controlplane/configversion/announce.go"
	fetchFile        = "internal/controlplane/configversion/fetch.go"
	versionStateFile = "internal/controlplane/configversion/state.go"
	versionFile      = "internal/controlplane/configversion/configversion.go"
	inRevision       = "internal/controlplane/configversion"
	inControlPlane   = "internal/controlplane"
)

// Settings lists the mutants of the fleet's settings.
var Settings = []ControlPlaneMutant{
	{
		Mutant{
			"earlier-revision-heeded", "what is held never goes back",
			[]Change{
				{distributorFile, "	if version.ID.Compare(d.latestHeader.ID) <= 0 {\n		return\n	}\n", ""},
				{announceFile, "	case order > 0 && m.header.Size > 0", "	case order != 0 && m.header.Size > 0"},
				{announceFile, "	case order < 0 || order == 0 && m.wantsReply:\n", "	case order == 0 && m.wantsReply:\n"},
			},
		},
		inRevision, "TestEarlier",
	},
	{
		Mutant{
			"sum-not-looked-at", "what is in force is whole",
			[]Change{{fetchFile, "	case ChecksumOf(f.data) != m.checksum:", "	case false:"}},
		},
		inViews, "TestSettingsScenarios/handed-over-damaged",
	},
	{
		Mutant{
			"base-not-looked-at", "no change undoes another unseen",
			[]Change{{versionStateFile, "	case c.Op == OpSet && c.Base != currentID:", "	case false:"}},
		},
		inRevision, "TestState",
	},
	{
		Mutant{
			"nothing-adopted", "a new group goes by what nodes hold",
			[]Change{
				{leaderSettings, "	if a.state.settings.Current != nil || a.allNodesReported() {\n", "	if false {\n"},
				{leaderSettings, "	return a.missingVersion() != nil || ", "	return "},
			},
		},
		inViews, "TestSettingsScenarios/all-seats-come-back-empty",
	},
	{
		Mutant{
			"decided-before-hearing", "a new group goes by what nodes hold",
			[]Change{
				{
					leaderSettings,
					"	return a.missingVersion() != nil || a.state.settings.Current == nil && !a.allNodesReported()",
					"	return false",
				},
			},
		},
		inViews, "TestSettingsScenarios/asked-while-all-seats-come-back-empty",
	},
	{
		Mutant{
			"groups-not-ordered", "a later group's revisions come after an earlier one's",
			[]Change{
				{
					versionFile, "cmp.Or(i.Group.Compare(o.Group), cmp.Compare(i.Number, o.Number))",
					"cmp.Or(cmp.Compare(i.Number, o.Number), o.Group.Compare(i.Group))",
				},
			},
		},
		inRevision, "TestIDs",
	},
	{
		Mutant{
			"nobody-told-of-what-was-fetched", "a change is everywhere within seconds",
			[]Change{{distributorFile, "	d.announcer.startBurst()\n", ""}},
		},
		inViews, "TestSettingsSpread/128",
	},
	{
		Mutant{
			"never-another-source", "a source goes",
			[]Change{{fetchFile, "		f.sourceIndex = (f.sourceIndex%n + 1 + d.random.IntN(n-1)) % n\n", ""}},
		},
		inRevision, "TestSources",
	},
	{
		Mutant{
			"fetched-for-ever", "a source goes",
			[]Change{
				{
					distributorFile, "bool { return d.now >= f.expiresAt })",
					"bool { return !f.forVersion && d.now >= f.expiresAt })",
				},
			},
		},
		inRevision, "TestSources",
	},
	{
		Mutant{
			"restored-without-settings", "a seat that is filled has the settings",
			[]Change{
				{
					stateMachine, "	m.settings = restored.Settings\n",
					"	m.settings = configversion.State{}\n",
				},
			},
		},
		inControlPlane, "TestSnapshotHasSettings",
	},
	{
		Mutant{
			"late-word-overwrites", "what is in force never goes back",
			[]Change{
				{
					distributorFile,
					"	if id.Compare(a.active) <= 0 { // a later version is active already\n		return\n	}\n",
					"",
				},
			},
		},
		inRevision, "TestApplied",
	},
	{
		Mutant{
			"each-part-asks-for-eight", "a long body is sent once",
			[]Change{
				{
					fetchFile,
					"	case f.missing > 0 && f.windowReceived():",
					"	case f.missing > 0 && slices.Index(f.received, false) > m.index:",
				},
			},
		},
		inRevision, "TestRequestWindow",
	},
}
