package node

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/dispatch"
	"swiftdeal/internal/handover"
)

// succession is a node's part in replacing its process: first as the new one, then as the old.
type succession struct {
	n      *Node
	doors  *entrance
	heirs  handover.Heirs
	group  *roster
	listen string // as the configuration words it

	entered atomic.Bool // it has taken the place of another process

	mu    sync.Mutex
	turn  handover.Turn
	link  int // of those that asked, counted
	links map[io.Closer]bool
	heir  handover.Link // to the process that takes clients; nil: none does
	prior handover.Link // to the process whose place this one has taken; nil: it is gone, or there was none
	going chan struct{} // closed while open requests are to go there
	over  bool          // nothing is to be started any more
	work  sync.WaitGroup
	gives sync.WaitGroup // connections and open requests on their way
}

// roster keeps the upstream group as discovery has told it, for the process that comes after this one.
type roster struct {
	*dispatch.Stage
	mu    sync.Mutex
	group config.Group
}

// Listed implements upstream.Events.
func (r *roster) Listed(kind balance.List, g config.Group) {
	if kind == balance.ListFull || kind == balance.ListCached || kind == balance.ListChanges {
		r.mu.Lock()
		r.group = r.group.With(g)
		r.mu.Unlock()
	}
	r.Stage.Listed(kind, g)
}

func (r *roster) now() *config.Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group.With(config.Group{Version: r.group.Version}) // a copy
	return &g
}

// takeOver takes the place of the process on the other end of the link: it stops taking clients, tells what it knows,
// and passes its connections as they become idle. A link that fails means that there is nobody to wait for.
func (s *succession) takeOver(ctx context.Context, l handover.Link) {
	limits := s.n.limits
	err := l.Send(handover.Message{Kind: handover.Take})
	var m handover.Message
	if err == nil {
		m, _, err = l.Receive(limits.HandWait)
	}
	if err == nil && m.Kind == handover.Taken && m.Know != nil {
		m.Know.Shift(m.Clocks.Shift(s.n.clocks()))
		s.n.route.Learn(*m.Know)
		s.n.overlay.inherit(ctx, m.Settings, limits.HandWait)
	} else if err == nil {
		err = errors.New("it answered with a message of kind " + string(m.Kind))
	}
	s.n.log.Info("took over", "error", err)
	// Guards against open requests that wait behind idle clients, whose turn comes only once there is room for them.
	idle := make(chan net.Conn, limits.ClientConns+limits.SpareConns)
	s.start(noLink{}, func() {
		for c := range idle {
			s.doors.bring(c)
		}
	})
	s.mu.Lock()
	s.prior = l
	s.mu.Unlock()
	s.start(l, func() {
		defer close(idle)
		for count := 0; ; count++ {
			m, passed, err := l.Receive(0)
			if err != nil {
				s.n.log.Info("the process before this one is gone", "clients", count, "why", err)
				s.mu.Lock()
				s.prior = nil
				yielded := s.turn.Yielded()
				s.mu.Unlock()
				s.n.resize(yielded) // shared with the one that comes after it, if that has come
				return
			}
			if m.Kind == handover.Job {
				s.adopt(m.Work, m.Clocks, passed)
			}
			for _, c := range passed {
				if c, ok := c.(net.Conn); ok && m.Kind == handover.Client {
					idle <- c
				}
			}
		}
	})
}

// start does the work on a link or a connection, which is closed when all ends, and a link after its work too.
func (s *succession) start(l io.Closer, work func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		l.Close()
		return
	}
	s.links[l] = true
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		work()
		if _, ok := l.(handover.Link); ok {
			l.Close()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.links, l)
	}()
}

// end ends all links, once the connections that are on their way have gone.
func (s *succession) end() {
	if s == nil {
		return
	}
	if s.heirs != nil {
		s.heirs.Close()
	}
	s.gives.Wait()
	s.mu.Lock()
	s.over = true
	for l := range s.links {
		l.Close()
	}
	s.mu.Unlock()
	s.work.Wait()
}

// serveHeirs answers processes that want to take over, until heirs is closed.
func (s *succession) serveHeirs() {
	for {
		l, err := s.heirs.Accept()
		if err != nil {
			return
		}
		s.link++
		id := s.link
		s.start(l, func() { s.serve(l, id) })
	}
}

// serve hands over to one process, step by step as that asks for it.
func (s *succession) serve(l handover.Link, id int) {
	m, _, err := l.Receive(s.n.limits.HandWait)
	if err != nil || m.Kind != handover.Hello {
		return
	}
	refuse := func(reason string) {
		s.n.log.Warn("a process that wants to take over is refused", "reason", reason)
		l.Send(handover.Message{Kind: handover.Refused, Version: handover.Version, Reason: reason})
	}
	if m.Version != handover.Version || m.Listen != s.listen {
		refuse("another version or another node")
		return
	}
	s.mu.Lock()
	ok := s.turn.Hello(id)
	s.mu.Unlock()
	if !ok {
		refuse("another process is taking over")
		return
	}
	err = l.Send(handover.Message{Kind: handover.Welcome, Version: handover.Version, Group: s.group.now()}, s.doors.Listener)
	for err == nil {
		if m, _, err = l.Receive(0); err == nil && m.Kind == handover.Take {
			s.mu.Lock()
			stop := s.turn.Take(id)
			s.mu.Unlock()
			if stop {
				err = s.yield(l)
			}
		} else if err == nil && m.Kind == handover.Refused {
			// Guards against two processes that take clients: the one that took over has been replaced in turn, and will
			// end as it should.
			s.mu.Lock()
			s.turn.End()
			s.mu.Unlock()
		}
	}
	s.mu.Lock()
	back, over := s.turn.Lost(id), s.over
	s.mu.Unlock()
	if over { // this process has ended first, as it should
		return
	}
	s.n.log.Info("the process that takes over is gone", "takes_clients_again", back, "why", err)
	if back {
		s.mu.Lock()
		s.heir, s.going = nil, make(chan struct{})
		s.mu.Unlock()
		s.n.conns.yield(nil)
		s.n.route.Yield(false)
		s.n.resize(false)
		s.doors.shut(false)
		if err := s.n.fleet.enter(true); err != nil {
			s.n.log.Error("takes no part in the fleet any more", "error", err)
		}
	}
}

// yield stops taking clients and gives those that are idle to the process on the link.
func (s *succession) yield(l handover.Link) error {
	s.doors.shut(true)
	s.n.fleet.yield()
	s.n.resize(true)
	know := s.n.route.Yield(true)
	clocks := s.n.clocks()
	if err := l.Send(handover.Message{Kind: handover.Taken, Know: &know, Settings: s.n.overlay.bequeath(), Clocks: &clocks}); err != nil {
		return err
	}
	s.n.log.Info("another process takes clients from now on", "open", s.n.admit.Open(), "connections", s.n.conns.count())
	s.n.conns.yield(func(c net.Conn) {
		s.gives.Add(1)
		go func() {
			defer s.gives.Done()
			defer c.Close()
			l.Send(handover.Message{Kind: handover.Client}, c)
		}()
	})
	s.mu.Lock()
	s.heir = l
	close(s.going)
	prior := s.prior
	s.mu.Unlock()
	if prior != nil { // of a kind that processes without this know, and pass over
		prior.Send(handover.Message{Kind: handover.Refused, Version: handover.Version, Reason: "replaced in turn"})
	}
	return nil
}

// clocks reads the clocks by which a hand-over's times are dated.
func (n *Node) clocks() handover.Clocks {
	return handover.Clocks{Machine: n.uptime(), Decisions: n.route.Now()}
}

// behind reports whether the process whose place this one has taken still lives.
func (s *succession) behind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prior != nil
}

// moves is closed while open requests are to go to another process.
func (s *succession) moves() <-chan struct{} {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.going
}

// yielded reports whether another process takes clients.
func (s *succession) yielded() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turn.Yielded()
}

// ending says that the process ends, and reports whether another one takes clients.
func (s *succession) ending() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turn.End()
}

// resize keeps the node's connections and memory within its limits, or within half of them while two processes share
// them.
func (n *Node) resize(half bool) {
	n.mu.Lock()
	n.halved = half
	n.mu.Unlock()
	l := n.bounds()
	n.conns.resize(l.ClientConns, l.SpareConns)
	n.peers.Resize(l.PeerConns)
	n.admit.Resize(l.OpenRequests)
	if n.memory != nil {
		n.memory(l.MemoryBytes)
	}
}

// retime takes the limits that follow from settings which have changed: how many requests may be open, and how long a
// drain may take.
func (n *Node) retime(to config.Limits) {
	n.mu.Lock()
	n.timed.OpenRequests, n.timed.DrainTotal = min(n.limits.ClientConns, to.OpenRequests), max(n.timed.DrainTotal, to.DrainTotal)
	if to.DrainLate != n.settled.DrainLate { // it follows the longest deadline
		n.timed.DrainLate, n.timed.DrainAccept, n.timed.DrainIdle, n.settled = to.DrainLate, to.DrainAccept, to.DrainIdle, to
	}
	n.mu.Unlock()
	n.admit.Resize(n.bounds().OpenRequests)
}

// bounds returns the limits in force.
func (n *Node) bounds() config.Limits {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.halved {
		return n.timed.Half()
	}
	return n.timed
}

// enter makes the process the node's own: it takes the place of the one before it, if there is one, and is then the one
// that others find. It first waits for an upstream group, as no client should come before. Guards against a list that is
// empty as the process is replaced: the one before it, which is about to end, has no peers either.
func (s *succession) enter(ctx context.Context, prior *handover.Prior) {
	if prior != nil {
		timer := time.NewTimer(s.n.limits.EnterWait)
		select {
		case <-s.n.route.Held():
		case <-timer.C:
			s.n.log.Warn("takes over without an upstream group")
		case <-ctx.Done():
		}
		timer.Stop()
		s.takeOver(ctx, prior.Link)
		s.entered.Store(true)
	}
	if s.heirs == nil {
		return
	}
	// Guards against a process that says that it takes clients, and is not found by the one that is to replace it.
	if err := s.heirs.Open(); err != nil {
		s.n.log.Warn("this process cannot be replaced without a gap", "error", err)
		return
	}
	s.start(noLink{}, s.serveHeirs)
}

// noLink stands for the link of work that has none.
type noLink struct{ handover.Link }

// Close implements handover.Link.
func (noLink) Close() error { return nil }
