package node

import (
	"context"
	"sync"
	"time"

	"swiftdeal/internal/accounting"
	"swiftdeal/internal/control"
	"swiftdeal/internal/guard"
)

// standing is whether the node takes clients.
type standing struct {
	mu     sync.Mutex
	ending bool               // for good: the process was told to end
	since  time.Time          // when clients were last sent away; zero while they are not
	resume context.CancelFunc // ends that
}

// leaving reports whether clients are to go elsewhere, and for how long that has been so by an operator's word.
func (s *standing) leaving() (yes bool, away time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.since.IsZero() {
		away = time.Since(s.since)
	}
	return s.ending || !s.since.IsZero(), away
}

// sentAway reports whether clients are sent away by an operator's word, or the council's.
func (s *standing) sentAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending || !s.since.IsZero()
}

// Ready implements control.Calls: it also answers clients' own question.
func (n *Node) Ready() bool {
	if !n.serving.Load() || n.next.yielded() || n.fleet.held() {
		return false
	}
	leaving, _ := n.standing.leaving()
	select {
	case <-n.route.Held():
		return !leaving
	default:
		// Guards against a node that starts while discovery is down and is never ready: jobs are held, and refused in time.
		return !leaving && (n.next != nil && n.next.entered.Load() || !time.Now().Before(n.readyBy))
	}
}

// Drain implements control.Calls. A second call changes nothing: the first one's times hold.
func (n *Node) Drain() bool {
	n.standing.mu.Lock()
	defer n.standing.mu.Unlock()
	if !n.standing.ending && n.standing.since.IsZero() {
		n.standing.since = time.Now()
		var ctx context.Context
		ctx, n.standing.resume = context.WithCancel(context.Background())
		go n.sendAway(ctx)
		defer n.fleet.stir()
		n.log.Info("sending clients away", "open", n.admit.Open(), "connections", n.conns.count())
	}
	return true
}

// Resume implements control.Calls. A process that was told to end takes no clients back.
func (n *Node) Resume() bool {
	n.standing.mu.Lock()
	defer n.standing.mu.Unlock()
	if n.standing.ending {
		return false
	}
	if !n.standing.since.IsZero() {
		n.log.Info("taking clients again", "after_ms", time.Since(n.standing.since).Milliseconds())
		n.standing.since = time.Time{}
		n.standing.resume()
		defer n.fleet.stir()
	}
	return true
}

// end says that the process ends: what an operator said before no longer counts.
func (s *standing) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	if !s.since.IsZero() {
		s.since = time.Time{}
		s.resume()
	}
}

// tick is how often a drain looks for connections that have become idle.
const tick = 20 * time.Millisecond

// sendAway closes idle client connections until ctx ends. At first those that were used a moment ago are spared: their
// clients may be about to send.
func (n *Node) sendAway(ctx context.Context) {
	start, every := time.Now(), time.NewTicker(tick)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		if past := time.Since(start); past >= n.limits.AwayAll {
			n.conns.closeIdle(0)
		} else if past >= n.limits.AwayAfter {
			n.conns.closeIdle(n.limits.AwayIdle)
		}
	}
}

// Figures implements control.Calls.
func (n *Node) Figures() []control.Family {
	known, excluded := n.route.View()
	list := []control.Family{
		{Name: "gw_served", Help: "Jobs answered with a worker's result.", Label: "class"},
		{Name: "gw_refused", Help: "Jobs answered so that a new try is harmless.", Label: "class"},
		{Name: "gw_failed", Help: "Jobs answered in any other way.", Label: "class"},
		{Name: "gw_attempts", Help: "Attempts written whole to workers.", Label: "class"},
		control.One("gw_in_flight", "Jobs taken and not ended.", true, int64(n.admit.Open())),
		control.One("gw_workers_known", "Workers in the list.", true, known),
		control.One("gw_workers_excluded", "Listed workers that no job is sent to at present.", true, excluded),
		control.One("gw_accept_failures", "Calls of accept that failed and were made again.", false, n.acceptFailures.Load()),
		control.One("gw_reloads_ok", "Configurations taken at SIGHUP.", false, n.reloadsOK.Load()),
		control.One("gw_reloads_failed", "Configurations turned down at SIGHUP.", false, n.reloadsFailed.Load()),
	}
	violations := n.guard.Violations()
	violations[guard.SlowStart].Value += n.route.Breaches()
	list = append(list, counts("gw_invariant_violations", "Acts that broke what the node promises: always 0, or a defect.", "invariant", violations),
		counts("gw_attempts_withheld", "Attempts that were overtaken by events and not written, by reason.", "reason", n.guard.AttemptsWithheld()),
		counts("gw_attempts_ended", "Attempts that have ended, by result.", "result", n.route.AttemptEnds()),
		counts("gw_connections_closed", "Clients' connections that the node has closed by itself, by reason.", "reason", n.conns.closed()),
		counts("gw_answers", "Answers that were no result, by reason.", "reason", n.book.Reasons()))
	of := []func(accounting.Tally) int64{
		func(t accounting.Tally) int64 { return t.Served }, func(t accounting.Tally) int64 { return t.Refused },
		func(t accounting.Tally) int64 { return t.Failed }, func(t accounting.Tally) int64 { return t.Attempts },
	}
	for _, t := range n.book.Tallies() {
		for i, value := range of {
			list[i].Rows = append(list[i].Rows, control.Row{Of: t.Class, Value: value(t)})
		}
	}
	return append(list, n.fleet.figures()...)
}

// counts words counts under their names as one figure.
func counts(name, help, label string, list []guard.Count) control.Family {
	f := control.Family{Name: name, Help: help, Label: label}
	for _, c := range list {
		f.Rows = append(f.Rows, control.Row{Of: c.Name, Value: c.Value})
	}
	return f
}
