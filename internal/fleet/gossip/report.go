package gossip

import (
	"time"

	"swiftdeal/internal/control"
	"swiftdeal/internal/fleet/member"
	"swiftdeal/internal/fleet/wire"
)

// Report is a view in the form in which the control address and the command line show it. Times are in seconds.
type Report struct {
	Fleet     string         `json:"fleet"`
	Member    string         `json:"member"` // whose view it is
	Whole     bool           `json:"whole"`  // there is nothing in it that an operator would have to look at
	Displaced bool           `json:"displaced"`
	Health    int            `json:"health"`    // 0: this node trusts itself; up to 8: it doubts itself
	Unreached int            `json:"unreached"` // seeds that no living member has
	Changed   float64        `json:"changed_s"` // since the last change
	Members   []ReportMember `json:"members"`
	Conflicts []string       `json:"conflicts"`
	Counts    member.Counts  `json:"counts"`
}

// ReportMember is one row.
type ReportMember struct {
	Name        string      `json:"name"`
	Site        string      `json:"site"`
	Address     string      `json:"address"`
	Clients     string      `json:"clients,omitempty"`
	Control     string      `json:"control,omitempty"`
	Status      string      `json:"status"`
	State       string      `json:"state"`
	Incarnation uint64      `json:"incarnation"`
	Life        uint64      `json:"life,string"`
	Program     string      `json:"program"`
	Since       float64     `json:"since_s"` // of the status
	Age         float64     `json:"age_s"`   // of what it says of itself
	By          string      `json:"by,omitempty"`
	Self        bool        `json:"self,omitempty"`
	Digest      wire.Digest `json:"digest"`
	Facts       []wire.Fact `json:"facts,omitempty"`
}

// View returns the view as it stands; ok is false while the service does not take part.
func (s *Service) View() (v member.View, ok bool) {
	if s == nil {
		return v, false
	}
	ok = s.ask(func() { v = s.core.View() })
	return v, ok
}

// Report returns the view in the form in which it is shown; nil while the service does not take part.
func (s *Service) Report() *Report {
	v, ok := s.View()
	if !ok {
		return nil
	}
	r := &Report{Fleet: s.o.Fleet.Name, Member: s.o.Name, Whole: v.Whole(), Displaced: v.Displaced, Health: v.Health, Unreached: v.Unreached,
		Changed: (v.Now - v.Changed).Seconds(), Counts: v.Counts, Conflicts: []string{}}
	for _, c := range v.Conflicts {
		r.Conflicts = append(r.Conflicts, c.Name+": "+c.Addr+" and "+c.Other)
	}
	for _, m := range v.Members {
		r.Members = append(r.Members, ReportMember{
			Name: m.Name, Site: m.Site, Address: m.Addr, Clients: m.Clients, Control: m.Control, Status: m.Status.String(), State: m.State.String(),
			Incarnation: m.Inc, Life: m.Life, Program: m.Program, Since: (v.Now - m.Since).Seconds(), Age: (v.Now - m.Heard).Seconds(),
			By: m.By, Self: m.Self, Digest: m.Digest, Facts: m.Facts,
		})
	}
	return r
}

// Figures returns the fleet's figures.
func (s *Service) Figures() []control.Family {
	v, ok := s.View()
	if !ok {
		return nil
	}
	by := map[wire.Status]int64{}
	oldest := time.Duration(0)
	for _, m := range v.Members {
		by[m.Status]++
		for _, f := range m.Facts {
			oldest = max(oldest, v.Now-m.Heard+time.Duration(f.AgeMs)*time.Millisecond)
		}
	}
	members := control.Family{Name: "gw_fleet_members", Help: "Members of the fleet as this node sees them.", Gauge: true, Label: "status"}
	for s := wire.Alive; s <= wire.Left; s++ {
		members.Rows = append(members.Rows, control.Row{Of: s.String(), Value: by[s]})
	}
	drops := control.Family{Name: "gw_fleet_datagrams_dropped", Help: "Datagrams dropped, by reason.", Label: "reason"}
	for i, r := range reasons {
		drops.Rows = append(drops.Rows, control.Row{Of: r, Value: s.dropped[i].Load()})
	}
	whole := int64(0)
	if v.Whole() {
		whole = 1
	}
	t := s.Traffic()
	sent, received := total(t.Sent), total(t.Received)
	return append([]control.Family{members,
		control.One("gw_fleet_whole", "1 while nothing in the view needs an operator.", true, whole),
		control.One("gw_fleet_health", "0: this node trusts itself; up to 8: it doubts itself.", true, int64(v.Health)),
		control.One("gw_fleet_suspicions", "Members suspected.", false, v.Counts.Suspicions),
		control.One("gw_fleet_refutations", "Times that this node has refuted its own death.", false, v.Counts.Refutations),
		control.One("gw_fleet_deaths", "Members held for dead.", false, v.Counts.Deaths),
		control.One("gw_fleet_datagrams_sent", "Datagrams sent.", false, sent.Datagrams),
		control.One("gw_fleet_datagrams_received", "Datagrams received.", false, received.Datagrams),
		control.One("gw_fleet_bytes_sent", "Bytes sent in datagrams.", false, sent.Bytes),
		control.One("gw_fleet_bytes_received", "Bytes received in datagrams.", false, received.Bytes),
		control.One("gw_fleet_oldest_fact_ms", "Age of the oldest fact on a worker that a member tells.", true, oldest.Milliseconds()),
		control.One("gw_fleet_changed_ms", "Time since the view last changed.", true, (v.Now - v.Changed).Milliseconds()),
		drops,
	}, s.trafficFigures()...)
}
