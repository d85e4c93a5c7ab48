package node

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/discovery"
	"swiftdeal/internal/handover"
)

// processHandover manages the handover of a node between processes: first with this process as the successor, then as the
// predecessor. It is nil if this process neither replaces one nor can be replaced; some methods may be called on nil, as
// their comments say. It is safe for concurrent use.
type processHandover struct {
	node       *Node
	listener   *handoverListener
	successors handover.SuccessorListener // nil if this process cannot be replaced
	endpoints  *endpointRecorder

	tookOver atomic.Bool // this process has replaced another one

	mu          sync.Mutex
	handoff     handover.Handoff
	linkCount   int // number of successor links accepted so far
	links       map[io.Closer]bool
	successor   handover.Link          // to the process that took over the clients; nil if none has
	predecessor handover.Link          // to the process that this one has replaced; nil if it has exited, or there was none
	migrating   chan struct{}          // closed while open requests are to be migrated to the successor
	linked      map[*updateSender]bool // send changes to the linked processes
	closed      bool                   // no more goroutines may be started
	running     sync.WaitGroup

	transfers *transferGroup
}

func newProcessHandover(n *Node, listener *handoverListener, successors handover.SuccessorListener) *processHandover {
	h := &processHandover{
		node: n, listener: listener, successors: successors, endpoints: &endpointRecorder{Handler: n.listEvents},
		links: map[io.Closer]bool{}, linked: map[*updateSender]bool{}, migrating: make(chan struct{}), transfers: newTransferGroup(),
	}
	h.endpoints.changed = h.notifyLinked
	return h
}

// begin takes over from the predecessor, if there is one, and then starts to accept successors.
func (h *processHandover) begin(ctx context.Context, predecessor *handover.Predecessor) {
	if predecessor != nil {
		h.awaitEndpoints(ctx)
		h.takeOver(ctx, predecessor)
		h.tookOver.Store(true)
	}
	if h.successors == nil {
		return
	}
	// Opened only now: guards against a process that serves clients but is not found by the process that is to replace it.
	if h.openSuccessors() {
		h.run(noLink{}, h.acceptSuccessors)
	}
}

// openSuccessors makes this process the one that further processes ask to take over from, and reports whether it is.
func (h *processHandover) openSuccessors() bool {
	if err := h.successors.Open(); err != nil {
		h.node.log.Warn("handover unavailable", "error", err)
		return false
	}
	return true
}

// awaitEndpoints waits until the endpoint list is known, since no clients should be taken over before. It waits at most
// TakeoverListTimeout, because the list may be empty at the time of the handover: the predecessor, which is about to exit,
// has no workers either then, so a longer wait gains nothing.
func (h *processHandover) awaitEndpoints(ctx context.Context) {
	timer := time.NewTimer(h.node.limits.TakeoverListTimeout)
	defer timer.Stop()
	select {
	case <-h.node.dispatcher.EndpointsKnown():
	case <-timer.C:
		h.node.log.Warn("taking over without an endpoint list")
	case <-ctx.Done():
	}
}

// run runs work on a link or connection in a new goroutine. Links and connections are closed when close is called; a link
// is also closed when its work returns. After close, run closes the link or connection instead and returns false.
func (h *processHandover) run(link io.Closer, work func()) (started bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		link.Close()
		return false
	}
	h.links[link] = true
	h.running.Add(1)
	go func() {
		defer h.running.Done()
		work()
		if _, ok := link.(handover.Link); ok {
			link.Close()
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.links, link)
	}()
	return true
}

// close closes all links, after the transfers in progress, and waits for all goroutines.
func (h *processHandover) close() {
	if h.successors != nil {
		h.successors.Close()
	}
	h.transfers.wait()
	h.mu.Lock()
	h.closed = true
	for link := range h.links {
		link.Close()
	}
	h.mu.Unlock()
	h.running.Wait()
}

// shutDown records that the process is terminating, and reports whether a successor serves the clients. It may be called
// on nil.
func (h *processHandover) shutDown() (handedOver bool) {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.handoff.Shutdown()
}

// handedOver reports whether a successor serves the clients. It may be called on nil.
func (h *processHandover) handedOver() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.handoff.HandedOver()
}

// predecessorAlive reports whether the process that this one has replaced still runs.
func (h *processHandover) predecessorAlive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.predecessor != nil
}

// transferring reports whether connections or open requests are on their way from or to another process. It may be called
// on nil.
func (h *processHandover) transferring() bool { return h != nil && h.transfers.active() }

// migrations returns a channel that is closed while open requests are to be migrated. It may be called on nil.
func (h *processHandover) migrations() <-chan struct{} {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.migrating
}

// clocks reads the clocks to which the times in handover messages refer.
func (n *Node) clocks() handover.Clocks {
	return handover.Clocks{Monotonic: n.machine.Monotonic(), Balancer: n.dispatcher.Now()}
}

// endpointRecorder keeps the endpoint list received from discovery, for the successor process.
type endpointRecorder struct {
	discovery.Handler
	changed func() // called when the list has changed; it does not wait

	mu   sync.Mutex
	list config.EndpointList
}

// HandleListEvent implements discovery.Handler.
func (r *endpointRecorder) HandleListEvent(kind balance.EndpointUpdate, list config.EndpointList) {
	switch kind {
	case balance.FullUpdate, balance.CachedUpdate, balance.DeltaUpdate, balance.RelayedUpdate:
		r.mu.Lock()
		r.list = r.list.Merge(list)
		r.mu.Unlock()
		r.changed()
	}
	r.Handler.HandleListEvent(kind, list)
}

// current returns a copy of the list.
func (r *endpointRecorder) current() *config.EndpointList {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.list.Merge(config.EndpointList{Version: r.list.Version, Source: r.list.Source})
	return &list
}

// noLink is the link passed to run for work that has none.
type noLink struct{ handover.Link }

// Close implements handover.Link.
func (noLink) Close() error { return nil }
