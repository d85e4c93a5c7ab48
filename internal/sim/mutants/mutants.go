// Package mutants holds faults to be planted in the product, to prove that the simulation catches them. They are laid
// over the sources as a test is built; nothing of them is ever in a program that ships.
package mutants

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Change replaces text that stands exactly once in a file.
type Change struct{ File, Old, New string }

// Mutant is one planted fault.
type Mutant struct {
	Name    string
	Breaks  string // the rule, invariant or hard case that it is meant to offend
	Changes []Change
}

const (
	balancer  = "balance/balance.go"
	state     = "balance/state.go"
	slowStart = "balance/slowstart.go"
	routing   = "internal/dispatch/dispatch.go"
	exchanges = "internal/transport/exchange.go"
	sending   = "internal/transport/transport.go"
	pool      = "internal/transport/pool.go"
	serving   = "internal/node/node.go"
	replacing = "internal/node/replace.go"
	conns     = "internal/node/conns.go"
	watching  = "internal/discovery/discovery.go"
	admitting = "internal/admission/admission.go"
	group     = "internal/config/group.go"
	booking   = "internal/accounting/accounting.go"
	calling   = "internal/node/control.go"
	settling  = "internal/settings/settings.go"
	moving    = "balance/moved.go"
	parting   = "internal/transport/detach.go"
)

// All lists the mutants.
var All = []Mutant{
	{"drained-and-ready", "away, a drain call that is not heeded", []Change{{calling, "		return !leaving\n", "		return leaving || true\n"}}},
	{"idle-kept-in-a-drain", "away, idle connections", []Change{
		{calling, "			n.conns.closeIdle(0)\n", ""}, {calling, "			n.conns.closeIdle(n.limits.AwayIdle)\n", ""}}},
	{"class-not-added-again", "a class that is dropped and added", []Change{{settling, "		byName[c.Name] = at\n", "		if at != len(s.Balance.Classes)-1 {\n			byName[c.Name] = at\n		}\n"}}},
	{"served-not-counted", "figures", []Change{{booking, "		t.Served++\n", ""}}},
	{"taken-back-in-a-chain", "descriptors, three processes of a node", []Change{
		{replacing, "			s.turn.End()\n", ""}, {serving, " || n.next.behind(); <-every.C", "; <-every.C"}}},
	{"charge-kept-in-a-move", "charges, two processes", []Change{
		{moving, "slices.DeleteFunc(a.w.out, func(x *attempt) bool { return x == a })", "slices.DeleteFunc(a.w.out, func(x *attempt) bool { return false })"}}},
	{"tries-lost-in-a-move", "rule 2, two processes", []Change{{moving, "for _, t := range m.Tries {", "for _, t := range m.Tries[:0] {"}}},
	{"answer-lost-in-a-move", "answers that have begun, two processes", []Change{{parting, "bytes.NewReader(d.Seen)", "bytes.NewReader(nil)"}}},
	{"clients-kept-in-a-move", "idle connections, two processes", []Change{{conns, "		pass(conn, s.state, give)\n", "		pass(conn, http.StateActive, give)\n"}}},
	{"charge-kept", "charges", []Change{{balancer, "	a.w.release(a, now)\n", ""}}},
	{"reset-taken-for-unsent", "rule 2, an idle close crossing a write", []Change{
		{exchanges, "	if written {\n		x.end(ending{result: balance.Reset})", "	if written {\n		x.end(ending{result: balance.ConnectFailed})"}}},
	{"called-off-taken-for-unsent", "rule 2, a second copy", []Change{
		{balancer, "a.never = o.Result == Full ||", "a.never = o.Result == Cancelled || o.Result == Full ||"}}},
	{"window-ignored", "rule 2, a window that ends under a second copy", []Change{
		{balancer, "if ran != nil && r.c.Effect == Keyed && (b.now-ran.sent >= r.c.Window ||", "if ran != nil && r.c.Effect == Keyed && ("},
		{balancer, "(r.c.Effect == Keyed && b.now-a.sent >= r.c.Window)", "false"}}},
	{"group-off-by-one", "rule 2, the group that drops repeats", []Change{
		{balancer, "(r.c.Scope == SameCell && w.Cell != ran.w.Cell)", "(r.c.Scope == SameCell && w.Zone != ran.w.Zone)"}}},
	{"tries-without-end", "rule 2, the most attempts", []Change{
		{state, "return r.sends > 0 && len(r.attempts)+left >= r.sends", "return false"}}},
	{"copies-at-will", "rule 2, second copies where none may be", []Change{
		{balancer, "if !b.s.MayCancel || !b.s.SecondCopies {", "if !b.s.MayCancel {"},
		{balancer, "			b.act.Cancel(r.ID, slices.Index(r.attempts, a))\n", ""}}},
	{"refused-though-it-may-have-run", "rule 2, refusals", []Change{
		{balancer, "return r.c.Effect == Safe || (r.c.Effect == Keyed && r.c.Scope == AllWorkers) || r.maybeRan() == nil", "return true"}}},
	// Two guards stand one behind the other: the decision, and the look right before the first byte.
	{"drain-unheard", "rule 3, a drain and a death", []Change{
		{balancer, "|| w.State != Ready || !w.told\n", "|| !w.told\n"}, {sending, "	return guard.WorkerDrains, g.s.pool.serves(g.peer)\n", "	return guard.WorkerDrains, true\n"}}},
	{"reconnect-skips-a-change", "rule 3, SIGTERM and a watch that is asked for anew", []Change{
		{watching, `fmt.Sprintf("/v1/endpoints?follow=1&since=%d", c.version)`, `fmt.Sprintf("/v1/endpoints?follow=1&since=%d", c.version+1)`}}},
	{"missing-from-full-list", "rule 3, a full list that no longer names a peer", []Change{
		{balancer, "			w.told = false\n		}\n		fallthrough", "			_ = w\n		}\n		fallthrough"},
		{watching, `fmt.Sprintf("/v1/endpoints?follow=1&since=%d", c.version)`, `fmt.Sprintf("/v1/endpoints?follow=1&since=%d", 0*c.version)`}}},
	{"cold-budget-ignored", "rule 4, nodes that meet at a cold peer", []Change{
		{slowStart, "	if f >= 1 || b.s.FallMultiple <= 0 {", "	if f >= 0 || b.s.FallMultiple <= 0 {"}}},
	{"hint-ignored-when-cold", "rule 4, jobs far longer than their class's mean", []Change{
		{balancer, "max(b.run[r.Class], r.Work.Seconds()/b.usual)", "b.run[r.Class]"}}},
	{"restart-unheard", "rule 4, a restart between probes", []Change{
		{state, "	} else if m.Started > w.Started && (", "	} else if m.Started = 0; false && ("},
		{balancer, "			w.Started, w.warmFrom, w.shownAt = now, now, now\n", ""}}},
	{"no-clock-answers", "rule 1, in time", []Change{
		{balancer, "		b.answer(r)\n	}\n	b.move()", "		b.move()\n	}\n	b.move()"},
		{admitting, "c.Deadline.Add(-s.limits.AnswerMargin)", "c.Deadline.Add(time.Second)"},
		{sending, "x.begin(c.Deadline)", "x.begin(c.Deadline.Add(time.Second))"}}},
	{"drain-leaves-at-once", "rule 1, SIGTERM", []Change{
		{serving, "if n.admit.Open() == 0 && n.conns.count() == 0 {", "if n.admit.Open() >= 0 {"}}},
	{"drain-keeps-deadlines", "rule 1, SIGTERM under load", []Change{
		{serving, "	n.admit.Drain(late)\n", ""}}},
	{"busy-connection-evicted", "rule 1, a rush of connections", []Change{
		{conns, "if s.state == http.StateActive {\n				continue", "if s.state == http.StateClosed {\n				continue"}}},
	{"foreign-answer-served", "rule 1, results that no peer made", []Change{{sending, "json.Unmarshal(in.line, &l) != nil || l.ID != id", "json.Unmarshal(in.line, &l) != nil"}}},
	{"empty-answer-to-one-who-left", "rule 1, a client that gives up as its answer arrives", []Change{
		{"internal/response/response.go", "		panic(http.ErrAbortHandler)\n", "		a.Verdict = request.Served\n"}}},
	{"timer-of-an-earlier-request", "an id that is used again", []Change{
		{balancer, "&& !r.over && now+b.s.Step >= r.end {", "&& !r.over {"},
		{routing, "		t.Stop()\n", "		_ = t\n"}}},
	{"leaver-forgotten", "tries of a request that is over, a client that gives up", []Change{
		{routing, "			r.b.Vanished(r.now(), c.ID)\n", ""}}},
	{"mark-ignored", "charges against old reports", []Change{{balancer, "fresh := !w.reported || rep.Mark != w.rep.Mark", "fresh := true"}}},
	{"any-connection-will-do", "charges, the peer that a try goes to", []Change{{pool, "if c := p.idle[i]; c.peer == x.peer {", "if c := p.idle[i]; true {"}}},
	{"connections-left-behind", "connections at the end", []Change{{serving, "	defer peers.Close()\n", ""}}},
}

// Overlay writes what `go build -overlay` takes, into a folder: the changed files and overlay.json, whose path it
// returns. root is the top of the repository.
func (m *Mutant) Overlay(root, dir string) (string, error) {
	files := map[string]string{}
	for _, c := range m.Changes {
		text, ok := files[c.File]
		if !ok {
			b, err := os.ReadFile(filepath.Join(root, c.File))
			if err != nil {
				return "", err
			}
			text = string(b)
		}
		if n := strings.Count(text, c.Old); n != 1 {
			return "", fmt.Errorf("mutant %s: %s: the text to change stands there %d times: %q", m.Name, c.File, n, c.Old)
		}
		files[c.File] = strings.Replace(text, c.Old, c.New, 1)
	}
	replace := map[string]string{}
	for name, text := range files {
		to := filepath.Join(dir, strings.ReplaceAll(name, "/", "_"))
		if err := os.WriteFile(to, []byte(text), 0o644); err != nil {
			return "", err
		}
		replace[filepath.Join(root, name)] = to
	}
	text, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, text, 0o644)
}
