package node

import (
	"slices"

	"swiftdeal/internal/accounting"
	"swiftdeal/internal/control"
	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/invariant"
)

// Metrics implements control.Backend.
func (n *Node) Metrics() []control.Family {
	list := classMetrics(n.accounting.Counts())
	known, excluded := n.dispatcher.WorkerCounts()
	violations := n.invariants.Violations()
	violations[invariant.SlowStart].Value += n.dispatcher.SlowStartViolations()
	list = append(list,
		control.Scalar("gw_in_flight", "Jobs taken and not ended.", true, int64(n.admission.OpenRequests())),
		control.Scalar("gw_requests_held", "Jobs taken that wait until what their clients have sent is read.", true,
			int64(n.admission.HeldRequests())),
		control.Scalar("gw_workers_known", "Workers in the list.", true, known),
		control.Scalar("gw_workers_excluded", "Listed workers that no job is sent to at present.", true, excluded),
		control.Scalar("gw_accept_failures", "Calls of accept that failed and were made again.", false, n.acceptFailures.Load()),
		control.Scalar("gw_reloads_ok", "Configurations taken at SIGHUP.", false, n.reloadsOK.Load()),
		control.Scalar("gw_reloads_failed", "Configurations turned down at SIGHUP.", false, n.reloadsFailed.Load()),
		labeledCounts("gw_invariant_violations", "Acts that broke what the node promises: always 0, or a defect.", "invariant", violations),
		labeledCounts("gw_attempts_withheld", "Attempts that were overtaken by events and not written, by reason.", "reason",
			n.invariants.AttemptsSuppressed()),
		labeledCounts("gw_attempts_ended", "Attempts that have ended, by result.", "result", n.dispatcher.AttemptResults()),
		labeledCounts("gw_connections_closed", "Clients' connections that the node has closed by itself, by reason.", "reason",
			n.connections.closedCounts()),
		labeledCounts("gw_answers", "Answers that were no result, by reason.", "reason", n.accounting.Reasons()),
	)
	list = append(list, n.eventMetrics()...)
	return append(list, n.fleet.metrics()...)
}

// eventMetrics returns the metrics of the events that wait for the decision module.
func (n *Node) eventMetrics() []control.Family {
	waiting := labeledCounts("gw_events_waiting", "Events that wait for the decision module, by source.", "source",
		n.dispatcher.EventsWaiting())
	waiting.Gauge = true
	return []control.Family{
		waiting,
		labeledCounts("gw_events_handled", "Events that the decision module has handled, by source.", "source",
			n.dispatcher.EventsHandled()),
		labeledCounts("gw_event_wait_us", "Time that all handled events have waited, in microseconds, by source.", "source",
			n.dispatcher.EventWaits()),
		control.Scalar("gw_event_wait_longest_us", "Longest wait of an event since the start, in microseconds.", true,
			n.dispatcher.LongestEventWait()),
		control.Scalar("gw_progress_merged", "Workers' reports of progress that a later one replaced before it was handled.", false,
			n.dispatcher.ProgressMerged()),
		control.Scalar("gw_answer_reads_delayed",
			"Times that a worker's answer, sending more lines than the node reads, had to wait.", false, n.transport.DelayedReads()),
		control.Scalar("gw_long_answers_delayed", "Answers above 64 KiB that waited for the memory that such answers may take.", false,
			n.transport.DelayedLongLines()),
		control.Scalar("gw_client_reads_delayed",
			"Times that a client, sending more behind its open request than the node reads, had to wait.", false,
			n.connections.options.ReadAhead.ReadsDelayed()),
		control.Scalar("gw_pipelined_refused", "Requests refused because too much was sent behind an open one.", false,
			n.connections.options.ReadAhead.Refused()),
		control.Scalar("gw_pipelined_delayed", "Requests that came behind another one and waited for their turn.", false,
			n.connections.options.ReadAhead.RequestsDelayed()),
		control.Scalar("gw_discovery_reads_delayed", "Times that discovery, sending more than the node reads, had to wait.", false,
			n.discovery.DelayedReads()),
		control.Scalar("gw_endpoints_dropped", "Entries of workers left out because the endpoint list would be too long.", false,
			n.discovery.DroppedEndpoints()),
	}
}

// classMetrics returns the request counts by class.
func classMetrics(counts []accounting.ClassCounts) []control.Family {
	served := control.Family{Name: "gw_served", Help: "Jobs answered with a worker's result.", Label: "class"}
	rejected := control.Family{Name: "gw_refused", Help: "Jobs answered so that a new try is harmless.", Label: "class"}
	failed := control.Family{Name: "gw_failed", Help: "Jobs answered in any other way.", Label: "class"}
	attempts := control.Family{Name: "gw_attempts", Help: "Attempts written whole to workers.", Label: "class"}
	for _, c := range counts {
		served.Samples = append(served.Samples, control.Sample{LabelValue: c.Class, Value: c.Served})
		rejected.Samples = append(rejected.Samples, control.Sample{LabelValue: c.Class, Value: c.Rejected})
		failed.Samples = append(failed.Samples, control.Sample{LabelValue: c.Class, Value: c.Failed})
		attempts.Samples = append(attempts.Samples, control.Sample{LabelValue: c.Class, Value: c.Attempts})
	}
	return []control.Family{served, rejected, failed, attempts}
}

// labeledCounts returns counts as one metric whose label is the name of the count.
func labeledCounts(name, help, label string, list []invariant.Count) control.Family {
	family := control.Family{Name: name, Help: help, Label: label}
	for _, c := range list {
		family.Samples = append(family.Samples, control.Sample{LabelValue: c.Name, Value: c.Value})
	}
	return family
}

// metrics returns the metrics of the fleet, or none if the node is not a member of one.
func (f *fleetMember) metrics() []control.Family {
	service := f.currentService()
	if service == nil {
		return nil
	}
	accepted := control.Family{
		Name: "gw_fleet_facts_believed", Help: "Facts on workers taken from others, by kind.", Label: "kind",
		Samples: []control.Sample{{LabelValue: "restarted", Value: f.restartsAccepted.Load()}},
	}
	return append(append(service.Metrics(), accepted), f.replicaMetrics()...)
}

// controlPlaneMetrics returns the metrics of the control plane as this node's replica reports it.
func controlPlaneMetrics(r *controlplane.Report) []control.Family {
	phases := control.Family{Name: "gw_council_permits", Help: "Permits by phase.", Gauge: true, Label: "phase"}
	grants := map[disruption.Phase]int64{}
	for _, g := range r.Grants {
		grants[g.Phase]++
	}
	for p := disruption.PhaseGranted; p <= disruption.PhaseReturning; p++ {
		phases.Samples = append(phases.Samples, control.Sample{LabelValue: p.String(), Value: grants[p]})
	}
	return []control.Family{phases,
		control.Scalar("gw_council_leads", "1 while this node leads the council.", true, boolValue(r.IsLeader)),
		control.Scalar("gw_council_trouble", "1 while the council does not answer this node.", true, boolValue(r.UnavailableReason != "")),
		control.Scalar("gw_council_waiting", "Requests that wait.", true, int64(len(r.PendingRequests))),
		control.Scalar("gw_council_out_nodes", "Nodes out of service, whatever the reason, as the leader saw them last.", true,
			int64(r.UnavailableNodes)),
		control.Scalar("gw_council_group", "Number of the council's group.", true, int64(r.Group.Number)),
		control.Scalar("gw_council_index", "How far this seat's state has come.", true, int64(r.AppliedIndex)),
		control.Scalar("gw_council_exits_begun", "Exits that this node has begun under permits.", false, r.Stats.DrainsStarted),
		control.Scalar("gw_council_returns_alone", "Returns of this node without the council's word.", false, r.Stats.AutonomousReturns),
		control.Scalar("gw_council_release",
			"Phase of the release: 0 none, 1 running, 2 paused, 3 halted, 4 going back, 5 stuck, 6 done, 7 undone.", true,
			int64(r.ReleasePhase)),
	}
}

// settingsMetrics returns the metrics of the fleet's settings. report may be nil.
func settingsMetrics(report *controlplane.SettingsReport, distributor *configversion.Distributor) []control.Family {
	var latest int64
	if version := distributor.Latest(); version != nil {
		latest = int64(version.ID.Number)
	}
	rejected, _ := distributor.Rejected()
	active, stats := distributor.ActiveID(), distributor.Stats()
	list := []control.Family{
		control.Scalar("gw_settings_revision", "Number of the revision of the fleet's settings in force here; 0: none is.", true,
			int64(active.Number)),
		control.Scalar("gw_settings_group", "Number of the council's group that decided on it.", true, int64(active.Group.Number)),
		control.Scalar("gw_settings_held", "Number of the latest revision that is whole here.", true, latest),
		control.Scalar("gw_settings_refused", "1 while the latest revision is refused here.", true, boolValue(!rejected.IsZero())),
		control.Scalar("gw_settings_tells", "Words to others on which revision is held here.", false, stats.Announcements),
		control.Scalar("gw_settings_parts", "Parts of revisions taken.", false, stats.ChunksReceived),
		control.Scalar("gw_settings_fetched", "Revisions fetched whole.", false, stats.Fetched),
		control.Scalar("gw_settings_damaged", "Revisions whose sum was not theirs.", false, stats.ChecksumMismatches),
	}
	if report != nil && report.FromLeader {
		behind := control.Scalar("gw_settings_behind",
			"Nodes that do not have the latest revision in force, where the council is led.", true,
			int64(report.TotalNodes-report.ActiveNodes))
		list = slices.Insert(list, 4, behind) // after the other gauges
	}
	return list
}

// boolValue returns the value of a metric that is 1 if a condition holds and 0 otherwise.
func boolValue(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}
