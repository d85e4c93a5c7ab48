package chaos

import (
	"time"

	"swiftdeal/internal/testing/loopback"
)

// addressBlock assigns the harness's addresses within a reserved loopback network.
type addressBlock struct{ *loopback.Block }

// Ports of the harness. They lie below the kernel's ephemeral port range, so no other socket takes them by chance.
const (
	clientsPort = 7001
	controlPort = 7002
	gossipPort  = 7946
	discoPort   = 7100
	workerPort  = 7200
)

const (
	nodeHost     = 10  // last byte of the first node's own address
	relayHost    = 100 // last byte of the first node's address at the relay, discovery and workers
	controlPorts = 50  // consecutive starts of a node use different control ports, and reuse them after this many
)

// clientsAddr is where node i accepts clients. The duplicate process's index follows those of all nodes.
func (b addressBlock) clientsAddr(i int) string { return b.Addr(nodeHost+i, clientsPort) }

// controlAddr is the control address of one start of a node: during a handover two processes of the node run at once.
func (b addressBlock) controlAddr(i, start int) string {
	return b.Addr(nodeHost+i, controlPort+start%controlPorts)
}

// gossipAddr is where node i itself receives datagrams.
func (b addressBlock) gossipAddr(i int) string { return b.Addr(nodeHost+i, gossipPort) }

// relayAddr is where the relay receives datagrams for node i.
func (b addressBlock) relayAddr(i int) string { return b.Addr(relayHost+i, gossipPort) }

// discoveryAddr is where node i reaches the fake discovery service.
func (b addressBlock) discoveryAddr(i int) string { return b.Addr(relayHost+i, discoPort) }

// workerAddr is where node i reaches a fake worker.
func (b addressBlock) workerAddr(i, worker int) string {
	return b.Addr(relayHost+i, workerPort+worker)
}

// failureTimeout bounds steps that only a real failure delays this long, even on a busy machine.
const failureTimeout = 60 * time.Second
