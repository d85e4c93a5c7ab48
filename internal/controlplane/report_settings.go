package controlplane

import (
	"fmt"

	"swiftdeal/internal/controlplane/configversion"
)

// maxLagging limits the number of lagging nodes that a report lists.
const maxLagging = 64

// NodeSettings is a node's status of the fleet's settings.
type NodeSettings struct {
	Node          string           `json:"node"`
	Latest        configversion.ID `json:"holds"`
	Active        configversion.ID `json:"in_force"`
	Reason        string           `json:"why"`      // why the current version is not active
	LastPollAgeMs int64            `json:"heard_ms"` // time since its last poll; -1 if there was none
}

// SettingsReport is a node's view of the fleet's settings, as shown to operators.
type SettingsReport struct {
	Latest      configversion.ID `json:"latest"` // latest version that this node knows
	Previous    configversion.ID `json:"prior"`  // set on replicas only
	Author      string           `json:"by,omitempty"`
	Reason      string           `json:"why,omitempty"`
	CreatedAtMs int64            `json:"at_ms,omitempty"` // Unix time
	Checksum    string           `json:"sum,omitempty"`   // SHA-256 of the packed settings, in hex
	PackedBytes int              `json:"bytes"`

	Local       NodeSettings   `json:"here"`
	FromLeader  bool           `json:"leads"` // if true, the fields below are set
	ActiveNodes int            `json:"in_force"`
	TotalNodes  int            `json:"of"`
	Lagging     []NodeSettings `json:"behind"` // sorted by name, at most maxLagging
}

// settingsReport returns this node's view of the fleet's settings.
func (a *Agent) settingsReport() *SettingsReport {
	local := a.localSettings()
	report := &SettingsReport{
		Local:   NodeSettings{Node: a.config.Name, Latest: local.Latest, Active: local.Active},
		Lagging: []NodeSettings{},
	}
	if !local.Rejected.IsZero() {
		report.Local.Reason = fmt.Sprintf("revision %v refused: %s", local.Rejected, local.RejectReason)
	}
	latest := a.distributor.Latest()
	if a.HasState() {
		report.Previous = versionID(a.state.settings.Previous)
		if current := a.state.settings.Current; current != nil && current.ID.Compare(local.Latest) >= 0 {
			latest = current
		}
	}
	if latest != nil {
		report.describe(latest)
	}
	if a.consensus != nil && a.consensus.IsLeader() {
		report.FromLeader = true
		active, total, lagging := a.laggingNodes(maxLagging)
		report.ActiveNodes, report.TotalNodes = active, total
		report.Lagging = append(report.Lagging, lagging...)
	}
	return report
}

// describe sets the fields that are derived from a version: ID, checksum, size, author, reason and time.
func (r *SettingsReport) describe(version *configversion.Version) {
	header := version.Header()
	r.Latest = header.ID
	r.Checksum = fmt.Sprintf("%x", header.Checksum)
	r.PackedBytes = header.Size
	if content, err := configversion.Unpack(version.Body); err == nil {
		r.Author, r.Reason, r.CreatedAtMs = content.Author, content.Reason, content.CreatedAtMs
	}
}
