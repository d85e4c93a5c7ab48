package simulation

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"swiftdeal/internal/handover"
)

// Handover between two processes of one node: as in production, the successor contacts the predecessor over a link that carries messages
// and socket descriptors. Each process has its own event queue, timers and connections.

const (
	// handoverLatency is the latency of a handover link.
	handoverLatency = 50 * time.Microsecond
	// successorReadyLimit is the time within which a successor must report that it is ready.
	successorReadyLimit = 6 * time.Second
)

// handoverEnd is one process's end of a handover link.
type handoverEnd struct {
	process   *process
	other     *handoverEnd
	arrivesAt time.Duration // arrival time of the last message

	mu     sync.Mutex
	cond   *sync.Cond
	inbox  []*message
	eof    bool // the other end has closed
	closed bool
}

// message is a handover message in flight, with the sockets that it passes. A message without text closes the link.
type message struct {
	from   *handoverEnd
	text   []byte
	kind   handover.Kind
	key    string // orders messages of one kind
	passed []any
}

// messageRank orders the messages that one process sends at one instant, so that their order does not depend on goroutine scheduling.
var messageRank = map[handover.Kind]int{
	handover.KindHello: 1, handover.KindWelcome: 2, handover.KindRefused: 3, handover.KindTakeOver: 4,
	handover.KindState: 5, handover.KindUpdate: 6, handover.KindConnection: 7, handover.KindRequest: 8, "": 9,
}

func (p *message) compare(o *message) int {
	return cmp.Or(
		cmp.Compare(p.from.process.index, o.from.process.index),
		cmp.Compare(p.from.process.incarnation, o.from.process.incarnation),
		cmp.Compare(messageRank[p.kind], messageRank[o.kind]),
		cmp.Compare(p.key, o.key),
	)
}

// newHandoverLink creates a handover link between two processes.
func newHandoverLink(a, b *process) (x, y *handoverEnd) {
	x, y = &handoverEnd{process: a}, &handoverEnd{process: b}
	for _, e := range []*handoverEnd{x, y} {
		e.cond = sync.NewCond(&e.mu)
		e.process.handoverEnds = append(e.process.handoverEnds, e)
	}
	x.other, y.other = y, x
	return x, y
}

// Send implements handover.Link.
func (e *handoverEnd) Send(m handover.Message, pass ...any) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	e.mu.Lock()
	disconnected := e.closed || e.eof
	e.mu.Unlock()
	if disconnected || e.other.process.killed {
		return net.ErrClosed
	}
	p := &message{from: e, text: text, kind: m.Kind}
	for _, s := range pass {
		switch s := s.(type) {
		case *handle:
			h := s.endpoint.openIn(e.other.process)
			p.key += fmt.Sprintf("%06d ", h.link.id)
			p.passed = append(p.passed, h)
		case *listener:
			p.passed = append(p.passed, s.listenSocket.openIn(e.other.process))
		default:
			return fmt.Errorf("cannot pass a %T over a handover link", s)
		}
	}
	e.process.simulation.enqueueAction(action{kind: actionHandover, message: p})
	return nil
}

// Receive implements handover.Link.
func (e *handoverEnd) Receive(wait time.Duration) (m handover.Message, passed []any, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var deadline time.Time
	if wait > 0 {
		deadline = time.Now().Add(wait)
		defer time.AfterFunc(wait, e.cond.Broadcast).Stop()
	}
	for len(e.inbox) == 0 {
		switch {
		case e.closed:
			return m, nil, net.ErrClosed
		case e.eof:
			return m, nil, io.EOF
		case expired(deadline):
			return m, nil, os.ErrDeadlineExceeded
		}
		e.cond.Wait()
	}
	p := e.inbox[0]
	e.inbox = e.inbox[1:]
	return m, p.passed, json.Unmarshal(p.text, &m)
}

// Close implements handover.Link.
func (e *handoverEnd) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closed {
		e.closed = true
		e.cond.Broadcast()
		e.process.simulation.enqueueAction(action{kind: actionHandover, message: &message{from: e}})
	}
	return nil
}

// deliverMessage schedules the delivery of a message to the other process, which then owns the passed sockets; they are closed if the
// process or its end of the link is gone.
func (sim *Simulation) deliverMessage(p *message) {
	to := p.from.other
	to.arrivesAt = max(to.arrivesAt+1, sim.now()+handoverLatency)
	sim.messagesInFlight++
	sim.schedule(to.arrivesAt, func() {
		sim.messagesInFlight--
		to.mu.Lock()
		lost := to.closed || to.process.killed
		to.mu.Unlock()
		for _, s := range p.passed {
			if h, ok := s.(*handle); lost {
				s.(io.Closer).Close()
			} else if ok {
				sim.trace(
					"%s goes from process %d to %d of %s", h.link.label, p.from.process.incarnation,
					to.process.incarnation, to.process.name,
				)
				p.from.process.passedLinks = append(p.from.process.passedLinks, h.link)
				h.link.handle = h
				to.process.takeOver(h.link)
				if !h.link.toWorker {
					sim.outcome.ConnsPassed++
				} else if h.link.request != nil {
					sim.outcome.RequestsMigrated++
				}
			}
		}
		to.process.active = true
		to.mu.Lock()
		defer to.mu.Unlock()
		if p.text == nil {
			to.eof = true
		} else if !lost {
			to.inbox = append(to.inbox, p)
		}
		to.cond.Broadcast()
	})
}

// successorListener accepts handover links from successors of a process.
type successorListener struct {
	proc     *process
	incoming chan *handoverEnd
	once     sync.Once
	done     chan struct{}
}

func newSuccessorListener(n *process) *successorListener {
	return &successorListener{proc: n, incoming: make(chan *handoverEnd), done: make(chan struct{})}
}

// Open implements handover.SuccessorListener.
func (h *successorListener) Open() error {
	h.proc.simulation.mu.Lock()
	defer h.proc.simulation.mu.Unlock()
	h.proc.simulation.successors[h.proc.name] = h
	return nil
}

// Accept implements handover.SuccessorListener.
func (h *successorListener) Accept() (handover.Link, error) {
	select {
	case e := <-h.incoming:
		return e, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements handover.SuccessorListener.
func (h *successorListener) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// replaceProcess starts a second process of a node. Once the second process reports that it is ready, it receives the clients, and the
// first one gets SIGTERM after the given time; SIGKILL would follow killDelay later.
func (sim *Simulation) replaceProcess(i int, after time.Duration) {
	old := sim.nodes[i]
	if !old.running || !old.ready || old.terminatedAt > 0 || old.drained || old.successor != nil {
		return
	}
	sim.mu.Lock()
	prior := sim.successors[old.name]
	sim.mu.Unlock()
	sim.trace("%s is to be replaced", old.name)
	n := sim.startProcess(old, prior)
	old.successor, old.requestCounts, n.requestCounts = n, nil, nil // which process counts an answer cannot be observed
	sim.replaced = append(sim.replaced, old)
	began := sim.now()
	var ask func()
	ask = func() {
		if n.terminatedAt > 0 || !n.running { // it ended before it was ready: the first one continues
			if old.running && n == sim.nodes[i] {
				sim.nodes[i], old.successor = old, nil
				sim.replaced = slices.DeleteFunc(sim.replaced, func(o *process) bool { return o == old })
				sim.replaced = append(sim.replaced, n)
			}
			return
		}
		sim.call(n, n.control, "GET /-/ready", func(code string) {
			if code != "200" {
				if sim.now()-began > successorReadyLimit {
					sim.fail("replacement", fmt.Sprintf("%s: the new process does not say yes", n.name), n.name, "")
				}
				sim.After(20*time.Millisecond, ask)
				return
			}
			sim.trace("%s has a new process", n.name)
			n.ready, old.ready = true, false
			sim.After(after, func() {
				sim.terminate(old, nil)
			})
		})
	}
	sim.After(time.Millisecond, ask)
}
