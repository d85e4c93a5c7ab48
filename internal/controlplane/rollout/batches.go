package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"swiftdeal/internal/controlplane/disruption"
)

// rollbackPriority is added to the priority of a rollback's requests, so that they are served before other requests.
const rollbackPriority = 1000

// assignBatches assigns each node to a batch. The assignment is fixed for the whole release.
func (s *State) assignBatches() {
	batch := 0
	end := s.Plan.batchSize(batch) // the index of the first node of the next batch
	for i, name := range s.sortedNodes(anyNode) {
		for i >= end {
			batch++
			end += s.Plan.batchSize(batch)
		}
		s.Nodes[name].Batch = batch
	}
}

func anyNode(*NodeProgress) bool { return true }

// sortedNodes returns the names of the nodes that include accepts, in update order: control plane replicas last, since a replica
// without a disk loses its state when it is restarted; then by site in the order of the plan, then by name.
func (s *State) sortedNodes(include func(*NodeProgress) bool) []string {
	var names []string
	for name, node := range s.Nodes {
		if include(node) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, s.compareNodes)
	return names
}

func (s *State) compareNodes(a, b string) int {
	nodeA, nodeB := s.Nodes[a], s.Nodes[b]
	return cmp.Or(
		compareBools(nodeA.UpdateLast, nodeB.UpdateLast),
		cmp.Compare(s.sitePosition(nodeA.Site), s.sitePosition(nodeB.Site)),
		cmp.Compare(nodeA.Site, nodeB.Site),
		compareNatural(a, b),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// sitePosition returns the index of a site in the plan; -1 if the plan does not name it.
func (s *State) sitePosition(site string) int {
	if s.Plan == nil {
		return -1
	}
	return slices.Index(s.Plan.Sites, site)
}

// compareNatural orders names by length first, so that n2 comes before n10.
func compareNatural(a, b string) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), strings.Compare(a, b))
}

// BatchNodes returns the names of the nodes of a batch in update order.
func (s *State) BatchNodes(batch int) []string {
	return s.sortedNodes(func(node *NodeProgress) bool { return node.Batch == batch })
}

// batchUpdated reports whether all nodes of the current batch run the new version.
func (s *State) batchUpdated() bool {
	for _, node := range s.Nodes {
		if node.Batch == s.Batch && node.Status != StatusUpdated {
			return false
		}
	}
	return true
}

// startBatch starts a batch. If no nodes are left to update, the release is completed.
func (s *State) startBatch(batch int) []disruption.Request {
	s.Batch = batch
	pending := func(node *NodeProgress) bool { return node.Batch == batch && node.Status == StatusPending }
	requests := s.requestUpdates(s.sortedNodes(pending), fmt.Sprintf("batch %d", batch))
	if len(requests) == 0 {
		s.completeIfDone()
	}
	return requests
}

// requestAgain repeats the requests that a halt has stopped.
func (s *State) requestAgain() []disruption.Request {
	stopped := func(node *NodeProgress) bool { return node.Batch == s.Batch && node.Status != StatusUpdated }
	return s.requestUpdates(s.sortedNodes(stopped), fmt.Sprintf("batch %d, again", s.Batch))
}

func (s *State) requestUpdates(names []string, reason string) []disruption.Request {
	var requests []disruption.Request
	for _, name := range names {
		s.Nodes[name].Status = StatusRequested
		requests = append(requests, s.request(name, s.Plan.Version, reason, s.Plan.Priority))
	}
	return requests
}

// startRollback starts to return nodes to the earlier version, in reverse update order.
func (s *State) startRollback(reason string) []disruption.Request {
	s.Phase = PhaseRollingBack
	s.Reason = reason
	s.ActionNeeded = ""
	names := s.sortedNodes(func(node *NodeProgress) bool { return node.Attempted && node.Status != StatusReverted })
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(s.updateOrder(b), s.updateOrder(a)) })
	var requests []disruption.Request
	for i, name := range names {
		s.Nodes[name].Status = StatusRequested
		requests = append(requests, s.rollbackRequest(name, rollbackPriority-i))
	}
	for _, node := range s.Nodes {
		if !node.Attempted {
			node.Status = StatusPending
		}
	}
	s.completeIfDone()
	return requests
}

// updateOrder returns a node's position among the updated nodes. A node that has not returned yet was updated last.
func (s *State) updateOrder(name string) int {
	if order := s.Nodes[name].UpdateOrder; order > 0 {
		return order
	}
	return math.MaxInt
}

func (s *State) rollbackRequest(name string, extraPriority int) disruption.Request {
	return s.request(name, s.Plan.FromVersion, "way back", s.Plan.Priority+extraPriority)
}

func (s *State) request(name, targetVersion, reason string, priority int) disruption.Request {
	return disruption.Request{
		Subject: disruption.Subject{Kind: disruption.KindNode, Name: name}, Priority: priority, Reason: reason,
		RequestedBy: "release " + s.Plan.Name, ReleaseID: s.ID, TargetVersion: targetVersion,
	}
}
