package chaos

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/configversion"
	product "swiftdeal/internal/node"
	"swiftdeal/internal/testing/fake"
)

// submitSettings submits settings through a node and returns their version. Like an operator it repeats the request until the
// change is known to be decided. With op "back", which restores the version before the latest, settings are those expected.
func (f *Cluster) submitSettings(at int, op, settings string) configversion.ID {
	var id configversion.ID
	reason := ""
	base := configversion.ID{}
	if _, ok := f.Wait(f.plan.Bound(), func() bool {
		s := f.Settings(at)
		if s == nil {
			reason = "the node does not answer"
			return false
		}
		if reason == "" {
			base = s.Report.Latest
		} else if s.Revision.Compare(base) > 0 && s.Revision == s.Report.Latest && string(s.Settings) == settings {
			id = s.Revision // an earlier request succeeded and its answer was lost
			return true
		}
		r, definite := f.settingsCall(
			at, product.SettingsCall{Operation: op, Base: s.Report.Latest, Settings: json.RawMessage(settings)},
			settings,
		)
		if definite && r.OK {
			id = *r.Version
			return true
		}
		reason = r.Text
		return false
	}); !ok {
		f.errorf("settings", "%s %s at %s was not accepted: %s", op, settings, f.nodeName(at), reason)
	}
	return id
}

// changeSettings changes the settings through a node and waits until they are in force at all participants.
func (f *Cluster) changeSettings(at int, settings string) configversion.ID {
	id := f.submitSettings(at, "set", settings)
	f.awaitActive(id, settings, f.participants()...)
	return id
}

// participants lists the nodes whose processes run, are not paused and use the fleet's settings.
func (f *Cluster) participants() (list []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, n := range f.nodes {
		if n.process.running() && !n.process.stopRequested && !n.process.paused && !n.noFleetSettings {
			list = append(list, i)
		}
	}
	return list
}

// awaitActive waits until a version is in force at the given nodes, and fails the run unless it is, with the given settings.
func (f *Cluster) awaitActive(id configversion.ID, settings string, nodes ...int) {
	for _, i := range nodes {
		var s *product.SettingsView
		if _, ok := f.Wait(f.plan.Bound(), func() bool { s = f.Settings(i); return s != nil && s.Revision == id }); !ok {
			f.errorf("settings", "revision %v has not come into force at %s: %s", id, f.nodeName(i), describeSettings(s))
		} else if string(s.Settings) != settings {
			f.errorf("settings", "revision %v holds %s at %s, not %s", id, s.Settings, f.nodeName(i), settings)
		}
	}
}

// expectActive fails the run unless exactly this version is in force at the given nodes now.
func (f *Cluster) expectActive(id configversion.ID, nodes ...int) {
	for _, i := range nodes {
		if s := f.Settings(i); s == nil || s.Revision != id {
			f.errorf("settings", "%s does not have revision %v in force: %s", f.nodeName(i), id, describeSettings(s))
		}
	}
}

// awaitReported waits until the leader reports a version as in force at all nodes except those in lagging, which maps each of
// them to a part of the reason reported for it.
func (f *Cluster) awaitReported(id configversion.ID, lagging map[string]string) {
	status := ""
	if _, ok := f.Wait(f.plan.Bound(), func() bool {
		l, _ := f.Leader()
		if l == nil || l.Settings == nil {
			status = "no leader with support for settings"
			return false
		}
		s := l.Settings
		status = fmt.Sprintf("%+v", *s)
		allCounted := s.TotalNodes == len(f.participants())+f.countWithoutSettings()
		if s.Latest != id || s.ActiveNodes != s.TotalNodes-len(lagging) || !allCounted || len(s.Lagging) != len(lagging) {
			return false
		}
		for _, n := range s.Lagging {
			if why, ok := lagging[n.Node]; !ok || !strings.Contains(n.Reason, why) {
				return false
			}
		}
		return true
	}); !ok {
		f.errorf(
			"settings", "the leader does not report revision %v in force at all nodes except %v: %s", id, lagging,
			status,
		)
	}
}

// countWithoutSettings counts the nodes that run and do not use the fleet's settings.
func (f *Cluster) countWithoutSettings() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.nodes {
		if o.noFleetSettings && o.process.running() && !o.process.stopRequested {
			n++
		}
	}
	return n
}

// awaitHealthy waits until views and control plane have settled again.
func (f *Cluster) awaitHealthy() {
	problem := ""
	if _, ok := f.Wait(f.plan.Bound(), func() bool {
		if problem, _, _ = f.ViewsProblem(); problem == "" {
			problem = f.controlPlaneProblem()
		}
		return problem == ""
	}); !ok {
		f.errorf("council", "views and control plane have not settled again: %s", problem)
	}
}

// sendOwnJob sends a job of the harness's own to a node, without a deadline, and returns the status of the answer; 0 without
// one. arrived, if not nil, is called once the job is at a worker. The trace checker judges the job like all others.
func (f *Cluster) sendOwnJob(i int, class string, work time.Duration, arrived func()) (status int) {
	f.settings.mu.Lock()
	f.settings.ownJobCount++
	id := fmt.Sprintf("%s%d-0", ownJobPrefix, f.settings.ownJobCount)
	f.settings.mu.Unlock()
	req, err := http.NewRequest(
		"POST",
		"http://"+f.block.clientsAddr(i)+"/"+class+"?sid="+id,
		strings.NewReader(fmt.Sprintf(`{"work":%.3f,"slots":1,"memory":0.1}`, work.Seconds())),
	)
	if err != nil {
		panic(err) // impossible: the address is the harness's own
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Cost-Hint", fmt.Sprint(work.Microseconds()))
	f.host.Do(func() { f.RequestStarted(f.nodeName(i), id, time.Now().Add(failureTimeout), class) })
	finished := make(chan struct{})
	if arrived != nil {
		go func() {
			arrivedAtWorker, done := false, false
			f.Wait(failureTimeout, func() bool {
				select {
				case <-finished:
					done = true
				default:
				}
				f.host.Do(func() { arrivedAtWorker = f.ownJobs[id] })
				return arrivedAtWorker || done
			})
			if arrivedAtWorker {
				arrived()
			}
		}()
	}
	h := http.Client{Timeout: failureTimeout, Transport: f.client.Transport}
	body := []byte(nil)
	resp, err := h.Do(req)
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	close(finished)
	status = fake.CutFirst
	if err == nil {
		status = resp.StatusCode
	}
	f.host.Do(func() { f.RequestEnded(f.nodeName(i), id, status, string(body)) })
	return max(status, 0)
}

// refusedForNow reports whether an answer asks for a retry or is missing: it shows nothing of the settings in force.
func refusedForNow(status int) bool {
	return status == 0 || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// expectServed fails the run unless the nodes serve a class or, without want, answer that it does not exist.
func (f *Cluster) expectServed(class string, want bool, nodes ...int) {
	status := http.StatusOK
	if !want {
		status = http.StatusNotFound
	}
	for _, i := range nodes {
		got := 0
		f.Wait(
			f.plan.Bound(),
			func() bool { got = f.sendOwnJob(i, class, 10*time.Millisecond, nil); return !refusedForNow(got) },
		)
		if got != status {
			f.errorf("settings", "%s answers a job of class %s with %d, want %d", f.nodeName(i), class, got, status)
		}
	}
}

// awaitReady waits until a node is ready for clients, as its site's load balancer asks.
func (f *Cluster) awaitReady(i int) {
	if _, ok := f.Wait(f.plan.Bound(), func() bool {
		resp, err := f.client.Get("http://" + f.block.clientsAddr(i) + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}); !ok {
		f.errorf("settings", "%s does not become ready", f.nodeName(i))
	}
}

// runCommand runs a command of the program against a node, as an operator does, and returns its output and exit code.
func (f *Cluster) runCommand(at int, args ...string) (output string, code int) {
	ctx, stop := context.WithTimeout(context.Background(), f.plan.Bound())
	defer stop()
	c := exec.CommandContext(ctx, f.options.Bin, args...)
	c.Env = []string{"GW_CONTROL=" + f.Control(at), "USER=operator", "PATH=" + os.Getenv("PATH")}
	out, err := c.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else if err != nil {
		code = -1
	}
	f.event(
		Event{
			Kind: "operator", Actor: f.nodeName(at), Subject: strings.Join(args, " "),
			Text: fmt.Sprintf("%d: %s", code, out),
		},
	)
	return string(out), code
}

// writeFile writes a file for a command and returns its path.
func (f *Cluster) writeFile(name, text string) string {
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		f.errorf("harness", "%v", err)
	}
	return path
}

// reloadWith changes the settings in a node's file and makes its process reload it. counter is the metric that has to increase.
func (f *Cluster) reloadWith(i int, alter func(map[string]any), counter string) {
	n := f.nodes[i]
	f.mu.Lock()
	path, p := filepath.Join(f.dir, fmt.Sprintf("%s-%d", f.nodeName(i), n.starts-1), "config.json"), n.process
	f.mu.Unlock()
	var c map[string]any
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err == nil {
		alter(c["settings"].(map[string]any))
		text, err = json.Marshal(c)
	}
	if err == nil {
		err = os.WriteFile(path, text, 0o644)
	}
	if err != nil {
		f.errorf("harness", "%v", err)
		return
	}
	before := f.metric(i, counter)
	p.signal(syscall.SIGHUP)
	if _, ok := f.Wait(f.plan.Bound(), func() bool { return f.metric(i, counter) > before }); !ok {
		f.errorf("settings", "%s did not increase %s after SIGHUP", f.nodeName(i), counter)
	}
}

// suspend stops a node's process with SIGSTOP until resume is called.
func (f *Cluster) suspend(i int) (resume func()) {
	n := f.nodes[i]
	f.mu.Lock()
	p := n.process
	p.paused = true
	p.interruptions++
	f.mu.Unlock()
	p.signal(syscall.SIGSTOP)
	return func() {
		p.signal(syscall.SIGCONT)
		f.mu.Lock()
		p.paused = false
		f.mu.Unlock()
	}
}

// notef records a measurement of a scenario.
func (f *Cluster) notef(format string, a ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes = append(f.notes, fmt.Sprintf(format, a...))
}

// tryChange submits a change of the settings with the given base through a node, once.
func (f *Cluster) tryChange(at int, base configversion.ID, settings string) (controlplane.Result, bool) {
	return f.settingsCall(
		at, product.SettingsCall{Operation: "set", Base: base, Settings: json.RawMessage(settings)}, settings,
	)
}

// survivesReplicaLoss checks that the settings stay in force when control plane replicas are killed and restarted without their
// state, and that the next change works.
func survivesReplicaLoss(replicas ...int) Check {
	return func(f *Cluster) {
		f.changeSettings(3, settingsJSON())
		id := f.changeSettings(4, settingsJSON(walkInClass(20000)))
		killReplicas(f, replicas...)
		f.awaitHealthy()
		f.awaitActive(id, settingsJSON(walkInClass(20000)), f.participants()...)
		f.awaitReported(id, nil)
		next := f.changeSettings(3, settingsJSON(walkInClass(20000), extraClass(1)))
		f.expectServed(walkIn, true, f.participants()...)
		if next.Compare(id) <= 0 {
			f.errorf("settings", "revision %v came after %v", next, id)
		}
		if len(replicas) == 3 && next.Group.Compare(f.firstGroup) <= 0 {
			f.errorf("council", "no new group was founded after all replicas were lost: revision %v", next)
		}
	}
}

// killReplicas kills the nodes of control plane replicas at once, and restarts them without their state once all are gone.
func killReplicas(f *Cluster, replicas ...int) {
	var all sync.WaitGroup
	for _, i := range replicas {
		all.Go(func() { f.kill(f.nodes[i]) })
	}
	all.Wait()
	for _, i := range replicas {
		f.restartAfter(f.nodes[i], 1)
	}
}
