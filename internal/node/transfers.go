package node

import "sync"

// transferGroup counts the connections and open requests that are on their way between two processes of the node: from when one
// gives them up until it has sent them, or the other has them. It is safe for concurrent use.
type transferGroup struct {
	mu    sync.Mutex
	ended sync.Cond // broadcast when count becomes 0
	count int
}

func newTransferGroup() *transferGroup {
	g := &transferGroup{}
	g.ended.L = &g.mu
	return g
}

// begin adds a transfer. The caller calls end once it is over.
func (g *transferGroup) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
}

func (g *transferGroup) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.count--; g.count == 0 {
		g.ended.Broadcast()
	}
}

// active reports whether there is a transfer.
func (g *transferGroup) active() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count > 0
}

// wait waits until there is no transfer.
func (g *transferGroup) wait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.count > 0 {
		g.ended.Wait()
	}
}
