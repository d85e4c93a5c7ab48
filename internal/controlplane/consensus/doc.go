// Package consensus replicates a state machine among the replicas of the control plane by Raft, with etcd's library, which does
// no I/O of its own. Neither does this package: it reads no clock and draws from the random source that it is given. Datagrams,
// ticks and what membership knows of the other replicas go in; datagrams and state to persist come out.
//
// The host calls Step by NextStepAt at the latest, Receive for each datagram, and UpdatePeers whenever reachability has changed.
// After each of these calls it takes TakeActions and carries the actions out in order, so that no message is sent before the
// state that it depends on is persisted, and then takes TakeApplied and TakeLogLines.
//
// Replicas may have no disk. The votes and acknowledgements that such a replica has given in Raft are lost with its process, so a
// voter is not a node but one instance of it: a process that has lost its state comes back as another voter, which those that
// have kept theirs add to the group. When so many voters have lost their state that a group can never have a majority again,
// another group is founded. Groups are totally ordered, and no replica that knows of a later group accepts anything of an earlier
// one. docs/design/release.md has the argument, and docs/design/controlplane.md says who owns what.
package consensus
