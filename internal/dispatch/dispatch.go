// Package dispatch is where requests meet the decision module. One goroutine owns the Balancer: all else
// posts events to it, and the Balancer's actions start work that reports back with later events.
package dispatch

import (
	"context"
	"log/slog"
	"maps"
	"sync/atomic"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/guard"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/request"
)

// Sender carries tries and probes to peers. Its methods start work and return at once.
type Sender interface {
	Try(c *request.Context, attempt int, peer string, by time.Time) (cancel func())
	Probe(peer string)
	Update(g config.Group)
}

// Upstream asks discovery for the upstream group. Its methods start work and return at once.
type Upstream interface {
	Watch()
	Fetch()
	Move(addr string)
}

// entry is a request that the Balancer knows, until it is over and its tries have ended.
type entry struct {
	c       *request.Context
	cancels []func() // of its tries, by number
	out     int      // tries that have not ended
	over    bool
	timers  []*time.Timer
}

// Stage routes requests. It implements balance.Actions.
type Stage struct {
	box      *mailbox
	b        *balance.Balancer
	sender   Sender
	upstream Upstream
	open     map[string]*entry
	log      *slog.Logger
	debug    bool           // the log holds what happens to each request
	order    platform.Order // of events at one instant; nil: as they come
	start    time.Time
	over     chan struct{} // closed when Run has ended
	held     chan struct{} // closed once an upstream group that is not empty is held
	holds    bool
	wake     func() // posts tick; both are made once, as the Balancer is woken for every try
	tick     func()

	viewed          time.Time // when the figures of the group were last taken
	viewEvery       time.Duration
	viewNext        bool   // they will be taken again
	look            func() // posts that; made once
	known, excluded atomic.Int64
	breaches        atomic.Int64
	ends            [len(resultNames)]atomic.Int64 // attempts by result
}

// resultNames are the results of attempts as the figures name them.
var resultNames = [...]string{
	balance.OK: "ok", balance.Error: "error", balance.Full: "turned_away", balance.TimedOut: "timed_out", balance.ConnectFailed: "connect_failed", balance.Reset: "reset",
	balance.Cancelled: "called_off", balance.Moot: "withheld", balance.Rejected: "rejected",
}

// AttemptEnds lists how many attempts have ended, by result.
func (r *Stage) AttemptEnds() (list []guard.Count) {
	for i, name := range resultNames {
		list = append(list, guard.Count{Name: name, Value: r.ends[i].Load()})
	}
	return list
}

// Breaches is how many sends the Balancer has decided on that no slow start allows.
func (r *Stage) Breaches() int64 { return r.breaches.Load() }

// New returns the stage, or an error that names the setting that cannot be right. The figures of the upstream group are
// taken at most every viewEvery; never if that is 0.
func New(s balance.Settings, seed uint64, viewEvery time.Duration, order platform.Order, log *slog.Logger) (*Stage, error) {
	r := &Stage{box: newMailbox(), open: map[string]*entry{}, log: log, order: order, viewEvery: viewEvery, start: time.Now(), held: make(chan struct{}), over: make(chan struct{})}
	r.tick = func() { r.b.Timer(r.now(), "") }
	r.wake = func() { r.box.post(platform.Source{Kind: platform.Timer}, r.tick) }
	r.look = func() { r.box.post(platform.Source{Kind: platform.Timer}, func() { r.viewNext = false }) }
	r.debug = log.Enabled(context.Background(), slog.LevelDebug)
	var err error
	r.b, err = balance.New(s, seed, r)
	if err == nil && order != nil {
		order.Owner(r.b.Charged)
	}
	return r, err
}

// Run handles events until the context ends. It owns the Balancer.
func (r *Stage) Run(ctx context.Context, s Sender, u Upstream) {
	defer close(r.over)
	r.sender, r.upstream = s, u
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.box.ready:
			if r.order != nil {
				r.inOrder()
				continue
			}
			for _, e := range r.box.take() {
				e.run()
			}
			r.view()
		}
	}
}

// inOrder handles events one at a time, each once all else that happens at its instant has been posted.
func (r *Stage) inOrder() {
	for {
		r.order.Settle()
		e, ok := r.box.first(r.order)
		if !ok {
			return
		}
		e.run()
		r.view()
	}
}

// view takes the figures of the upstream group now and then. Guards against readers of the figures that would wait for
// the owner of the Balancer where that is busy.
func (r *Stage) view() {
	if r.viewEvery == 0 || r.viewNext {
		return
	}
	if left := r.viewEvery - time.Since(r.viewed); left > 0 { // what has happened since shows then
		r.viewNext = true
		time.AfterFunc(left, r.look)
		return
	}
	known, excluded := r.b.View()
	r.viewed = time.Now()
	r.known.Store(int64(known))
	r.excluded.Store(int64(excluded))
	r.breaches.Store(int64(r.b.Breaches()))
}

// View returns how many peers the upstream group holds, and how many of them get no jobs. It does not wait.
func (r *Stage) View() (known, excluded int64) { return r.known.Load(), r.excluded.Load() }

// now is the Balancer's clock: Unix time at the start plus what has passed since, so that it only goes
// forward and yet compares with the start times that discovery tells.
func (r *Stage) now() time.Duration {
	return time.Duration(r.start.UnixNano()) + time.Since(r.start)
}

// Now reads the Balancer's clock.
func (r *Stage) Now() time.Duration { return r.now() }

// Held is closed once an upstream group is held.
func (r *Stage) Held() <-chan struct{} { return r.held }

// Accept posts a request that was admitted.
func (r *Stage) Accept(c *request.Context) {
	r.box.post(platform.Source{Kind: platform.Client, ID: c.ID}, func() {
		if r.open[c.ID] != nil { // an earlier one of this id is over, but a try of it is still out
			c.Finish(request.Answer{Verdict: request.Malformed, Reason: "X-Request-Id: in use by an open request"})
			return
		}
		select {
		case <-c.Ended(): // guards against attempts for nobody: the news of its end has come first, and comes no more
			return
		default:
		}
		r.open[c.ID] = &entry{c: c}
		r.b.Accept(r.now(), c.Request)
	})
}

// Vanished posts the news that a request is over without the Balancer: its client left, or the backstop
// answered.
func (r *Stage) Vanished(c *request.Context) {
	r.box.post(platform.Source{Kind: platform.Client, ID: c.ID}, func() {
		if e := r.open[c.ID]; e != nil && e.c == c && !e.over {
			r.b.Vanished(r.now(), c.ID)
			r.close(e)
		}
	})
}

// Listed posts news of the upstream group.
func (r *Stage) Listed(kind balance.List, g config.Group) {
	r.box.post(platform.Source{Kind: platform.Discovery}, func() {
		if kind == balance.ListFull || kind == balance.ListCached || kind == balance.ListChanges || kind == balance.ListNoted {
			r.sender.Update(g) // first: the Balancer may send to a peer as soon as it hears of it
		}
		if r.debug {
			r.log.Debug("group", "kind", kind, "version", g.Version, "entries", len(g.Peers), "peers", states(g))
		}
		r.b.Members(r.now(), kind, g.Workers())
		if !r.holds && len(g.Peers) > 0 {
			r.holds = true
			close(r.held)
		}
	})
}

// states words what a message says of each peer, for the log.
func states(g config.Group) []map[string]string {
	list := []map[string]string{}
	for _, p := range g.Peers {
		list = append(list, map[string]string{"id": p.ID, "state": [...]string{"gone", "ready", "draining"}[p.State]})
	}
	return list
}

// Moved posts discovery's new address. The Balancer asks there at once.
func (r *Stage) Moved(addr string) {
	r.box.post(platform.Source{Kind: platform.Discovery}, func() {
		r.upstream.Move(addr)
		r.b.Members(r.now(), balance.ListMoved, nil)
	})
}

// Retune puts other settings into effect, or says why they cannot be right. When it returns, what is accepted goes by
// them.
func (r *Stage) Retune(s balance.Settings) (err error) {
	r.ask(platform.Source{Kind: platform.Drain}, func() { err = r.b.Retune(r.now(), s) })
	return err
}

// Release gives up a request that is open, so that another process goes on with it. detach takes its one try that is out
// off its connection, and reports whether that could be; none is taken where none is out. It returns false for a request
// that stays, because it is over or two of its tries are out.
func (r *Stage) Release(c *request.Context, detach func() bool) (m balance.Moved, try int, peer string, ok bool) {
	r.ask(platform.Source{Kind: platform.Client, ID: c.ID}, func() {
		e := r.open[c.ID]
		if e == nil || e.c != c || e.over {
			return
		}
		out, last, open := r.b.Out(c.ID)
		if !open || out > 1 || (out == 1 && !detach()) {
			return
		}
		if m, ok = r.b.Release(r.now(), c.ID); ok && out == 1 {
			try, peer = last, m.Tries[last].Worker.ID
		}
		e.end()
		delete(r.open, c.ID)
	})
	return m, try, peer, ok
}

// Adopt goes on with a request that another process has given up. resume takes up its try that is out, and returns what
// calls it off. A request that cannot be taken is answered.
func (r *Stage) Adopt(c *request.Context, m balance.Moved, try int, resume func() (cancel func())) {
	r.box.post(platform.Source{Kind: platform.Client, ID: c.ID}, func() {
		m.Request = c.Request
		e := &entry{c: c}
		for range m.Tries {
			e.cancels = append(e.cancels, func() {})
		}
		if r.open[c.ID] != nil || !r.b.Adopt(r.now(), m, func() { r.open[c.ID] = e }) {
			c.Finish(request.Answer{Verdict: request.Failed, Reason: "could not go on after a replacement"})
			if resume != nil {
				resume()() // called off
			}
			return
		}
		if resume != nil {
			e.out, e.cancels[try] = 1, resume()
		}
	})
}

// ask has the owner of the Balancer do something, and waits for that, unless the stage has ended.
func (r *Stage) ask(from platform.Source, do func()) {
	done := make(chan struct{})
	r.box.post(from, func() {
		defer close(done)
		do()
	})
	select {
	case <-done:
	case <-r.over:
	}
}

// Learn posts what the process before this one has learned.
func (r *Stage) Learn(k balance.Knowledge) {
	r.box.post(platform.Source{Kind: platform.Discovery}, func() { r.b.Learn(r.now(), k) })
}

// Look posts a look at what the Balancer knows. It does not wait; seen is called by the Balancer's owner, and may have it
// learn more.
func (r *Stage) Look(seen func(now time.Duration, k balance.Knowledge, rooms []int)) {
	r.box.post(platform.Source{Kind: platform.Discovery}, func() { seen(r.now(), r.b.Know(), r.b.Rooms(r.now())) })
}

// Busy has told which of some peers no try is at. What was listed before has taken effect by then.
func (r *Stage) Busy(peers []string, quiet func(peers []string)) {
	r.box.post(platform.Source{Kind: platform.Discovery}, func() {
		var none []string
		for _, p := range peers {
			if r.b.Charged(p) == 0 {
				none = append(none, p)
			}
		}
		quiet(none)
	})
}

// Heed posts others' word on workers. It enters as knowledge of this node's own, with what that holds otherwise: caution says
// which workers' starts and backing off change.
func (r *Stage) Heed(caution func(now time.Duration, w *balance.Known) bool) {
	r.box.post(platform.Source{Kind: platform.Discovery}, func() {
		now, k := r.now(), r.b.Know()
		changed := k.Workers[:0]
		for _, w := range k.Workers {
			if w.Reported = false; caution(now, &w) { // the report that is held stays
				changed = append(changed, w)
			}
		}
		if k.Workers = changed; len(changed) > 0 {
			r.b.Learn(now, k)
		}
	})
}

// Yield posts whether another process takes clients in this one's place, and waits for what the Balancer has learned
// until then.
func (r *Stage) Yield(yes bool) (k balance.Knowledge) {
	r.ask(platform.Source{Kind: platform.Drain}, func() {
		r.b.Yield(r.now(), yes)
		k = r.b.Know()
		k.Slots = maps.Clone(k.Slots) // the Balancer goes on with its own
	})
	return k
}

// Ends posts the news that the node will be stopped at the given time.
func (r *Stage) Ends(at time.Time) {
	r.box.post(platform.Source{Kind: platform.Drain}, func() {
		now := r.now()
		r.b.Ends(now, now+time.Until(at))
	})
}

// Advanced posts news about a try that is still out.
func (r *Stage) Advanced(id string, attempt int, kind balance.NoteKind, share float64) {
	r.box.post(platform.Source{Kind: platform.Try, ID: id, N: attempt}, func() {
		r.log.Debug("note", "id", id, "attempt", attempt, "kind", kind, "share", share)
		r.b.Note(r.now(), id, attempt, kind, share)
	})
}

// Ended posts the end of a try. The first result goes to the client from here, and ends the request; so does a
// peer's word that the request is at fault, since no other peer would take it either.
func (r *Stage) Ended(o balance.Outcome, result string) {
	r.ends[o.Result].Add(1)
	r.box.post(platform.Source{Kind: platform.Try, ID: o.Request, N: o.Attempt}, func() {
		e := r.open[o.Request]
		if e == nil {
			return
		}
		e.out--
		if o.Result == balance.OK && !e.over {
			e.end()
			e.c.Finish(request.Answer{Verdict: request.Served, Result: result})
		}
		if o.Result == balance.Rejected && !e.over {
			e.end()
			e.c.Finish(request.Answer{Verdict: request.Malformed, Reason: "turned away by the peer as faulty"})
		}
		o.Final = e.over
		r.log.Debug("try", "id", o.Request, "attempt", o.Attempt, "peer", o.Worker, "result", o.Result, "took_ms", o.Took.Milliseconds())
		r.b.Done(r.now(), o)
		r.forget(e)
	})
}

// Probed posts the result of a probe.
func (r *Stage) Probed(peer string, res balance.Result, rep *balance.Report) {
	r.box.post(platform.Source{Kind: platform.Probe, ID: peer}, func() {
		r.log.Debug("probe", "peer", peer, "result", res, "report", rep)
		r.b.Probed(r.now(), peer, res, rep)
	})
}

// end marks a request as over.
func (e *entry) end() {
	e.over = true
	for _, t := range e.timers {
		t.Stop()
	}
}

// close ends a request, and forgets it unless tries of it are out.
func (r *Stage) close(e *entry) {
	e.end()
	r.forget(e)
}

// forget drops a request that is over once none of its tries is out.
func (r *Stage) forget(e *entry) {
	if e.over && e.out == 0 && r.open[e.c.ID] == e {
		delete(r.open, e.c.ID)
	}
}

// Send implements balance.Actions.
func (r *Stage) Send(id, peer string) {
	e := r.open[id]
	attempt := len(e.cancels)
	e.out++
	if r.debug {
		r.log.Debug("sends", "id", id, "attempt", attempt, "peer", peer)
	}
	select {
	case <-e.c.Ended():
		// Guards against a try in vain: the client has left, or the backstop has answered, and the Balancer
		// is about to hear of it.
		e.cancels = append(e.cancels, func() {})
		r.Ended(balance.Outcome{Request: id, Attempt: attempt, Worker: peer, Result: balance.Moot}, "")
	default:
		var by time.Time
		if until, bound := r.b.RepeatUntil(id); bound {
			by = r.start.Add(until - time.Duration(r.start.UnixNano()))
		}
		e.cancels = append(e.cancels, r.sender.Try(e.c, attempt, peer, by))
	}
}

// Refuse implements balance.Actions.
func (r *Stage) Refuse(id string, wait time.Duration) {
	r.answer(id, request.Answer{Verdict: request.Refused, Reason: "no room", Wait: wait})
}

// Fail implements balance.Actions.
func (r *Stage) Fail(id string) {
	r.answer(id, request.Answer{Verdict: request.Failed, Reason: "not served in time"})
}

func (r *Stage) answer(id string, a request.Answer) {
	if e := r.open[id]; e != nil && !e.over {
		e.c.Finish(a)
		r.close(e)
	}
}

// Cancel implements balance.Actions.
func (r *Stage) Cancel(id string, attempt int) {
	if e := r.open[id]; e != nil && attempt >= 0 && attempt < len(e.cancels) {
		e.cancels[attempt]()
	}
}

// Probe implements balance.Actions.
func (r *Stage) Probe(peer string) { r.sender.Probe(peer) }

// Watch implements balance.Actions.
func (r *Stage) Watch() {
	r.log.Debug("asks for the group")
	r.upstream.Watch()
}

// Fetch implements balance.Actions.
func (r *Stage) Fetch() { r.upstream.Fetch() }

// After implements balance.Actions. The timer of a request ends with it: one that outlived it would cost memory for
// the whole patience of a client that was answered at once, and would strike a later request of the same id.
func (r *Stage) After(d time.Duration, id string) {
	if id == "" {
		time.AfterFunc(d, r.wake)
		return
	}
	t := time.AfterFunc(d, func() {
		r.box.post(platform.Source{Kind: platform.Timer, ID: id}, func() { r.b.Timer(r.now(), id) })
	})
	if e := r.open[id]; e != nil {
		e.timers = append(e.timers, t)
	}
}
