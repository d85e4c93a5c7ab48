package disruption

import "slices"

// A drained worker has quiesced when all nodes have reported that they no longer send anything to it.

// awaitQuiesced makes the grants of all drained workers wait for a report from node. A process that has just started may not
// know yet which workers are drained.
func (s *State) awaitQuiesced(node string) {
	for _, grant := range s.Grants {
		drained := grant.Kind == KindWorker && grant.Phase == PhaseConfirmed
		if drained && !slices.Contains(grant.PendingNodes, node) {
			grant.PendingNodes = append(grant.PendingNodes, node)
			grant.Quiesced = false
			slices.Sort(grant.PendingNodes)
		}
	}
}

// apply records which nodes have stopped sending to a drained worker. Reports from earlier processes of a node are ignored.
func (a ReportQuiesced) apply(s *State, at logPosition) (Result, error) {
	grant := s.grantByID(a.GrantID)
	if grant == nil || grant.Kind != KindWorker {
		return reject(ErrNoGrant, "no such permit")
	}
	for _, node := range a.Nodes {
		if member := s.Members[node.Name]; member != nil && member.InstanceID == node.InstanceID {
			grant.markQuiesced(node.Name)
		}
	}
	if grant.Quiesced {
		s.RecordHistory(at.index, at.atMs, "quiet", grant.Subject.String(), "", "no node sends to it")
	}
	return Result{GrantID: grant.ID}, nil
}

// markQuiesced removes a node from those whose report the grant waits for. The worker has quiesced when none is left.
func (g *Grant) markQuiesced(node string) {
	g.PendingNodes = slices.DeleteFunc(g.PendingNodes, func(pending string) bool { return pending == node })
	g.Quiesced = g.Kind == KindWorker && len(g.PendingNodes) == 0
}
