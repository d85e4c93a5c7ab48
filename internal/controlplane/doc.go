// Package controlplane implements a node's part in the control plane of its fleet. By consensus, the control plane decides which
// nodes and workers may leave service, how a release of the program proceeds and which settings the fleet uses. There are three parts:
//
//   - The replicated state machine (stateMachine) holds the grants, the release and the versions of the settings.
//   - The leader (leaderState and the files leader_*.go) collects polls and membership, which are not replicated, and proposes
//     commands from them.
//   - The node (the files node_*.go) polls a replica once per period, leaves service only under a grant that was confirmed
//     immediately before, and returns to service.
//
// Agent combines the three. It does no I/O and reads no clock: it takes events and returns actions, and its source of random numbers
// is passed in. Package replica connects it to the process. docs/design/controlplane.md describes the responsibilities in detail.
package controlplane
