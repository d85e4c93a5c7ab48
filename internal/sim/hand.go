package sim

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"swiftdeal/internal/handover"
	"swiftdeal/internal/node"
)

// Two processes of one node: the second asks the first for its place over a link as in service, which carries messages
// and handles of sockets. Each process has a mailbox, timers and connections of its own.

// end is one process's end of a link between two.
type end struct {
	proc  *simNode
	other *end
	inAt  time.Duration // when the last message comes here

	mu     sync.Mutex
	cond   *sync.Cond
	in     []*parcel
	eof    bool // the other end is closed
	closed bool
}

// parcel is a message on its way, with what it passes; without a message it is the end of the link.
type parcel struct {
	from   *end
	text   []byte
	kind   handover.Kind
	key    string // puts messages of one kind in order
	passed []any
}

// rank puts what one process sends at one instant in an order that does not hang on its goroutines.
var rank = map[handover.Kind]int{
	handover.Hello: 1, handover.Welcome: 2, handover.Refused: 3, handover.Take: 4, handover.Taken: 5, handover.Client: 6, handover.Job: 7, "": 8,
}

func (p *parcel) compare(o *parcel) int {
	return cmp.Or(cmp.Compare(p.from.proc.index, o.from.proc.index), cmp.Compare(p.from.proc.life, o.from.proc.life),
		cmp.Compare(rank[p.kind], rank[o.kind]), cmp.Compare(p.key, o.key))
}

// joined makes a link between two processes.
func joined(a, b *simNode) (x, y *end) {
	x, y = &end{proc: a}, &end{proc: b}
	for _, e := range []*end{x, y} {
		e.cond = sync.NewCond(&e.mu)
		e.proc.ends = append(e.proc.ends, e)
	}
	x.other, y.other = y, x
	return x, y
}

// Send implements handover.Link.
func (e *end) Send(m handover.Message, pass ...any) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	e.mu.Lock()
	shut := e.closed || e.eof
	e.mu.Unlock()
	if shut || e.other.proc.dead {
		return net.ErrClosed
	}
	p := &parcel{from: e, text: text, kind: m.Kind}
	for _, s := range pass {
		switch s := s.(type) {
		case *handle:
			h := s.endpoint.open(e.other.proc)
			p.key += fmt.Sprintf("%06d ", h.l.id)
			p.passed = append(p.passed, h)
		case *door:
			p.passed = append(p.passed, s.listener.open(e.other.proc))
		default:
			return fmt.Errorf("a %T cannot be passed", s)
		}
	}
	e.proc.w.did(deed{kind: didHand, hand: p})
	return nil
}

// Receive implements handover.Link.
func (e *end) Receive(wait time.Duration) (m handover.Message, passed []any, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var by time.Time
	if wait > 0 {
		by = time.Now().Add(wait)
		defer time.AfterFunc(wait, e.cond.Broadcast).Stop()
	}
	for len(e.in) == 0 {
		switch {
		case e.closed:
			return m, nil, net.ErrClosed
		case e.eof:
			return m, nil, io.EOF
		case past(by):
			return m, nil, os.ErrDeadlineExceeded
		}
		e.cond.Wait()
	}
	p := e.in[0]
	e.in = e.in[1:]
	return m, p.passed, json.Unmarshal(p.text, &m)
}

// Close implements handover.Link.
func (e *end) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closed {
		e.closed = true
		e.cond.Broadcast()
		e.proc.w.did(deed{kind: didHand, hand: &parcel{from: e}})
	}
	return nil
}

// carry takes a message to the other process. What it passes is that one's from then on, or is closed where that is gone.
func (w *World) carry(p *parcel) {
	to := p.from.other
	to.inAt = max(to.inAt+1, w.now()+50*time.Microsecond)
	w.parcels++
	w.at(to.inAt, func() {
		w.parcels--
		to.mu.Lock()
		lost := to.closed || to.proc.dead
		to.mu.Unlock()
		for _, s := range p.passed {
			if h, ok := s.(*handle); lost {
				s.(io.Closer).Close()
			} else if ok {
				w.trace("%s goes from process %d to %d of %s", h.l.label, p.from.proc.life, to.proc.life, to.proc.name)
				p.from.proc.gave = append(p.from.proc.gave, h.l)
				h.l.held = h
				to.proc.own(h.l)
				if !h.l.toPeer {
					w.out.Passed++
				} else if h.l.use != nil {
					w.out.Moved++
				}
			}
		}
		to.proc.stirred = true
		to.mu.Lock()
		defer to.mu.Unlock()
		if p.text == nil {
			to.eof = true
		} else if !lost {
			to.in = append(to.in, p)
		}
		to.cond.Broadcast()
	})
}

// heirs is where processes come that want a process's place.
type heirs struct {
	proc *simNode
	come chan *end
	once sync.Once
	done chan struct{}
}

func newHeirs(n *simNode) *heirs {
	return &heirs{proc: n, come: make(chan *end), done: make(chan struct{})}
}

// Open implements handover.Heirs.
func (h *heirs) Open() error {
	h.proc.w.mu.Lock()
	defer h.proc.w.mu.Unlock()
	h.proc.w.found[h.proc.name] = h
	return nil
}

// Accept implements handover.Heirs.
func (h *heirs) Accept() (handover.Link, error) {
	select {
	case e := <-h.come:
		return e, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements handover.Heirs.
func (h *heirs) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// doors opens a process's doors: as the heir of the one before it, if there is one to ask.
func (n *simNode) doors(prior *heirs) (d node.Doors, err error) {
	d = node.Doors{Clients: n.ln, Reloads: n.reloads}
	if n.ctl != nil {
		d.Control = n.ctl
	}
	if n.w.plan.replaced() {
		d.Heirs = newHeirs(n)
	}
	if prior != nil {
		young, old := joined(n, prior.proc)
		select {
		case prior.come <- old:
		case <-prior.done:
			return d, net.ErrClosed
		}
		if d.Prior, d.Clients, err = handover.Ask(young, n.listen, n.conf.Limits.HandWait); err == nil {
			n.ln = d.Clients.(*door)
		}
	}
	return d, err
}

// serve runs a process until it ends.
func (n *simNode) serve(ctx context.Context, prior *heirs, log nodeLog) {
	d, err := n.doors(prior)
	if err == nil {
		err = node.Serve(ctx, n.machine(), n.conf, d, log.Logger)
	}
	n.ended <- err
	n.w.signal()
}

// replace starts a second process of a node. Once it says yes it is the node's, and the first one gets SIGTERM after a
// while; SIGKILL would follow 3.7 s later.
func (w *World) replace(i int, after time.Duration) {
	old := w.nodes[i]
	if !old.up || !old.ready || old.termed > 0 || old.away || old.heir != nil {
		return
	}
	w.mu.Lock()
	prior := w.found[old.name]
	w.mu.Unlock()
	w.trace("%s is to be replaced", old.name)
	n := w.startProcess(old, prior)
	old.heir, old.answers, n.answers = n, nil, nil // whose figures an answer is in, nobody sees
	w.olds = append(w.olds, old)
	began := w.now()
	var ask func()
	ask = func() {
		if n.termed > 0 || !n.up { // it goes before it has said yes: the first one goes on
			if old.up && n == w.nodes[i] {
				w.nodes[i], old.heir = old, nil
				w.olds = slices.DeleteFunc(w.olds, func(o *simNode) bool { return o == old })
				w.olds = append(w.olds, n)
			}
			return
		}
		w.call(n, n.ctl, "GET /-/ready", func(code string) {
			if code != "200" {
				if w.now()-began > 6*time.Second {
					w.fault("replacement", fmt.Sprintf("%s: the new process does not say yes", n.name), n.name, "")
				}
				w.After(20*time.Millisecond, ask)
				return
			}
			w.trace("%s has a new process", n.name)
			n.ready, old.ready = true, false
			w.After(after, func() {
				w.term(old, nil)
			})
		})
	}
	w.After(time.Millisecond, ask)
}

// processes lists those that run, or have, of all nodes: the nodes' own first.
func (w *World) processes() []*simNode { return slices.Concat(w.nodes, w.olds) }

// rest reports whether another process of the node goes on.
func (n *simNode) rest() *simNode {
	for _, o := range n.w.processes() {
		if o != n && o.name == n.name && o.up {
			return o
		}
	}
	return nil
}
