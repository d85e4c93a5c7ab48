// Package replica runs a node's part in the control plane: it connects the I/O-free Agent of package controlplane to the process. It
// sends and receives datagrams over membership's socket, persists state, executes the agent's actions on the node, and marks drained
// workers as draining for the node's balancer. It accesses the node only through Host, so that test rigs can run the same code.
package replica
