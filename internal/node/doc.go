// Package node wires the stages of request processing into a running node. It also reloads the node's configuration,
// drains the node, and hands it over to a new process.
//
// State ownership:
//
//   - node.go: Node, created by newNode and run by Serve.
//   - request.go: a client's request from its header to its response, on the goroutine of the HTTP server.
//   - reload.go: applies configurations, on the single goroutine of reloadLoop. The values that change while the node
//     runs are owned by limitsInForce (limits.go), settingsInForce (settings.go) and discoveryAddresses
//     (discovery_addresses.go), each guarded by its own mutex.
//   - connections.go, eviction.go: connTracker owns the client connections and enforces their limit.
//   - drain.go: drainState owns whether the node accepts clients. A drain is requested by an operator, or is final
//     after SIGTERM.
//   - process_handover.go, predecessor.go, successor.go: processHandover owns the links to the predecessor and
//     successor processes. handover_updates.go: what linked processes tell each other. handover_listener.go: the
//     listener that both processes share. migration.go: open requests that move from one process to the other.
//   - config_file.go: configFile owns the text of the file in force, for a successor.
//   - fleet.go: fleetMember owns the node's membership; observations.go: worker observations that are gossiped.
//     control_plane.go: control plane calls, and the node as seen by its replica. fleet_settings.go: fleetSettings
//     owns the fleet-wide settings at this node; settings_call.go: operator calls on them.
//   - metrics.go: the metrics shown on the control address.
package node
