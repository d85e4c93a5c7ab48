package gossip

import (
	"context"
	"log/slog"
	"time"

	"swiftdeal/internal/membership"
	"swiftdeal/internal/membership/codec"
)

// Report is the JSON form of a view that the control address serves and the command line shows. Durations are in seconds.
type Report struct {
	Fleet           string              `json:"fleet"`
	Member          string              `json:"member"` // member whose view it is
	Healthy         bool                `json:"whole"`  // nothing in the view needs an operator's attention
	Displaced       bool                `json:"displaced"`
	LocalHealth     int                 `json:"health"`    // local health score, 0 (healthy) to 8
	UnreachedSeeds  int                 `json:"unreached"` // seed addresses that no active member has
	SinceLastChange float64             `json:"changed_s"`
	Members         []ReportMember      `json:"members"`
	Conflicts       []string            `json:"conflicts"`
	Counters        membership.Counters `json:"counts"`
}

// ReportMember is one member in a Report.
type ReportMember struct {
	Name              string              `json:"name"`
	Site              string              `json:"site"`
	Address           string              `json:"address"` // address for datagrams
	ClientAddr        string              `json:"clients,omitempty"`
	ControlAddr       string              `json:"control,omitempty"`
	Status            string              `json:"status"`
	State             string              `json:"state"` // state of its service
	Incarnation       uint64              `json:"incarnation"`
	InstanceID        uint64              `json:"life,string"`
	ProgramVersion    string              `json:"program"`
	SinceStatusChange float64             `json:"since_s"`
	RecordAge         float64             `json:"age_s"`
	ReportedBy        string              `json:"by,omitempty"` // member that first reported the status
	Self              bool                `json:"self,omitempty"`
	Load              codec.Load          `json:"digest"`
	Observations      []codec.Observation `json:"facts,omitempty"`
}

// View returns a snapshot of the view; ok is false while the service is not running.
func (s *Service) View() (v membership.View, ok bool) {
	if s == nil {
		return v, false
	}
	ok = s.runOnOwner(func() { v = s.core.View() })
	return v, ok
}

// Report returns a snapshot of the view as a Report; nil while the service is not running.
func (s *Service) Report() *Report {
	view, ok := s.View()
	if !ok {
		return nil
	}
	report := &Report{
		Fleet:           s.options.Fleet.Name,
		Member:          s.options.Name,
		Healthy:         view.Healthy(),
		Displaced:       view.Displaced,
		LocalHealth:     view.LocalHealth,
		UnreachedSeeds:  view.UnreachedSeeds,
		SinceLastChange: (view.Now - view.ChangedAt).Seconds(),
		Counters:        view.Counters,
		Conflicts:       []string{},
	}
	for _, conflict := range view.Conflicts {
		report.Conflicts = append(report.Conflicts, conflict.Name+": "+conflict.Addr+" and "+conflict.OtherAddr)
	}
	for i := range view.Members {
		report.Members = append(report.Members, reportMember(&view.Members[i], view.Now))
	}
	return report
}

// reportMember converts a member of a view that was taken at now.
func reportMember(member *membership.Member, now time.Duration) ReportMember {
	return ReportMember{
		Name:              member.Name,
		Site:              member.Site,
		Address:           member.Addr,
		ClientAddr:        member.ClientAddr,
		ControlAddr:       member.ControlAddr,
		Status:            member.Status.String(),
		State:             member.State.String(),
		Incarnation:       member.Incarnation,
		InstanceID:        member.InstanceID,
		ProgramVersion:    member.ProgramVersion,
		SinceStatusChange: (now - member.StatusSince).Seconds(),
		RecordAge:         (now - member.RecordUpdatedAt).Seconds(),
		ReportedBy:        member.ReportedBy,
		Self:              member.Self,
		Load:              member.Load,
		Observations:      member.Observations,
	}
}

// changeLevel returns the log level for an event.
func changeLevel(event membership.Event) slog.Level {
	switch event {
	case membership.EventStateChanged, membership.EventSuspected, membership.EventRefuted:
		return slog.LevelDebug
	case membership.EventConflict, membership.EventDisplaced, membership.EventStalled:
		return slog.LevelWarn
	}
	return slog.LevelInfo
}

// logChange logs a membership change.
func (s *Service) logChange(c membership.Change) {
	attributes := []slog.Attr{
		slog.String("member", c.Name),
		slog.String("event", string(c.Event)),
		slog.String("reason", c.Reason),
		slog.Uint64("incarnation", c.Incarnation),
		slog.Uint64("instance", c.InstanceID),
	}
	if c.ReportedBy != "" {
		attributes = append(attributes, slog.String("reported_by", c.ReportedBy))
	}
	s.log.LogAttrs(context.Background(), changeLevel(c.Event), "membership changed", attributes...)
}
