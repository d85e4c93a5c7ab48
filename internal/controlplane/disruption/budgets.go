package disruption

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Budgets limit how many nodes and workers may be unavailable at once. A budget of 0 forbids planned exits.
type Budgets struct {
	Nodes           int `cbor:"1,keyasint" json:"nodes"`         // in the whole fleet
	NodesPerSite    int `cbor:"2,keyasint" json:"nodes_site"`    // in each site
	NodesPerVersion int `cbor:"3,keyasint" json:"nodes_version"` // running the same version of the program
	Workers         int `cbor:"4,keyasint" json:"workers"`       // in the whole fleet
	WorkersPerSite  int `cbor:"5,keyasint" json:"workers_site"`  // in each site
	WorkersPerKind  int `cbor:"6,keyasint" json:"workers_kind"`  // of each kind

	// MinFreeCapacity is the number of additional jobs of each class that must still fit after a worker's exit.
	MinFreeCapacity map[string]int `cbor:"7,keyasint,omitempty" json:"room,omitempty"`
	// MaxOvertakes is how often later requests may be granted before a waiting one; 0 means defaultMaxOvertakes.
	MaxOvertakes int `cbor:"8,keyasint,omitempty" json:"overtakes"`
	// SiteOverrides replaces NodesPerSite for individual sites.
	SiteOverrides map[string]int `cbor:"9,keyasint,omitempty" json:"sites,omitempty"`
	// KindOverrides replaces WorkersPerKind for individual kinds of worker.
	KindOverrides map[string]int `cbor:"10,keyasint,omitempty" json:"kinds,omitempty"`
	// Replicas are the nodes that run the control plane. At most one of them may be unavailable at once.
	Replicas []string `cbor:"11,keyasint,omitempty" json:"seats,omitempty"`
}

// historyText returns the text that the history records for budgets. The history is part of the replicated state, so this text
// must not change when fields are renamed.
func (b *Budgets) historyText() string {
	nodes := fmt.Sprintf("Nodes:%d NodesSite:%d NodesVersion:%d", b.Nodes, b.NodesPerSite, b.NodesPerVersion)
	workers := fmt.Sprintf("Workers:%d WorkersSite:%d WorkersKind:%d", b.Workers, b.WorkersPerSite, b.WorkersPerKind)
	queue := fmt.Sprintf("Room:%v Overtakes:%d", b.MinFreeCapacity, b.MaxOvertakes)
	overrides := fmt.Sprintf("Sites:%v Kinds:%v Seats:%v", b.SiteOverrides, b.KindOverrides, b.Replicas)
	return "{" + nodes + " " + workers + " " + queue + " " + overrides + "}"
}

func (b *Budgets) siteLimit(site string) int {
	if limit, ok := b.SiteOverrides[site]; ok {
		return limit
	}
	return b.NodesPerSite
}

func (b *Budgets) kindLimit(kind string) int {
	if limit, ok := b.KindOverrides[kind]; ok {
		return limit
	}
	return b.WorkersPerKind
}

func (b *Budgets) maxOvertakes() int { return cmp.Or(b.MaxOvertakes, defaultMaxOvertakes) }

// usage is the current use of one budget.
type usage struct {
	budget  string
	used    int
	allowed int
}

// exceeded describes the budget if it does not allow this many more to be unavailable; it returns "" if it does.
func (u usage) exceeded(more int) string {
	if u.used+more <= u.allowed {
		return ""
	}
	return u.text()
}

func (u usage) text() string {
	return fmt.Sprintf("%s: %d out, %d allowed", u.budget, u.used, u.allowed)
}

// firstExceeded describes the first budget that does not allow this many more to be unavailable; it returns "" if all do.
func firstExceeded(usages []usage, more int) string {
	for _, usage := range usages {
		if reason := usage.exceeded(more); reason != "" {
			return reason
		}
	}
	return ""
}

// usages lists the budgets that apply to a request's subject, except for free capacity and control plane replicas.
func (b *Budgets) usages(request *Request, unavailable *unavailableCount) []usage {
	inSite := unavailable.bySite[request.Site]
	sameVersionOrKind := unavailable.byVersionOrKind[request.VersionOrKind]
	if request.Kind == KindNode {
		return []usage{
			{"nodes of the fleet", unavailable.total, b.Nodes},
			{"nodes of site " + request.Site, inSite, b.siteLimit(request.Site)},
			{"nodes of version " + request.VersionOrKind, sameVersionOrKind, b.NodesPerVersion},
		}
	}
	return []usage{
		{"workers of the fleet", unavailable.total, b.Workers},
		{"workers of site " + request.Site, inSite, b.WorkersPerSite},
		{"workers of kind " + request.VersionOrKind, sameVersionOrKind, b.kindLimit(request.VersionOrKind)},
	}
}

// blockingBudget describes the first budget that does not allow the requested exit; it returns "" if all do. A subject that is
// already unavailable consumes no budget by its exit.
func (s *State) blockingBudget(request *Request) string {
	if reason := s.unlisted(); reason != "" {
		return reason
	}
	unavailable := s.countUnavailable(request.Kind, 0)
	if unavailable.names[request.Name] && s.GrantOf(request.Subject) == nil {
		return ""
	}
	usages := s.Budgets.usages(request, unavailable)
	if request.Kind == KindNode {
		usages = append(usages, usage{"seats of the council", s.unavailableReplicas(unavailable, request.Name), 1})
	}
	if reason := firstExceeded(usages, 1); reason != "" {
		return reason
	}
	if request.Kind == KindWorker {
		return s.missingCapacity()
	}
	return ""
}

// missingCapacity describes the first class that would have too little free capacity with one worker less; it returns "" if
// there is none.
func (s *State) missingCapacity() string {
	workers := s.Observed.WorkersInService
	for _, class := range sortedKeys(s.Budgets.MinFreeCapacity) {
		capacity, known := s.Observed.FreeCapacity[class]
		if !known || workers <= 0 {
			return "room for " + class + " is not known"
		}
		perWorker := (capacity + workers - 1) / workers
		left := capacity - perWorker
		if left < s.Budgets.MinFreeCapacity[class] {
			return fmt.Sprintf("room for %s: %d would be left, %d are wanted", class, left, s.Budgets.MinFreeCapacity[class])
		}
	}
	return ""
}

// exceededBudget describes the first budget that is exceeded when a grant's subject is counted as unavailable; it returns "" if
// there is none.
func (s *State) exceededBudget(grant *Grant) string {
	if reason := s.unlisted(); reason != "" {
		return reason
	}
	unavailable := s.countUnavailable(grant.Kind, grant.ID)
	usages := s.Budgets.usages(&grant.Request, unavailable)
	if grant.Kind == KindNode {
		// A replica without a disk restarts without its state. If another replica left service before that one has caught up, the
		// control plane could lose the grants that it has issued.
		usages = append(usages, usage{"seats of the council besides this one", s.unavailableReplicas(unavailable, grant.Name), 0})
	}
	return firstExceeded(usages, 0)
}

// unlisted explains why nothing is granted while some unavailable subjects are not listed; it returns "" if all are listed.
func (s *State) unlisted() string {
	if s.Observed.Unlisted > 0 {
		return fmt.Sprintf("%d are out beyond those that could be named", s.Observed.Unlisted)
	}
	return ""
}

// BlockedBy describes the budget that keeps the subject of an unconfirmed grant from leaving service; it returns "" if none
// does.
func (s *State) BlockedBy(grant *Grant) string { return s.exceededBudget(grant) }

// ExceededNodeBudget describes the first node budget that the currently unavailable nodes exceed; it returns "" if there is
// none.
func (s *State) ExceededNodeBudget() string {
	unavailable, budgets := s.countUnavailable(KindNode, 0), &s.Budgets
	if s.Observed.Unlisted > 0 {
		return usage{"nodes of the fleet", unavailable.total + s.Observed.Unlisted, budgets.Nodes}.text()
	}
	usages := []usage{{"nodes of the fleet", unavailable.total, budgets.Nodes}}
	for _, site := range sortedKeys(unavailable.bySite) {
		usages = append(usages, usage{"nodes of site " + site, unavailable.bySite[site], budgets.siteLimit(site)})
	}
	for _, version := range sortedKeys(unavailable.byVersionOrKind) {
		usages = append(usages, usage{"nodes of version " + version, unavailable.byVersionOrKind[version], budgets.NodesPerVersion})
	}
	return firstExceeded(usages, 0)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
