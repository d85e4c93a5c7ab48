package disruption

import "slices"

// MaxListedUnavailable is the maximum number of nodes, and of workers, that Observed lists by name.
const MaxListedUnavailable = 64

// Unavailable describes a node or worker that is out of service without a grant.
type Unavailable struct {
	Name          string `cbor:"1,keyasint" json:"name"`
	Reason        string `cbor:"2,keyasint,omitempty" json:"why"`
	Site          string `cbor:"3,keyasint,omitempty" json:"site,omitempty"`
	VersionOrKind string `cbor:"4,keyasint,omitempty" json:"of,omitempty"` // a node's version, a worker's kind
}

// Observed is the availability of the fleet as the leader sees it when it proposes a command. It is part of the command, and
// decisions are based on it alone, so that all replicas reach the same ones. Unlisted is the number of unavailable nodes and
// workers that are not listed by name; while it is above 0, nothing is granted.
type Observed struct {
	Nodes            []Unavailable  `cbor:"1,keyasint,omitempty" json:"nodes,omitempty"`
	Workers          []Unavailable  `cbor:"2,keyasint,omitempty" json:"workers,omitempty"`
	Unlisted         int            `cbor:"3,keyasint,omitempty" json:"more,omitempty"`
	FreeCapacity     map[string]int `cbor:"4,keyasint,omitempty" json:"room,omitempty"` // additional jobs that fit, by class
	WorkersInService int            `cbor:"5,keyasint,omitempty" json:"workers_up"`
}

// unavailableCount counts unavailable nodes or workers. One that is unavailable for several reasons is counted once.
type unavailableCount struct {
	names           map[string]bool
	total           int
	bySite          map[string]int
	byVersionOrKind map[string]int
}

func newUnavailableCount() *unavailableCount {
	return &unavailableCount{names: map[string]bool{}, bySite: map[string]int{}, byVersionOrKind: map[string]int{}}
}

func (u *unavailableCount) add(name, site, versionOrKind string) {
	if u.names[name] {
		return
	}
	u.names[name] = true
	u.total++
	u.bySite[site]++
	u.byVersionOrKind[versionOrKind]++
}

// countUnavailable counts the subjects of a kind that are unavailable: those that hold a grant, those in the last observation,
// and those marked unhealthy. If grantID is not 0, unconfirmed grants issued after that grant are left out: the earlier of two
// unconfirmed grants can then be confirmed first, and they do not block each other. If grantID is 0, all grants count.
func (s *State) countUnavailable(kind SubjectKind, grantID uint64) *unavailableCount {
	count := newUnavailableCount()
	for _, grant := range s.Grants {
		counts := grantID == 0 || grant.Phase != PhaseGranted || grant.ID <= grantID
		if grant.Kind == kind && counts {
			count.add(grant.Name, grant.Site, grant.VersionOrKind)
		}
	}
	observed := s.Observed.Nodes
	if kind == KindWorker {
		observed = s.Observed.Workers
	}
	for _, unavailable := range observed {
		count.add(unavailable.Name, unavailable.Site, unavailable.VersionOrKind)
	}
	if kind == KindNode {
		for name := range s.Unhealthy {
			if member := s.Members[name]; member != nil {
				count.add(name, member.Site, member.Version)
			}
		}
	}
	return count
}

// UnavailableNodes returns the number of nodes that are unavailable for any reason.
func (s *State) UnavailableNodes() int { return s.countUnavailable(KindNode, 0).total }

// unavailableReplicas returns the number of unavailable control plane replicas other than node. It returns 0 if node is not a
// replica itself.
func (s *State) unavailableReplicas(unavailable *unavailableCount, node string) int {
	if !slices.Contains(s.Budgets.Replicas, node) {
		return 0
	}
	others := 0
	for _, replica := range s.Budgets.Replicas {
		if replica != node && unavailable.names[replica] {
			others++
		}
	}
	return others
}

// unavailableAnyway reports whether the node that holds a grant would be unavailable even without the grant.
func (s *State) unavailableAnyway(grant *Grant) bool {
	listed := slices.ContainsFunc(s.Observed.Nodes, func(node Unavailable) bool { return node.Name == grant.Name })
	return s.Unhealthy[grant.Name] != "" || listed
}
