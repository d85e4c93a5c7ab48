package config

import (
	"net/netip"
	"slices"
	"time"

	"swiftdeal/internal/controlplane/disruption"
)

// Fleet is the configuration of a node's membership in a fleet. A node without one opens no socket for it, starts no
// goroutines for it and sends nothing.
type Fleet struct {
	Name                string         // of the fleet; datagrams from other fleets are dropped
	MemberName          string         // of this node in the fleet; empty: the node's name
	Site                string         // site in which the node runs
	Listen              string         // IP and port for datagrams
	Advertise           string         // IP and port at which other nodes reach Listen
	Seeds               []string       // IPs and ports of other nodes
	Allow               []netip.Prefix // sources whose datagrams are accepted; empty: all
	Period              time.Duration  // interval between probes
	MaxMembers          int            // size limit of the member list, dead members included
	ForgetAfter         time.Duration  // retention period of dead members
	BelieveObservations bool           // worker restarts reported by other nodes are trusted
	ControlPlane        *ControlPlane  // nil: the fleet has none
	Settings            *FleetSettings // nil: each node uses the settings of its own file
}

// FleetSettings configures the settings that the fleet's control plane distributes. Without it a node starts nothing for
// them.
type FleetSettings struct {
	ReadyTimeout time.Duration // longest wait for them at start before clients are accepted
}

// ControlPlane configures the fleet's control plane. Without it a node starts no part of it.
type ControlPlane struct {
	Replicas     []string      // nodes that run a replica initially; 3, 5 or 7
	Standbys     []string      // nodes that may replace a failed replica
	ReplaceAfter time.Duration // absence after which a replica is replaced; 0: never automatically
	DataDir      string        // of a replica's durable raft state; empty: kept in memory only
	Budgets      disruption.Budgets
}

// MayVote reports whether a node may run a replica, as an initial one or as a standby.
func (c *ControlPlane) MayVote(node string) bool {
	return slices.Contains(c.Replicas, node) || slices.Contains(c.Standbys, node)
}
