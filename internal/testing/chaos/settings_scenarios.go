package chaos

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/configversion"
	product "swiftdeal/internal/node"
)

// SettingsScenarios are the hard cases of settings for the whole fleet.
var SettingsScenarios = []Scenario{
	{"settings-change-and-back", settingsPlan(5, 2), func(f *Cluster) {
		nodes := f.participants()
		f.expectServed(walkIn, false, nodes...)
		first := f.changeSettings(3, settingsJSON(walkInClass(20000)))
		f.expectServed(walkIn, true, nodes...)
		f.awaitReported(first, nil)
		f.changeSettings(0, settingsJSON(walkInClass(300)))
		for _, i := range nodes { // the job takes longer than its class's deadline
			if got := f.sendOwnJob(i, walkIn, 1500*time.Millisecond, nil); got == http.StatusOK || got == http.StatusNotFound {
				f.errorf(
					"settings",
					"%s answers with %d although the class's deadline is shorter than the job",
					f.nodeName(i),
					got,
				)
			}
		}
		with := f.changeSettings(4, settingsJSON(walkInClass(20000)))
		// Jobs under way when their class is removed are not lost.
		var arrivedAtWorker, ended sync.WaitGroup
		for _, i := range nodes {
			arrivedAtWorker.Add(1)
			ended.Go(func() {
				got, once := 0, sync.OnceFunc(arrivedAtWorker.Done)
				for tries := 0; tries == 0 || refusedForNow(got) && tries < 20; tries++ {
					var arrived atomic.Bool
					got = f.sendOwnJob(i, walkIn, 3*time.Second, func() { arrived.Store(true); once() })
					if arrived.Load() {
						break
					}
				}
				once()
				if got != http.StatusOK {
					f.errorf(
						"settings",
						"%s answers a job that was under way when its class was removed with %d",
						f.nodeName(i),
						got,
					)
				}
			})
		}
		arrivedAtWorker.Wait()
		without := f.changeSettings(2, settingsJSON())
		f.expectServed(walkIn, false, nodes...)
		ended.Wait()
		back := f.submitSettings(1, "back", settingsJSON(walkInClass(20000)))
		f.awaitActive(back, settingsJSON(walkInClass(20000)), nodes...)
		f.expectServed(walkIn, true, nodes...)
		f.awaitReported(back, nil)
		if back.Compare(without) <= 0 || without.Compare(with) <= 0 {
			f.errorf("settings", "successive revisions %v, %v and %v do not increase", with, without, back)
		}
		output, code := f.runCommand(2, "fleet", "settings", "set", "--wait", "60s", f.writeFile("none.json", `{"settings": {}}`))
		if code != 0 {
			f.errorf("settings", "set --wait exited with code %d: %s", code, output)
		}
		if r := f.Settings(2); r != nil && code == 0 {
			f.settings.mu.Lock()
			f.settings.decided[r.Report.Latest] = "{}"
			f.settings.mu.Unlock()
			f.awaitActive(r.Report.Latest, "{}", nodes...)
		}
		f.expectServed(walkIn, false, nodes...)
	}},
	{"settings-two-at-once", settingsPlan(5, 2), func(f *Cluster) {
		base := f.changeSettings(0, settingsJSON(walkInClass(20000)))
		for round := range 5 {
			var texts [2]string
			var results [2]controlplane.Result
			var sure [2]bool
			var both sync.WaitGroup
			for k, at := range []int{(round + 3) % 5, (round + 4) % 5} {
				both.Go(func() {
					texts[k] = settingsJSON(walkInClass(20000), extraClass(2*round+k))
					results[k], sure[k] = f.tryChange(at, base, texts[k])
				})
			}
			both.Wait()
			var s *product.SettingsView
			if _, ok := f.Wait(f.plan.Bound(), func() bool { s = f.Settings(0); return s != nil && s.Revision.Compare(base) > 0 }); !ok {
				f.errorf("settings", "neither of two concurrent changes came into force: %+v", results)
				return
			}
			won := slices.Index(texts[:], string(s.Settings))
			for k := range 2 {
				switch {
				case sure[k] && results[k].OK && (k != won || *results[k].Version != s.Revision):
					f.errorf("settings", "%s was accepted, but in force is %v, %s", texts[k], s.Revision, s.Settings)
				case sure[k] && !results[k].OK && (k == won || !strings.Contains(results[k].Text, "is the latest")):
					f.errorf(
						"settings",
						"one of two concurrent changes was answered with %q; in force is %v, %s",
						results[k].Text,
						s.Revision,
						s.Settings,
					)
				}
			}
			if won < 0 || s.Revision.Number != base.Number+1 {
				f.errorf(
					"settings",
					"after two changes with the base %v revision %v is in force: %s",
					base,
					s.Revision,
					s.Settings,
				)
				return
			}
			base = s.Revision
			f.awaitActive(base, texts[won], f.participants()...)
		}
		f.awaitReported(base, nil)
		f.expectServed(walkIn, true, f.participants()...)
	}},
	{"settings-region-cut", settingsPlan(6, 3), func(f *Cluster) {
		cutOff, connected := []int{2, 5}, []int{0, 1, 3, 4}
		first := f.changeSettings(0, settingsJSON())
		heal := f.relay.cut(func(a, b int) bool { return slices.Contains(cutOff, a) != slices.Contains(cutOff, b) })
		second := f.submitSettings(3, "set", settingsJSON(walkInClass(20000)))
		f.awaitActive(second, settingsJSON(walkInClass(20000)), connected...)
		f.expectServed(walkIn, true, connected...)
		if r, sure := f.tryChange(5, first, settingsJSON(extraClass(5))); sure && r.OK {
			f.errorf("settings", "a change was accepted by a site that is cut off from the leader: %s", r.Text)
		}
		third := f.submitSettings(4, "set", settingsJSON(walkInClass(20000), extraClass(1)))
		f.awaitActive(third, settingsJSON(walkInClass(20000), extraClass(1)), connected...)
		f.expectActive(first, cutOff...)
		f.expectServed(walkIn, false, cutOff...)
		heal()
		f.awaitActive(third, settingsJSON(walkInClass(20000), extraClass(1)), f.participants()...)
		f.expectServed(walkIn, true, f.participants()...)
		f.awaitHealthy()
		f.awaitReported(third, nil)
		f.changeSettings(5, settingsJSON(walkInClass(20000)))
	}},
	{"settings-leader-killed", settingsPlan(5, 2), func(f *Cluster) {
		id := f.changeSettings(4, settingsJSON(walkInClass(20000)))
		for round := range 3 {
			_, lead := f.Leader()
			if lead < 0 {
				f.errorf("council", "no leader")
				return
			}
			f.kill(f.nodes[lead])
			next := f.changeSettings(3, settingsJSON(walkInClass(20000), extraClass(round)))
			f.restartAfter(f.nodes[lead], 1)
			f.awaitActive(next, settingsJSON(walkInClass(20000), extraClass(round)), f.participants()...)
			f.awaitHealthy()
			if next.Compare(id) <= 0 {
				f.errorf("settings", "revision %v came after %v", next, id)
			}
			id = next
		}
		f.awaitReported(id, nil)
		f.expectServed(walkIn, true, f.participants()...)
	}},
	{"settings-two-seats-lost", settingsPlan(5, 2), survivesReplicaLoss(0, 1)},
	{"settings-all-seats-lost", settingsPlan(5, 2), survivesReplicaLoss(0, 1, 2)},
	{"settings-late-node", modifyPlan(settingsPlan(5, 2), func(p *Plan) { p.LateNodes = 1 }), func(f *Cluster) {
		f.changeSettings(0, settingsJSON(extraClass(1)))
		id := f.changeSettings(3, longSettings(1))
		// The node starts cut off from all others and must not become ready: with its file alone it would tell clients that the
		// class does not exist.
		heal := f.relay.cut(func(a, b int) bool { return (a == 4) != (b == 4) })
		begun, ended := time.Now(), make(chan int)
		f.restartAfter(f.nodes[4], 1)
		go func() {
			got := 0
			f.awaitReady(4) // a load balancer sends no client before
			f.Wait(
				f.plan.Bound(),
				func() bool { got = f.sendOwnJob(4, walkIn, 10*time.Millisecond, nil); return !refusedForNow(got) },
			)
			ended <- got
		}()
		time.Sleep(4 * time.Second)
		heal()
		if late := time.Since(begun) > 25*time.Second; late { // the machine stalled: the node's wait of 30 s may have run out
			f.notef("void: the cut lasted %v", time.Since(begun))
			<-ended
		} else if got := <-ended; got != http.StatusOK { // it has to serve its first client already
			f.errorf("settings", "n4 answers its first client with %d", got)
		}
		f.expectServed(walkIn, true, 4)
		f.awaitActive(id, longSettings(1), 4)
		f.awaitHealthy()
		f.awaitReported(id, nil)
		f.changeSettings(4, settingsJSON(walkInClass(20000)))
	}},
	{"settings-stopped-node", settingsPlan(5, 2), func(f *Cluster) {
		first := f.changeSettings(0, settingsJSON())
		resume := f.suspend(4)
		for i := range 4 {
			f.changeSettings(i, settingsJSON(extraClass(i)))
		}
		last := f.changeSettings(2, settingsJSON(walkInClass(20000)))
		resume()
		f.awaitActive(last, settingsJSON(walkInClass(20000)), f.participants()...)
		f.expectServed(walkIn, true, f.participants()...)
		f.awaitHealthy()
		f.awaitReported(last, nil)
		if last.Number != first.Number+5 {
			f.errorf("settings", "five changes after revision %v the revision is %v", first, last)
		}
	}},
	{"settings-older-file", settingsPlan(5, 2), func(f *Cluster) {
		id := f.changeSettings(0, settingsJSON(walkInClass(20000)))
		f.nodes[4].alterSettings = addStaleClasses
		f.kill(f.nodes[4])
		f.restartAfter(f.nodes[4], 1)
		f.awaitReady(4)
		f.expectServed(walkIn, true, 4)
		f.expectServed("other-99", false, 4)
		f.expectActive(id, 4)
		f.reloadWith(4, func(s map[string]any) {
			s["prices"].(map[string]any)["waste"] = 0.05
			s["profiles"] = append(s["profiles"].([]any), extraClass(98).settingsProfile())
		}, "gw_reloads_ok")
		f.expectServed(walkIn, true, 4)
		f.expectServed("other-98", false, 4)
		f.expectActive(id, f.participants()...)
		f.reloadWith(4, func(s map[string]any) { s["profiles"] = []any{} }, "gw_reloads_failed")
		f.expectServed(walkIn, true, 4)
		f.expectActive(id, f.participants()...)
		f.awaitHealthy()
		f.awaitReported(id, nil)
		f.changeSettings(4, settingsJSON())
		f.expectServed(walkIn, false, f.participants()...)
	}},
	{"settings-handover", settingsPlan(5, 2), func(f *Cluster) {
		id := f.changeSettings(0, settingsJSON(walkInClass(20000)))
		for round, i := range []int{4, 0} { // a node without a control plane replica, and one with
			f.nodes[i].alterSettings = func(s map[string]any) { s["prices"].(map[string]any)["waste"] = 0.05 }
			stop, ended := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(ended)
				for {
					select {
					case <-stop:
						return
					default:
					}
					if got := f.sendOwnJob(i, walkIn, 10*time.Millisecond, nil); got == http.StatusNotFound {
						f.errorf(
							"settings",
							"%s did not know the class during a handover",
							f.nodeName(i),
						)
						return
					}
				}
			}()
			f.replace(f.nodes[i])
			close(stop)
			<-ended
			f.awaitActive(
				id, settingsJSON(append([]class{walkInClass(20000)}, []class{extraClass(0), extraClass(1)}[:round]...)...),
				f.participants()...,
			)
			f.expectServed(walkIn, true, i)
			id = f.changeSettings(
				3, settingsJSON(append([]class{walkInClass(20000)}, []class{extraClass(0), extraClass(1)}[:round+1]...)...),
			)
		}
		f.awaitHealthy()
		f.awaitReported(id, nil)
	}},
	{"settings-bad-links", settingsPlan(6, 3), func(f *Cluster) {
		r := f.relay
		restore := []func(){
			r.setFault(&r.loss, 0.2), r.setFault(&r.jitter, 40), r.setFault(&r.duplicate, 0.3), r.setFault(&r.corrupt, 0.05),
		}
		var id configversion.ID
		for i := range 4 {
			id = f.changeSettings(i+1, longSettings(uint64(i)))
			r.replay(i)
		}
		for _, end := range restore {
			end()
		}
		f.awaitHealthy()
		f.awaitReported(id, nil)
		f.expectServed(walkIn, true, f.participants()...)
		f.changeSettings(0, settingsJSON())
	}},
	{"settings-older-program", settingsPlan(5, 2), func(f *Cluster) {
		f.changeSettings(0, settingsJSON())
		setOlder := func(i int, is bool) {
			f.mu.Lock()
			n := f.nodes[i]
			n.noFleetSettings, n.bin = is, f.options.Bin
			if is {
				n.bin = f.options.Versions["older"]
			}
			f.mu.Unlock()
			f.kill(n)
			f.restartAfter(n, 1)
			f.Wait(f.plan.Bound(), func() bool { return f.View(i) != nil })
		}
		setOlder(2, true) // has a control plane replica
		setOlder(4, true)
		f.awaitHealthy()
		if _, at := f.Leader(); at == 2 { // an older build that leads does not know this request
			if r, sure := f.tryChange(0, f.Settings(0).Report.Latest, settingsJSON(extraClass(7))); sure && r.OK {
				f.errorf("settings", "a leader of the older build accepted a change: %s", r.Text)
			}
		}
		f.Wait(f.plan.Bound(), func() bool { // continue with a leader of the new build, as after updating the replicas first
			_, at := f.Leader()
			if at == 2 {
				setOlder(2, true)
			}
			return at >= 0 && at != 2
		})
		id := f.changeSettings(3, settingsJSON(walkInClass(20000)))
		f.expectServed(walkIn, true, f.participants()...)
		f.expectServed(walkIn, false, 2, 4)
		f.awaitReported(id, map[string]string{"n2": "has no settings of the fleet", "n4": "has no settings of the fleet"})
		setOlder(4, false)
		setOlder(2, false)
		f.awaitActive(id, settingsJSON(walkInClass(20000)), f.participants()...)
		f.expectServed(walkIn, true, f.participants()...)
		f.awaitHealthy()
		f.awaitReported(id, nil)
	}},
	{"settings-faulty-at-one", settingsPlan(5, 2), func(f *Cluster) {
		first := f.changeSettings(0, settingsJSON(walkInClass(20000)))
		f.nodes[4].alterSettings = func(s map[string]any) { s["limits"].(map[string]any)["maxOpen"] = 300 }
		f.kill(f.nodes[4])
		f.restartAfter(f.nodes[4], 1)
		f.awaitActive(first, settingsJSON(walkInClass(20000)), 4)
		f.awaitHealthy()
		// The node's file sets limits.maxOpen. A version that sets the limits without this key would undo that, so it is refused.
		limits := strings.TrimSuffix(
			settingsJSON(),
			"}",
		) + `,"limits":{"cancelling":true,"probing":true,"parallelTries":true,"retryAfter":true,"maxRetryAfterMs":2000,"maxAttempts":3}}`
		second := f.submitSettings(1, "set", limits)
		f.awaitActive(second, limits, 0, 1, 2, 3)
		f.expectServed(walkIn, false, 0, 1, 2, 3)
		f.awaitReported(second, map[string]string{"n4": "refused: settings.limits.maxopen: missing"})
		f.expectActive(first, 4)
		f.expectServed(walkIn, true, 4)
		if s := f.Settings(4); s == nil || !strings.Contains(s.Report.Local.Reason, "settings.limits.maxopen: missing") ||
			f.metric(4, "gw_settings_refused") != 1 {
			f.errorf("settings", "n4 does not report why it refused the settings: %s", describeSettings(s))
		}
		third := f.changeSettings(0, settingsJSON(extraClass(1)))
		f.expectServed(walkIn, false, f.participants()...)
		f.awaitReported(third, nil)
		if v := f.metric(4, "gw_settings_refused"); v != 0 {
			f.errorf("settings", "n4 reports %g refused settings, want 0", v)
		}
	}},
	{"settings-bad-input", settingsPlan(4, 2), func(f *Cluster) {
		id := f.changeSettings(0, settingsJSON(walkInClass(20000)))
		for i, c := range [][2]string{
			{"{\"settings\": {\n\"profile\": []}}", ":2: settings.profile: no such key"},
			{"{\"settings\": {\n\n\"az\": \"medan\"}}", ":3: settings.az: each node's own"},
			{"{\"settings\": {},\n\"listen\": \"x\"}", ":2: listen: each node's own"},
			{"{\"settings\": {\n\"prices\": {,}}}", ":2: invalid character"},
			{"{\"settings\": {\n\"profiles\": []}}", ":2: settings.profiles: no class given"},
			{"{\"settings\": {\n\"prices\": {\n\"waste\": \"much\"}}}", ":3: settings.prices.waste: a string"},
		} {
			path := f.writeFile(fmt.Sprintf("bad-%d.json", i), c[0])
			for _, args := range [][]string{{"fleet", "settings", "set", path}, {"fleet", "settings", "set", "--dry-run", path}} {
				if output, code := f.runCommand(i%4, args...); code != 1 || !strings.Contains(output, path+c[1]) {
					f.errorf(
						"settings",
						"%v of %s exited with code %d and printed %q, want code 1 and %q",
						args[2:],
						c[0],
						code,
						output,
						path+c[1],
					)
				}
			}
			var file struct {
				Settings json.RawMessage `json:"settings"`
			}
			if json.Unmarshal([]byte(c[0]), &file) != nil || strings.Contains(c[0], "listen") {
				continue // the control address accepts only valid JSON, and only settings
			}
			_, key, _ := strings.Cut(c[1][1:], ": ")
			if r, sure := f.tryChange(i%4, id, string(file.Settings)); !sure || r.OK || !strings.Contains(r.Text, key) {
				f.errorf("settings", "%s submitted to a control address: %v %s", file.Settings, r.OK, r.Text)
			}
		}
		if r, sure := f.tryChange(3, configversion.ID{}, settingsJSON()); !sure || r.OK ||
			!strings.Contains(r.Text, "is the latest") {
			f.errorf("settings", "a change with a base that is not the latest: %v %s", r.OK, r.Text)
		}
		f.expectActive(id, f.participants()...)
		f.awaitReported(id, nil)
		f.expectServed(walkIn, true, f.participants()...)
		if next := f.changeSettings(1, settingsJSON()); next.Number != id.Number+1 {
			f.errorf("settings", "revision %v comes after %v", next, id)
		}
	}},
	{
		"settings-spread-20",
		modifyPlan(settingsPlan(20, 3), func(p *Plan) { p.PeriodMs, p.SettleMs = 1000, 300000 }),
		func(f *Cluster) {
			var took []time.Duration
			for i := range 12 {
				begun := time.Now()
				text := settingsJSON(walkInClass(20000), extraClass(i))
				if i >= 6 {
					text = longSettings(uint64(i))
				}
				id := f.submitSettings(i%20, "set", text)
				decided := time.Since(begun)
				f.awaitActive(id, text, f.participants()...)
				last, n := time.Time{}, 0
				f.Wait(f.plan.Bound(), func() bool { // the harness may read the nodes' logs a moment later
					f.settings.mu.Lock()
					defer f.settings.mu.Unlock()
					n = len(f.settings.activatedAt[id])
					for _, t := range f.settings.activatedAt[id] {
						if t.After(last) {
							last = t
						}
					}
					return n == 20
				})
				took = append(took, last.Sub(begun))
				f.notef(
					"change %2d, %6d bytes of settings, at n%d: answered after %v, in force at the last of %d nodes after %v",
					i,
					len(text),
					i%20,
					decided.Round(time.Millisecond),
					n,
					last.Sub(begun).Round(time.Millisecond),
				)
			}
			slices.Sort(took)
			f.notef(
				"from the call to in force at the last node: median %v, worst %v of %d changes",
				took[len(took)/2].Round(time.Millisecond),
				took[len(took)-1].Round(time.Millisecond),
				len(took),
			)
			f.expectServed(walkIn, true, f.participants()...)
		},
	},
}
