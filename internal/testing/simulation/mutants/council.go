package mutants

const (
	leaderObserve    = "internal/controlplane/leader_observe.go"
	leaderRelease    = "internal/controlplane/leader_release.go"
	leaderSettings   = "internal/controlplane/leader_settings.go"
	nodeExit         = "internal/controlplane/node_exit.go"
	stateMachine     = "internal/controlplane/state_machine.go"
	raftReplica      = "internal/controlplane/consensus/replica.go"
	raftVoters       = "internal/controlplane/consensus/voters.go"
	budgetsFile      = "internal/controlplane/disruption/budgets.go"
	availabilityFile = "internal/controlplane/disruption/availability.go"
	grantFile        = "internal/controlplane/disruption/grant.go"
	queueFile        = "internal/controlplane/disruption/queue.go"
	quiesceFile      = "internal/controlplane/disruption/quiesce.go"
	gateFile         = "internal/controlplane/rollout/gate.go"
	controllerFile   = "internal/controlplane/rollout/controller.go"
	batchesFile      = "internal/controlplane/rollout/batches.go"
	nodesFile        = "internal/controlplane/rollout/nodes.go"
	rolloutFile      = "internal/controlplane/rollout/rollout.go"
)

// ControlPlaneMutant is a planted fault in agreed drains and releases, with the test that has to fail.
type ControlPlaneMutant struct {
	Mutant
	Package, Test string
}

const (
	inViews      = "internal/testing/simulation/fleetsim"
	inDisruption = "internal/controlplane/disruption"
	inRollout    = "internal/controlplane/rollout"
)

// ControlPlane lists the mutants of agreement, permits and releases.
var ControlPlane = []ControlPlaneMutant{
	{
		Mutant{
			"group-never-given-up", "a majority that forgets",
			[]Change{{raftReplica, "	r.discardIfMajorityLost()\n}", "}"}},
		},
		inViews, "TestCouncilScenarios/council-emptied-but-for-one",
	},
	{
		Mutant{"seats-not-taken-in", "a seat that forgets", []Change{{raftReplica, "	r.replaceVoters()\n", ""}}},
		inViews, "TestCouncilScenarios/seat-comes-back-empty",
	},
	{
		Mutant{
			"state-that-does-not-name-its-taker", "a seat that forgets is filled",
			[]Change{
				{
					raftVoters,
					"	r.raft.storage.CreateSnapshot(r.raft.appliedIndex, r.raft.confState, r.encodeSnapshot())\n",
					"",
				},
			},
		},
		inViews, "TestCouncilScenarios/leader-killed",
	},
	{
		Mutant{
			"spares-never-asked", "a seat that stays away",
			[]Change{{raftVoters, "r.clock.now-since < r.config.ReplaceAfter {", "true {"}},
		},
		inViews, "TestCouncilScenarios/seat-stays-away",
	},
	{
		Mutant{
			"strangers-to-a-group-trusted", "a council that forgets, and an exit that it does not know",
			[]Change{
				{
					leaderObserve,
					"isUnregistered := state.Members[name] == nil && !state.WrittenOff[name]",
					"isUnregistered := false && !state.WrittenOff[name]",
				},
			},
		},
		inViews, "TestCouncilScenarios/council-emptied-while-a-holder-is-cut-off",
	},
	{
		Mutant{
			"budget-of-a-site-ignored", "budgets",
			[]Change{
				{
					budgetsFile,
					"	if limit, ok := b.SiteOverrides[site]; ok {\n		return limit\n	}\n	return b.NodesPerSite",
					"	return 1000",
				},
			},
		},
		inDisruption, "TestBudgets",
	},
	{
		Mutant{
			"crashes-not-counted", "out is whoever does not serve",
			[]Change{
				{
					availabilityFile,
					"	for _, unavailable := range observed {\n" +
						"		count.add(unavailable.Name, unavailable.Site, unavailable.VersionOrKind)\n	}\n",
					"	_ = observed\n",
				},
			},
		},
		inDisruption, "TestBudgets",
	},
	{
		Mutant{
			"room-ignored", "the least room",
			[]Change{{budgetsFile, "left < s.Budgets.MinFreeCapacity[class]", "false"}},
		},
		inDisruption, "TestFreeCapacity",
	},
	{
		Mutant{
			"confirmed-without-a-look", "confirmed right before use",
			[]Change{{grantFile, "reason != \"\" && !s.unavailableAnyway(grant)", "false && reason == \"\""}},
		},
		inDisruption, "TestConfirm",
	},
	{
		Mutant{
			"used-twice", "one permit, one exit",
			[]Change{
				{
					grantFile,
					"	case grant.Phase == PhaseConfirmed:\n		return reject(ErrGrantVoid, \"void: another process has used it\")\n",
					"",
				},
			},
		},
		inDisruption, "TestConfirm",
	},
	{
		Mutant{
			"ended-by-anybody", "a permit ends when its holder is back",
			[]Change{
				{
					grantFile,
					"		case member == nil || member.InstanceID != a.InstanceID:\n" +
						"			return reject(ErrOtherInstance, \"another process of %s is known to the council\", grant.Name)\n" +
						"		}\n	} else if",
					"		}\n		_ = member\n	} else if",
				},
			},
		},
		inDisruption, "TestReturned",
	},
	{
		Mutant{"passed-for-ever", "nobody starves", []Change{{queueFile, "			request.Overtaken++\n", ""}}},
		inDisruption, "TestQueue",
	},
	{
		Mutant{
			"quiet-by-an-earlier-process", "a worker is quiet",
			[]Change{{quiesceFile, "member != nil && member.InstanceID == node.InstanceID {", "member != nil {"}},
		},
		inDisruption, "TestQuiesced",
	},
	{
		Mutant{
			"new-process-not-waited-for", "a worker is quiet",
			[]Change{
				{
					quiesceFile,
					"			grant.PendingNodes = append(grant.PendingNodes, node)\n			grant.Quiesced = false\n", "",
				},
			},
		},
		inDisruption, "TestQuiesced",
	},
	{
		Mutant{
			"gate-blind-to-lateness", "a slow build",
			[]Change{{gateFile, "	{\"late\", func(c Count) int64 { return c.Late }},\n", ""}},
		},
		inRollout, "TestGates",
	},
	{
		Mutant{
			"gate-too-eager", "a good build is not halted",
			[]Change{
				{
					gateFile,
					"level := g.Alpha / float64(2*len(measures)*max(1, len(classes))) / float64(evaluation*(evaluation+1))",
					"level := 0.2",
				},
				{gateFile, "g.MinDifference / 2}", "0.0}"},
			},
		},
		inRollout, "TestGates",
	},
	{
		Mutant{
			"before-ignored", "a build that harms in a crowd",
			[]Change{
				{
					gateFile,
					"		{referenceBefore, counts.current, counts.baseline, g.MinDifference}, // traffic itself changes with time\n",
					"",
				},
			},
		},
		inRollout, "TestGates",
	},
	{
		Mutant{
			"too-few-will-do", "a gate that cannot know yet",
			[]Change{{gateFile, "c.Requests < c.RequestsNeeded {", "false {"}},
		},
		inRollout, "TestLowTraffic",
	},
	{
		Mutant{
			"missing-nodes-ignored", "a node that does not come back",
			[]Change{
				{controllerFile, "if !unavailable || now-since < timeout {", "if true || now-since < timeout {"},
				{
					controllerFile, "since, unavailable := c.observations.unavailableSince[name]",
					"since := c.observations.unavailableSince[name]",
				},
			},
		},
		inRollout, "TestHalts",
	},
	{
		Mutant{
			"oldest-first", "the way back",
			[]Change{
				{
					batchesFile, "cmp.Compare(s.updateOrder(b), s.updateOrder(a))",
					"cmp.Compare(s.updateOrder(a), s.updateOrder(b))",
				},
			},
		},
		inRollout, "TestSteps",
	},
	{
		Mutant{
			"any-version-will-do", "a wrong binary",
			[]Change{{nodesFile, "	case version == s.Plan.Version:\n		node.Status", "	case true:\n		node.Status"}},
		},
		inRollout, "TestSteps",
	},
	{
		Mutant{
			"halt-that-stops-nothing", "a halt stops exits",
			[]Change{
				{
					rolloutFile, "return s.Phase == PhaseHalted || s.Phase == PhaseStuck || !s.Phase.Open()",
					"return false",
				},
			},
		},
		inRollout, "TestSteps",
	},
	{
		Mutant{
			"silence-goes-on", "no majority halts a release",
			[]Change{
				{
					leaderRelease,
					"if l.leaderlessFor > leaderlessHaltPeriods*a.config.Period && release.Phase == rollout.PhaseRunning {",
					"if false {",
				},
			},
		},
		inViews, "TestCouncilScenarios/no-majority-anywhere",
	},
	{
		Mutant{
			"called-back-and-stays", "a node that is called back comes",
			[]Change{
				{nodeExit, "	case grant.Phase == disruption.PhaseReturning:\n		a.resumeService()\n", ""},
			},
		},
		inViews, "TestCouncilScenarios/drain-and-resume",
	},
}
