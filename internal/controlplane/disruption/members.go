package disruption

// Member is a node that has registered with the control plane.
type Member struct {
	InstanceID  uint64 `cbor:"1,keyasint" json:"life,string"` // identifies the process among those that used the same node name
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	Site        string `cbor:"3,keyasint,omitempty" json:"site"`
	Version     string `cbor:"4,keyasint,omitempty" json:"version"`
}

// NamedMember is a Member with the name of its node.
type NamedMember struct {
	Name string `cbor:"9,keyasint"`
	Member
}

// maxWrittenOff limits how many written-off nodes are remembered that have not registered again.
const maxWrittenOff = 1024

// apply records which process runs under each node name, so that commands from an earlier process of that name are rejected.
func (a Register) apply(s *State, _ logPosition) (Result, error) {
	for _, node := range a.Nodes {
		known := s.Members[node.Name]
		delete(s.WrittenOff, node.Name)
		if known == nil || known.InstanceID != node.InstanceID {
			s.awaitQuiesced(node.Name)
			delete(s.Unhealthy, node.Name)
		}
		member := node.Member
		s.Members[node.Name] = &member
	}
	return Result{}, nil
}

// apply removes a subject at an operator's request.
func (a WriteOff) apply(s *State, at logPosition) (Result, error) {
	grant := s.GrantOf(a.Subject)
	known := a.Subject.Kind == KindNode && s.Members[a.Subject.Name] != nil
	if grant == nil && !known && a.Subject.Kind == KindWorker {
		return reject(ErrUnknownSubject, "%v is not known to the council", a.Subject)
	}
	if a.Subject.Kind == KindNode {
		if len(s.WrittenOff) >= maxWrittenOff {
			return reject(ErrLimitReached, "%d nodes are written off already and have not come back", maxWrittenOff)
		}
		s.WrittenOff[a.Subject.Name] = true
	}
	if grant != nil {
		s.removeGrant(grant)
	}
	s.removeRequest(a.Subject)
	if known {
		s.forgetMember(a.Subject.Name)
	}
	s.RecordHistory(at.index, at.atMs, "written off", a.Subject.String(), a.RequestedBy, a.Reason)
	return Result{Text: "written off"}, nil
}

func (s *State) forgetMember(name string) {
	delete(s.Members, name)
	delete(s.Unhealthy, name)
	for _, grant := range s.Grants {
		grant.markQuiesced(name)
	}
}
