package rollout

import (
	"fmt"
	"time"
)

// NodeObservation is what the leader knows about a node from the node's reports and the membership view.
type NodeObservation struct {
	InstanceID    uint64
	Version       string
	Serving       bool
	Fresh         bool             // the last report is recent
	Counts        map[string]Count // by class, since the start of the process
	ExitConfirmed bool             // it may be out of service under a grant of the release
}

// Thresholds for an unhealthy node, which does more harm in service than out of service.
const (
	minRequestsToFail = 20 // more than half of them must fail
	minCrashes        = 2
)

// nodeRecord has the requests and crashes of a node during a comparison of updated nodes with others.
type nodeRecord struct {
	instanceID uint64
	updated    bool             // it runs the new version
	baseline   map[string]Count // counts at the start of the comparison; nil for a process that started later
	current    map[string]Count
	earlier    classCounts // counts of earlier processes with the same version during the comparison
	crashes    int
}

// counts returns the requests of all of the node's processes during the comparison.
func (r *nodeRecord) counts() classCounts {
	counts := classCounts{}
	for class, count := range r.earlier {
		counts.add(class, count)
	}
	for class, count := range r.current {
		counts.add(class, count.Sub(r.baseline[class]))
	}
	return counts
}

// unhealthy describes why the node does more harm in service than out of service; it returns "" if it does not.
func (r *nodeRecord) unhealthy() string {
	count := r.counts().sum()
	switch {
	case count.Total() >= minRequestsToFail && 2*count.Failed > count.Total():
		return fmt.Sprintf("fails %d of %d", count.Failed, count.Total())
	case r.crashes >= minCrashes:
		return fmt.Sprintf("crashed %d times", r.crashes)
	}
	return ""
}

// group is one of the two groups of nodes that are compared: updated nodes and others.
type group struct {
	servingSeconds float64 // total time for which its nodes were in service
	crashes        int
}

// observations are the leader's observations of a release's nodes since the start of the comparison.
type observations struct {
	records          map[string]*nodeRecord
	updated, others  group
	unavailableSince map[string]time.Duration // by name of nodes that are not in service
	lastAddedAt      time.Duration            // time of the last call of add
}

func newObservations(now time.Duration) *observations {
	return &observations{records: map[string]*nodeRecord{}, unavailableSince: map[string]time.Duration{}, lastAddedAt: now}
}

func (o *observations) group(updated bool) *group {
	if updated {
		return &o.updated
	}
	return &o.others
}

// add adds the leader's current observations of the nodes.
func (o *observations) add(now time.Duration, s *State, observed map[string]NodeObservation) {
	elapsed := max(0, now-o.lastAddedAt).Seconds()
	o.lastAddedAt = now
	for name, node := range s.Nodes {
		observation, known := observed[name]
		if known && observation.Fresh {
			updated := observation.Version == s.Plan.Version
			o.record(name, node, observation, updated)
			if observation.Serving {
				o.group(updated).servingSeconds += elapsed
			}
		}
		if known && observation.Serving && observation.Fresh {
			delete(o.unavailableSince, name)
		} else if _, unavailable := o.unavailableSince[name]; !unavailable {
			o.unavailableSince[name] = now
		}
	}
}

// record records a node's report.
func (o *observations) record(name string, node *NodeProgress, observation NodeObservation, updated bool) {
	record := o.records[name]
	switch {
	case record == nil || record.updated != updated:
		record = &nodeRecord{
			instanceID: observation.InstanceID, updated: updated, baseline: observation.Counts, crashes: o.crashesOf(name),
		}
		if updated && node.Status == StatusRequested { // the process was started by the release, so all of its requests count
			record.baseline = nil
		}
		o.records[name] = record
	case record.instanceID != observation.InstanceID:
		if !observation.ExitConfirmed { // a new process without a grant: the previous one has crashed
			o.group(updated).crashes++
			record.crashes++
		}
		record.earlier = record.counts()
		record.instanceID = observation.InstanceID
		record.baseline = nil
	}
	record.current = observation.Counts
}

// crashesOf returns the number of a node's crashes during the comparison, with either version.
func (o *observations) crashesOf(name string) int {
	if record := o.records[name]; record != nil {
		return record.crashes
	}
	return 0
}

// gateCounts returns the sums of the counts of both groups, and the baseline.
func (o *observations) gateCounts(baseline map[string]Count) gateCounts {
	counts := gateCounts{updated: classCounts{}, others: classCounts{}, current: classCounts{}, baseline: baseline}
	for _, record := range o.records {
		side := counts.others
		if record.updated {
			side = counts.updated
		}
		for class, count := range record.counts() {
			side.add(class, count)
			counts.current.add(class, count)
		}
	}
	return counts
}

// crashVerdict describes how updated nodes crash more often than others; it returns "" if they do not.
func (o *observations) crashVerdict() string {
	updated, others := o.updated, o.others
	p := crashPValue(updated.crashes, others.crashes, updated.servingSeconds, others.servingSeconds)
	improbable := updated.crashes >= minCrashes && p < maxCrashPValue
	onlyUpdated := updated.crashes >= minCrashesWithoutTest && others.crashes == 0
	if !improbable && !onlyUpdated {
		return ""
	}
	return fmt.Sprintf("released nodes crash: %d times in %.0f s, others %d times in %.0f s (p %.2g)",
		updated.crashes, updated.servingSeconds, others.crashes, others.servingSeconds, p)
}

const (
	maxCrashPValue        = 0.02
	minCrashesWithoutTest = 3 // enough for a verdict whatever the p-value if no other node has crashed
)

// unhealthyNodes returns the updated nodes that do more harm in service than out of service, each with the reason; nil if there
// are none.
func (o *observations) unhealthyNodes(s *State) map[string]string {
	var unhealthy map[string]string
	for name, record := range o.records {
		if !record.updated || s.Nodes[name] == nil {
			continue
		}
		reason := record.unhealthy()
		if reason == "" {
			continue
		}
		if unhealthy == nil {
			unhealthy = map[string]string{}
		}
		unhealthy[name] = reason
	}
	return unhealthy
}
