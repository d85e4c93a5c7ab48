// Package node wires the stages of the chain into one running node, and drains it.
package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/accounting"
	"swiftdeal/internal/admission"
	"swiftdeal/internal/config"
	"swiftdeal/internal/control"
	"swiftdeal/internal/discovery"
	"swiftdeal/internal/dispatch"
	"swiftdeal/internal/guard"
	"swiftdeal/internal/handover"
	"swiftdeal/internal/ingress"
	"swiftdeal/internal/listen"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/request"
	"swiftdeal/internal/response"
	"swiftdeal/internal/settings"
	"swiftdeal/internal/transport"
)

// Node is a node that serves.
type Node struct {
	limits   config.Limits // but for what changes with settings: see bounds
	takein   *ingress.Stage
	admit    *admission.Stage
	route    *dispatch.Stage
	relay    *response.Stage
	book     *accounting.Stage
	conns    *connections
	peers    *transport.Stage
	memory   func(bytes int64)
	uptime   func() time.Duration // the machine's monotonic clock
	mu       sync.Mutex
	timed    config.Limits // limits with what the settings in force make of them
	settled  config.Limits // as the settings in force give them
	halved   bool          // two processes share them
	settle   sync.Mutex
	inForce  settings.Settings // with all classes that there have been; guarded by settle
	standing standing
	next     *succession // nil: the process cannot be replaced without a gap
	fleet    *fleet      // nil: the node has no part in one
	overlay  *overlay    // nil: no settings come of the fleet
	log      *slog.Logger
	guard    *guard.Monitor

	serving                  atomic.Bool // clients' connections are accepted
	readyBy                  time.Time   // from then on clients are taken without an upstream group too
	reloadsOK, reloadsFailed atomic.Int64
	acceptFailures           atomic.Int64
}

// Doors is where a node is spoken to.
type Doors struct {
	Clients net.Listener
	Control net.Listener    // nil: no calls are answered
	Reloads <-chan Reload   // nil: none come
	Prior   *handover.Prior // the process that this one replaces; nil: none
	Heirs   handover.Heirs  // where the one comes that will replace this one; nil: none can
}

// Reload is the configuration read again, or what is wrong with it.
type Reload struct {
	Config *config.Config
	Err    error
}

// Serve runs a node on the listener until the context ends, and then drains it. Each new configuration that
// comes meanwhile, also while it drains, is put into effect. When it returns, nothing that it has started goes on.
func Serve(ctx context.Context, m platform.Machine, c *config.Config, d Doors, log *slog.Logger) error {
	s := c.Settings.Balance
	s.MustAsk = true // over sockets no list comes unasked, whatever the settings say of the simulator's
	viewEvery := c.Limits.ViewEvery
	if d.Control == nil { // nobody asks
		viewEvery = 0
	}
	r, err := dispatch.New(s, c.Seed, viewEvery, m.Order, log)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	n := &Node{
		limits: c.Limits, timed: c.Limits, settled: c.Limits, inForce: c.Settings, route: r, conns: newConnections(c.Limits),
		takein: ingress.New(c.Limits), admit: admission.New(c.Limits, c.Settings.Balance.Classes, r.Vanished),
		relay: response.New(c.Limits), book: accounting.New(c.Limits, c.Settings.ClassNames(), log), log: log,
	}
	n.book.Wanted(c.Settings.Balance.Classes)
	n.guard = guard.NewMonitor(log)
	n.conns.guard = n.guard
	n.readyBy = time.Now().Add(c.Limits.ReadyWait)
	n.uptime = m.Monotonic
	n.memory, n.fleet, n.overlay = m.Memory, newFleet(n, m, c, log), newOverlay(c)
	work, stop := context.WithCancel(context.Background()) // goes on while the node drains
	defer stop()
	known, list := c.Known, discovery.Events(r)
	if d.Heirs != nil || d.Prior != nil {
		roster, doors := &roster{Stage: r}, newEntrance(d.Clients, n.acceptFailed)
		n.next = &succession{n: n, doors: doors, heirs: d.Heirs, listen: c.Listen, group: roster, links: map[io.Closer]bool{}, going: make(chan struct{})}
		list, d.Clients = roster, doors
	}
	if n.next == nil {
		d.Clients = listen.New(d.Clients, n.acceptFailed)
	}
	if d.Prior != nil && d.Prior.Group.Version >= known.Version {
		known = d.Prior.Group
	}
	list = n.fleet.between(list)
	peers, group := transport.New(c.Limits, c.Settings, m.Dial, events{r, n.book}), discovery.New(c.Limits, m.Dial, c.Discovery, known.Version, list)
	peers.Guard(n.guard)
	if n.peers = peers; n.next != nil {
		peers.Movable()
	}
	defer peers.Close()
	defer group.Close()
	defer n.book.End()
	go r.Run(work, peers, group)
	list.Listed(balance.ListCached, known)
	go n.reload(work, c, d.Reloads)
	srv := &http.Server{
		Handler: n, ReadHeaderTimeout: c.Limits.HeadWait, IdleTimeout: c.Limits.IdleWait, MaxHeaderBytes: c.Limits.HeaderBytes,
		ConnState: n.conns.note, ConnContext: n.conns.mark, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		DisableGeneralOptionsHandler: true,
	}
	failed := make(chan error, 2)
	if d.Control != nil {
		calls := control.New(c.Limits, n, log)
		defer calls.Close()
		go func() {
			if err := calls.Serve(d.Control); err != nil {
				failed <- fmt.Errorf("control: %w", err)
			}
		}()
	}
	if d.Prior != nil {
		n.resize(true)
	}
	if n.next != nil {
		defer n.next.end()
		n.next.enter(ctx, d.Prior)
	}
	n.serving.Store(true)
	if err := n.fleet.enter(d.Prior != nil); err != nil {
		return err
	}
	defer n.fleet.leave()
	log.Info("serving", "name", c.Name, "listen", d.Clients.Addr(), "peers", len(known.Peers))
	go func() { failed <- srv.Serve(n.conns.listen(d.Clients)) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	n.fleet.drains()
	log.Info("draining", "open", n.admit.Open(), "connections", n.conns.count())
	n.drain(d.Clients)
	srv.Close()
	log.Info("drained", "open", n.admit.Open())
	return nil
}

// acceptFailed takes a failure of accept that was passed over.
func (n *Node) acceptFailed(err error) {
	if n.acceptFailures.Add(1) == 1 { // the figures tell of the others
		n.log.Warn("accept failed, and is called again", "error", err)
	}
}

// reload puts new configurations into effect, one after the other: files read again, and revisions of the fleet's settings.
func (n *Node) reload(ctx context.Context, c *config.Config, reloads <-chan Reload) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-reloads:
			n.reread(c, r)
		case <-n.overlay.coming():
			n.revise()
		}
	}
}

// reread puts a file that was read again into effect, with the fleet's settings laid over it: no file undoes them. c is what
// the process began with.
func (n *Node) reread(c *config.Config, r Reload) {
	faulty := func(what string, err error, more ...any) {
		n.log.Error(what, append([]any{"error", err}, more...)...)
		n.reloadsFailed.Add(1)
	}
	if r.Err != nil {
		faulty("the configuration is faulty, the old one stays", r.Err)
		return
	}
	to, of, err := n.overlay.laid(r.Config)
	if err != nil {
		faulty("the configuration is faulty with the fleet's settings over it, the old one stays", err, "revision", of.String())
		return
	}
	if keys := c.NeedsRestart(to); len(keys) > 0 {
		n.log.Warn("these keys have changed and take effect with a restart", "keys", keys)
	}
	if err := n.put(to); err != nil {
		faulty("the settings are faulty, the old ones stay", err)
		return
	}
	n.log.Info("configuration read again", "discovery", to.Discovery, "classes", len(to.Settings.Balance.Classes))
	n.route.Moved(to.Discovery) // also if it is the same: the operator may want it asked anew
	if again := n.overlay.took(r.Config, to); again != nil {
		n.follow(again)
		n.fleet.hear()
	}
	n.reloadsOK.Add(1)
}

// put puts a configuration's settings into effect, whole or not at all.
func (n *Node) put(to *config.Config) error {
	now, byName, err := n.retune(to.Settings)
	if err != nil {
		return err
	}
	n.book.Classes(to.Settings.ClassNames())
	n.book.Wanted(to.Settings.Balance.Classes)
	n.admit.Retune(now.Balance.Classes, byName)
	n.retime(to.Limits)
	return nil
}

// retune puts settings into effect.
func (n *Node) retune(to settings.Settings) (settings.Settings, map[string]int, error) {
	n.settle.Lock()
	defer n.settle.Unlock()
	now, byName := n.inForce.With(to)
	if err := n.route.Retune(now.Balance); err != nil {
		return now, nil, err
	}
	n.inForce = now
	return now, byName, nil
}

// events takes what becomes of tries and probes: to route, and what was written to the books.
type events struct {
	*dispatch.Stage
	book *accounting.Stage
}

// Written implements send.Events.
func (e events) Written(c *request.Context) { e.book.Written(c) }

// ServeHTTP passes one request along the chain.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if ingress.Ready(r) {
		n.ready(w)
		return
	}
	c, admitted, spare := n.takein.Read(w, r), false, n.conns.spare(r.Context())
	_, away := n.standing.leaving()
	select {
	case <-c.Ended():
	default:
		if away >= n.limits.AwayAll {
			c.Finish(request.Answer{Verdict: request.Refused, Reason: "clients are sent away"})
		} else if spare {
			// Guards against running out of descriptors: past the cap a client gets an answer, not a reset.
			c.Finish(request.Answer{Verdict: request.Refused, Reason: "too many connections", Wait: n.limits.RefusedFor})
		} else if admitted = n.admit.Enter(c); admitted {
			n.route.Accept(c)
		}
	}
	last := spare || r.ContentLength < 0 || r.Close || !r.ProtoAtLeast(1, 1)
	if !n.await(c, w, nil, r.Context().Done(), ingress.Left(r), admitted, last) {
		n.book.Close(c, true)
		return
	}
	if admitted {
		n.admit.Leave(c)
	}
	taken := false
	defer func() { n.book.Close(c, taken) }() // also when relay drops the connection
	a := c.Answer()
	leaving, _ := n.standing.leaving()
	leaving = leaving && !n.next.yielded() // else the connection goes to the process that takes clients
	// A client that breaks the protocol keeps no connection. The server then neither waits for the rest of a body
	// before it sends the answer, nor reads on in what may be no request.
	taken = n.relay.Write(w, a, leaving || spare || a.Verdict.Faulty() || r.ContentLength < 0) == nil
	n.answered(c, admitted && taken)
}

// answered holds the time of an answer against the request's deadline, where its client has taken it.
func (n *Node) answered(c *request.Context, taken bool) {
	if late := time.Since(c.Deadline); taken && late > guard.AnswerSlack {
		n.guard.Violated(guard.AnswerInTime, "id", c.ID, "verdict", c.Answer().Verdict, "reason", c.Answer().Reason, "late", late)
	}
}

// await waits for a request's answer, or for its client to leave. It returns false once the request has gone to another
// process: nothing is left to be done here. Its client's connection is the server's, behind w, or was carried here.
func (n *Node) await(c *request.Context, w http.ResponseWriter, client *carried, left, unseen <-chan struct{}, admitted, last bool) (stays bool) {
	gone := func() bool {
		if c.Finish(request.Answer{Verdict: request.Gone}) {
			n.route.Vanished(c)
		}
		return true
	}
	for {
		select {
		case <-c.Ended():
			return true
		default:
		}
		moves := n.next.moves()
		if !admitted {
			moves = nil
		}
		select {
		case <-c.Ended():
			return true
		case <-left:
			return gone()
		case <-unseen: // by the server, since more has come behind the request
			return gone()
		case <-moves:
		}
		from := held(client)
		if client == nil {
			from = hijacked{w}
		}
		if n.next.move(c, from, last) {
			return false
		}
		timer := time.NewTimer(n.limits.MoveAgain)
		select {
		case <-c.Ended():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// ready answers whether clients may come: there is a list of peers, and the node is not about to end.
func (n *Node) ready(w http.ResponseWriter) {
	code := http.StatusServiceUnavailable
	yielded := n.next.yielded() // the other process of the node takes clients
	if yielded || n.Ready() {
		code = http.StatusOK
	}
	if leaving, _ := n.standing.leaving(); leaving && !yielded {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(code)
}

// drain ends the node's service without losing what it has taken. New connections go on being accepted for
// a while: closing the listener resets those that wait to be accepted. Open ones are told with the next
// answer; those that stay idle are closed, since a client that does not use them will not miss them.
func (n *Node) drain(ln net.Listener) {
	n.standing.end()
	start := time.Now()
	if n.next.ending() {
		n.finish(ln, start.Add(n.bounds().DrainLate))
		return
	}
	l := n.bounds()
	late, end := start.Add(l.DrainLate), start.Add(l.DrainTotal)
	time.Sleep(l.DrainEarly)
	n.admit.Drain(late)
	// By now the front sends no new connections here: what is handed back comes to another node. A SIGKILL may
	// follow DrainLate.
	n.route.Ends(late)
	time.Sleep(time.Until(start.Add(l.DrainAccept)))
	ln.Close()
	every := time.NewTicker(tick)
	defer every.Stop()
	for time.Now().Before(end) {
		idle := l.DrainIdle
		if time.Now().After(late) {
			idle = min(idle, l.DrainLast) // a client may not send any more: nobody would answer
		}
		n.conns.closeIdle(idle)
		if n.admit.Open() == 0 && n.conns.count() == 0 {
			return
		}
		<-every.C
	}
}

// finish ends what the process still holds while another one takes the node's clients. No job may be open at the end:
// those that cannot end by then are given up while their clients can still hear of it.
func (n *Node) finish(ln net.Listener, end time.Time) {
	ln.Close()
	n.route.Ends(end)
	every := time.NewTicker(tick)
	defer every.Stop()
	for given := false; n.admit.Open() > 0 || n.conns.count() > 0 || n.next.behind(); <-every.C {
		if n.admit.Open() == 0 {
			// Guards against three processes of the node: this one stays, without connections, as long as it may for the one
			// before it to end, since the one after it takes the whole of the node's budget once this one is gone.
			n.peers.Resize(0)
		}
		if left := time.Until(end); left <= 0 {
			n.conns.closeIdle(0)
			return
		} else if left <= n.limits.GiveUp && !given {
			given = true
			n.route.Ends(time.Now()) // first what may be refused
			n.admit.Expire(end)
		}
	}
}
