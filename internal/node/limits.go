package node

import (
	"sync"

	"swiftdeal/internal/config"
)

// limitsInForce holds the limits that change while the node runs: with its settings, and while two processes of the node
// share its resources. It is safe for concurrent use.
type limitsInForce struct {
	mu           sync.Mutex
	limits       config.Limits // as adjusted to the active settings
	fromSettings config.Limits // as derived from the settings when DrainAnswerTimeout last changed
	shared       bool          // two processes share the limits
}

// current returns the limits of this process: half of the node's limits while two processes share them.
func (l *limitsInForce) current() config.Limits {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shared {
		return l.limits.Half()
	}
	return l.limits
}

// share sets whether two processes share the limits.
func (l *limitsInForce) share(shared bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shared = shared
}

// apply adopts the limits derived from changed settings: the number of open requests, which is at most the number of
// connections, and the drain timeout, which never becomes shorter. If DrainAnswerTimeout has changed, it also adopts that
// one, DrainGrace, DrainAcceptPeriod and DrainIdleTimeout.
func (l *limitsInForce) apply(to config.Limits, connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.OpenRequests = min(connections, to.OpenRequests)
	l.limits.DrainTimeout = max(l.limits.DrainTimeout, to.DrainTimeout)
	if to.DrainAnswerTimeout == l.fromSettings.DrainAnswerTimeout { // derived from the longest request deadline
		return
	}
	l.limits.DrainAnswerTimeout = to.DrainAnswerTimeout
	l.limits.DrainGrace = to.DrainGrace
	l.limits.DrainAcceptPeriod = to.DrainAcceptPeriod
	l.limits.DrainIdleTimeout = to.DrainIdleTimeout
	l.fromSettings = to
}

// shareLimits sets whether two processes share the node's limits, and applies the resulting limits to connections, open
// requests and memory.
func (n *Node) shareLimits(shared bool) {
	n.limitsInForce.share(shared)
	l := n.limitsInForce.current()
	n.ingress.SetBodyMemory(l.BodyMemoryBytes)
	n.connections.resize(l)
	n.transport.Resize(l.WorkerConns)
	n.transport.SetLongLines(l.LongLines)
	n.setOpenRequests(l)
	if n.machine.SetMemoryLimit != nil {
		n.machine.SetMemoryLimit(l.MemoryBytes)
	}
}

// applyLimits applies the limits derived from changed settings.
func (n *Node) applyLimits(to config.Limits) {
	n.limitsInForce.apply(to, n.limits.ClientConns)
	n.setOpenRequests(n.limitsInForce.current())
}

// setOpenRequests sets how many requests may be open, held, and waiting for their first decision.
func (n *Node) setOpenRequests(l config.Limits) {
	n.admission.SetCapacity(l.OpenRequests, l.HeldBytes)
	n.dispatcher.SetMaxUnhandled(l.OpenRequests)
}
