// Package mutants holds mutations of the program's sources, which show that the simulation detects faults. A mutation is applied by a build
// overlay, and only to test binaries.
package mutants

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Change replaces text that stands exactly once in a file.
type Change struct{ File, Original, Replacement string }

// Mutant is one mutation: a planted fault.
type Mutant struct {
	Name    string
	Breaks  string // the rule, invariant or situation that it affects
	Changes []Change
}

const (
	balancerAPI       = "balance/api.go"
	balancerAdmission = "balance/admission.go"
	balancerAttempts  = "balance/attempt.go"
	balancerEndpoints = "balance/endpoints.go"
	balancerHealth    = "balance/health.go"
	balancerLearning  = "balance/learning.go"
	balancerMigration = "balance/migration.go"
	balancerPlacement = "balance/placement.go"
	balancerReports   = "balance/report.go"
	balancerRequests  = "balance/request.go"
	balancerRetries   = "balance/retry.go"
	balancerSlowStart = "balance/slowstart.go"
	balancerTimers    = "balance/balancer.go"
	requestsFile      = "internal/dispatch/requests.go"
	exchangeFile      = "internal/transport/exchange.go"
	transportFile     = "internal/transport/transport.go"
	poolFile          = "internal/transport/pool.go"
	nodeFile          = "internal/node/node.go"
	successorFile     = "internal/node/successor.go"
	connectionsFile   = "internal/node/connections.go"
	evictionFile      = "internal/node/eviction.go"
	discoveryFile     = "internal/discovery/client.go"
	deadlineFile      = "internal/admission/deadline.go"
	accountingFile    = "internal/accounting/accounting.go"
	drainFile         = "internal/node/drain.go"
	requestFile       = "internal/node/request.go"
	settingsFile      = "internal/settings/settings.go"
	migrationFile     = "internal/transport/migration.go"
	sendCheckFile     = "internal/transport/sendcheck.go"
	answerFile        = "internal/transport/answer.go"
)

// All lists the mutants.
var All = []Mutant{
	{
		"drained-and-ready", "a drain call that has no effect on readiness",
		[]Change{{requestFile, "		return !draining\n", "		return draining || true\n"}},
	},
	{
		"idle-kept-in-a-drain", "idle connections during a requested drain",
		[]Change{
			{
				drainFile,
				"RequestedDrainRejectAfter {\n			n.connections.closeIdle(0)\n",
				"RequestedDrainRejectAfter {\n",
			},
			{drainFile, "			n.connections.closeIdle(n.limits.RequestedDrainIdleTimeout)\n", ""},
		},
	},
	{
		"class-not-added-again", "a class that a reload removes and adds again",
		[]Change{
			{
				settingsFile, "		byName[c.Name] = index\n",
				"		if index != len(s.Balance.Classes)-1 {\n			byName[c.Name] = index\n		}\n",
			},
		},
	},
	{"served-not-counted", "metrics", []Change{{accountingFile, "		c.Served++\n", ""}}},
	{"taken-back-in-a-chain", "file descriptors, three processes of a node", []Change{
		{successorFile, "		h.handoff.Shutdown()\n", ""},
		{drainFile, " || n.handover.predecessorAlive(); <-ticker.C", "; <-ticker.C"}}},
	{"charge-kept-in-a-move", "reservations, two processes", []Change{
		{balancerMigration, "		a.worker.load.remove(a)\n", ""}}},
	{
		"tries-lost-in-a-move", "rule 2, attempts across two processes",
		[]Change{{balancerMigration, "range state.Attempts {", "range state.Attempts[:0] {"}},
	},
	{
		"answer-lost-in-a-move", "partly received answers, two processes",
		[]Change{{migrationFile, "bytes.NewReader(d.Received)", "bytes.NewReader(nil)"}},
	},
	{
		"clients-kept-in-a-move", "idle connections, two processes",
		[]Change{
			{connectionsFile, "		setHandOff(conn, s.state, handOff)\n", "		setHandOff(conn, http.StateActive, handOff)\n"},
		},
	},
	{"charge-kept", "reservations", []Change{{balancerAttempts, "	a.worker.load.release(a, now)\n", ""}}},
	{
		"reset-taken-for-unsent", "rule 2, a worker that closes an idle connection during a write",
		[]Change{
			{
				exchangeFile,
				"	if written {\n		x.end(exchangeEnd{result: balance.ConnectionReset})",
				"	if written {\n		x.end(exchangeEnd{result: balance.ConnectFailed})",
			},
		},
	},
	{"called-off-taken-for-unsent", "rule 2, a canceled attempt", []Change{
		{balancerAPI, "return r == RejectedBusy ||", "return r == Canceled || r == RejectedBusy ||"}}},
	{"window-ignored", "rule 2, a key window that ends during a hedge", []Change{
		{balancerPlacement, "if b.now-first.sentAt >= class.KeyWindow {", "if false {"},
		{balancerRetries, "r.class.Idempotency == IdempotentWithKey && b.now-first.sentAt >= r.class.KeyWindow", "false"}}},
	{"group-off-by-one", "rule 2, the scope of an idempotency key", []Change{
		{balancerPlacement, "return w.Cell == first.worker.Cell", "return w.Zone == first.worker.Zone"}}},
	{"tries-without-end", "rule 2, the limit of attempts", []Change{
		{balancerRequests, "return r.maxAttempts > 0 && len(r.attempts)+left >= r.maxAttempts", "return false"}}},
	{"copies-at-will", "rule 2, hedges of classes that allow none", []Change{
		{balancerRetries, "if !b.settings.AllowCancel || !b.settings.AllowHedging {", "if !b.settings.AllowCancel {"},
		{balancerRetries, "		b.actions.CancelAttempt(r.ID, slices.Index(r.attempts, a))\n", ""}}},
	{"refused-though-it-may-have-run", "rule 2, rejections", []Change{
		{balancerAdmission, "return r.firstMaybeRan() == nil", "return true"}}},
	// Two guards stand one behind the other: the decision, and the look right before the first byte.
	{
		"drain-unheard", "rule 3, a worker that drains and dies",
		[]Change{
			{balancerPlacement, "|| w.Status != Ready || !w.present\n", "|| !w.present\n"},
			{
				sendCheckFile,
				"	return invariant.WorkerDraining, s.transport.pool.isInService(s.worker)\n",
				"	return invariant.WorkerDraining, true\n",
			},
		},
	},
	{"reconnect-skips-a-change", "rule 3, a watch that is opened again", []Change{
		{discoveryFile, `fmt.Sprintf(watchPath, c.version)`, `fmt.Sprintf(watchPath, c.version+1)`}}},
	{"missing-from-full-list", "rule 3, a full list that no longer has a worker", []Change{
		{balancerEndpoints, "			w.present = false\n", "			_ = w\n"},
		{discoveryFile, `fmt.Sprintf(watchPath, c.version)`, `fmt.Sprintf(watchPath, 0*c.version)`}}},
	{
		"cold-budget-ignored", "rule 4, several nodes and a worker in slow start",
		[]Change{
			{
				balancerSlowStart,
				"	if factor >= 1 || b.settings.OverloadMultiple <= 0 {",
				"	if factor >= 0 || b.settings.OverloadMultiple <= 0 {",
			},
		},
	},
	{
		"hint-ignored-when-cold", "rule 4, jobs much longer than the mean of their class",
		[]Change{
			{
				balancerLearning,
				"max(j.classes[r.Class].runTime, r.RunTimeHint.Seconds()/j.meanWorkRate)",
				"j.classes[r.Class].runTime",
			},
		},
	},
	{"restart-unheard", "rule 4, a restart between two health checks", []Change{
		{
			balancerEndpoints, "	} else if entry.StartedAt > w.StartedAt && (",
			"	} else if entry.StartedAt = 0; false && (",
		},
		{balancerHealth, "		w.StartedAt = b.now\n		w.warmUp.startedAt = b.now\n		w.warmUp.restartSeenAt = b.now\n", ""}}},
	{"no-clock-answers", "rule 1, answers in time", []Change{
		{
			balancerTimers, "		b.rejectOrFail(r)\n	}\n	b.replaceStalled()",
			"		b.replaceStalled()\n	}\n	b.replaceStalled()",
		},
		{deadlineFile, "c.Deadline.Add(-a.limits.AnswerMargin)", "c.Deadline.Add(time.Second)"},
		{transportFile, "x.startClock(c.Deadline)", "x.startClock(c.Deadline.Add(time.Second))"}}},
	{"drain-leaves-at-once", "rule 1, SIGTERM", []Change{
		{drainFile, "if !n.hasOpenWork() {", "if n.admission.OpenRequests() >= 0 {"}}},
	{"drain-keeps-deadlines", "rule 1, SIGTERM under load", []Change{
		{drainFile, "	n.admission.SetDrainDeadline(answerDeadline)\n", ""}}},
	{"busy-connection-evicted", "rule 1, many new connections at once", []Change{
		{evictionFile, "	return rankNone\n}\n\n// evict closes", "	return rankIncomplete\n}\n\n// evict closes"},
		{"internal/ingress/evict.go", "return !c.request.open && ", "return "}}},
	{
		"foreign-answer-served", "rule 1, results that no worker made",
		[]Change{{answerFile, "json.Unmarshal(text, &line) != nil || line.ID != r.request.ID", "json.Unmarshal(text, &line) != nil"}},
	},
	{"empty-answer-to-one-who-left", "rule 1, a client that disconnects as its answer arrives", []Change{
		{"internal/response/writer.go", "		panic(http.ErrAbortHandler)\n", "		answer.Verdict = request.Served\n"}}},
	{"timer-of-an-earlier-request", "a request ID that is used again", []Change{
		{balancerTimers, "&& !r.finished && now+b.settings.MinEventInterval >= r.deadline {", "&& !r.finished {"},
		{requestsFile, "		timer.Stop()\n", "		_ = timer\n"}}},
	{"leaver-forgotten", "attempts of a request whose client has disconnected", []Change{
		{requestsFile, "			d.balancer.ClientGone(d.now(), c.ID)\n", ""}}},
	{
		"mark-ignored", "reservations beside old load reports",
		[]Change{
			{
				balancerReports,
				"fresh := !w.load.hasReport || report.Fingerprint != w.load.report.Fingerprint",
				"fresh := true",
			},
		},
	},
	{
		"any-connection-will-do", "reservations, the worker that an attempt goes to",
		[]Change{{poolFile, "if c := p.idle[i]; c.worker == x.worker {", "if c := p.idle[i]; true {"}},
	},
	{"connections-left-behind", "connections that are open after the run", []Change{{nodeFile, "	defer n.transport.Close()\n", ""}}},
}

// Overlay writes a build overlay into dir: the changed files, and overlay.json for `go build -overlay`. It returns the path of
// overlay.json. root is the root of the repository.
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
		if n := strings.Count(text, c.Original); n != 1 {
			return "", fmt.Errorf(
				"mutant %s: %s: the text to change stands there %d times: %q", m.Name, c.File, n, c.Original,
			)
		}
		files[c.File] = strings.Replace(text, c.Original, c.Replacement, 1)
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
