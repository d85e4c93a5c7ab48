package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/handover"
	"swiftdeal/internal/platform"
)

const (
	jobClass = `{"name":"job","aimMs":3600000,"deadlineMs":3600000,"effect":"retryable","worth":1}`
	newClass = `{"name":"extra","aimMs":3600000,"deadlineMs":3600000,"effect":"dedup","dedupScope":"all","repeatWindowMs":1000,"worth":1}`

	withSlowStart = `"obligations":{"coldMs":1000},"limits":{`
)

// addObligation adds an obligation to the text of a configuration file.
func addObligation(text string) string { return strings.Replace(text, `"limits":{`, withSlowStart, 1) }

// startFleet starts a fleet of three nodes with a control plane and fleet settings. The third node's file has an
// obligation. With a dir, the first node can be replaced by a process that connects there.
func startFleet(t *testing.T, dir string) (list []*testNode) {
	var addrs []string
	var reserved []net.PacketConn
	for range 3 {
		c, err := net.ListenPacket("udp4", "127.64.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		reserved, addrs = append(reserved, c), append(addrs, c.LocalAddr().String())
	}
	for i, addr := range addrs {
		reserved[i].Close()
		dirs, edit := []string{dir}, func(text string) string { return text }
		if i > 0 || dir == "" {
			dirs = nil
		}
		if i == 2 {
			edit = addObligation
		}
		list = append(list, startNodeWith(t, platform.Real(), edit, func(c *config.Config) {
			c.Fleet = &config.Fleet{
				Name: "test", MemberName: fmt.Sprint("n", i), Listen: addr, Advertise: addr, Seeds: addrs,
				Period: 50 * time.Millisecond, MaxMembers: 64, ForgetAfter: time.Minute,
				ControlPlane: &config.ControlPlane{Replicas: []string{"n0", "n1", "n2"}}, Settings: &config.FleetSettings{},
			}
			c.Limits.ControlPlaneReadyTimeout = 0
		}, dirs...))
	}
	return list
}

// settingsCall sends a settings call to a node.
func (w *testNode) settingsCall(t *testing.T, c SettingsCall) (r controlplane.Result) {
	t.Helper()
	body, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+w.control+"/-/fleet/settings", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		err = json.NewDecoder(resp.Body).Decode(&r)
	} else {
		r.Text = resp.Status
	}
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// setSettings makes the control plane adopt settings. It retries while the control plane has no leader.
func (w *testNode) setSettings(t *testing.T, base configversion.ID, settings string) configversion.ID {
	t.Helper()
	for {
		r := w.settingsCall(t, SettingsCall{Operation: "set", Base: base, Settings: json.RawMessage(settings), RequestedBy: "ana"})
		if r.OK {
			return *r.Version
		}
		if !strings.Contains(r.Text, "council") && !strings.Contains(r.Text, "503") && !strings.Contains(r.Text, "504") {
			t.Fatal(r.Text)
		}
	}
}

// settingsView returns a node's view of the fleet's settings.
func (w *testNode) settingsView(t *testing.T) (s SettingsView) {
	t.Helper()
	code, text := w.controlCall(t, "GET", "/-/fleet/settings")
	if err := json.Unmarshal([]byte(text), &s); err != nil || code != 200 {
		t.Fatalf("%d %s %v", code, text, err)
	}
	return s
}

// A settings version takes effect at all nodes, whichever node received the call, and a reloaded file does not override
// it. A node that cannot apply a version keeps the previous one, reports the reason, and applies the next version.
func TestFleetSettings(t *testing.T) {
	nodes := startFleet(t, "")
	everywhere := func(want ...string) {
		t.Helper()
		for _, w := range nodes {
			w.awaitMetrics(t, want...)
		}
	}
	if got := nodes[1].status("POST", "/extra", "X-Request-Id", "y"); got != 404 {
		t.Errorf("request of class extra before it is set: status %d", got)
	}
	for settings, want := range map[string]string{
		`{"prices":{"crossZone":"x"}}`:  "settings.prices.crossZone: a string",
		`{"az":"b"}`:                    "settings.az: each node's own",
		`{"price":{}}`:                  "settings.price: no such key",
		`{"profiles":[]}`:               "settings.profiles: no class given",
		`{"profiles":[{"name":"job"}]}`: "settings: profiles[0].effect",
	} {
		if r := nodes[0].settingsCall(t, SettingsCall{Operation: "set", Settings: json.RawMessage(settings)}); r.OK ||
			!strings.HasPrefix(r.Text, want) {
			t.Errorf("%s: got %+v, want %q", settings, r, want)
		}
	}
	extra := `{"profiles":[` + jobClass + `,` + newClass + `]}`
	first := nodes[0].setSettings(t, configversion.ID{}, extra)
	everywhere("gw_settings_revision 1", "gw_settings_held 1", "gw_settings_refused 0", `gw_served{class="extra"} 0`)
	for i, w := range nodes {
		if got := w.status("POST", "/extra", "X-Request-Id", "y"); got != 400 { // the class is known, and requires an idempotency key
			t.Errorf("request of class extra at node %d: status %d", i, got)
		}
		if got := w.status("POST", "/book", "X-Request-Id", "y"); got != 404 {
			t.Errorf("request of class book at node %d: status %d", i, got)
		}
	}
	if r := nodes[1].settingsCall(t, SettingsCall{Operation: "set", Settings: json.RawMessage(extra)}); r.OK ||
		!strings.Contains(r.Text, "is the latest, not none") {
		t.Errorf("set with a base that is not the latest version: %+v", r)
	}
	if r := nodes[1].settingsCall(t, SettingsCall{Operation: "check", Settings: json.RawMessage(`{}`)}); !r.OK ||
		!strings.Contains(r.Text, "class extra is dropped") {
		t.Errorf("check: %+v", r)
	}

	// A reloaded file changes what the version does not set. It does not override the version, and is rejected if both
	// together are invalid.
	w := nodes[1]
	w.reloads <- Reload{Config: loadConfig(t, strings.Replace(w.text, `"maxAttempts":4`, `"maxAttempts":3`, 1))}
	w.awaitMetrics(t, "gw_reloads_ok 1")
	if got := w.status("POST", "/extra", "X-Request-Id", "y"); got != 400 {
		t.Errorf("request of class extra after a reload: status %d", got)
	}
	if s := w.settingsView(t); s.Revision != first || string(s.Settings) != extra ||
		!strings.Contains(string(s.Complete), `"maxAttempts":3`) || s.Report.Local.Node != "n1" {
		t.Errorf("%+v: %s %s", s, s.Settings, s.Complete)
	}

	// The third node's file has an obligation that this version would remove.
	second := nodes[0].setSettings(t, first, `{"obligations":{"fallMultiple":2},"profiles":[`+jobClass+`]}`)
	for _, w := range nodes[:2] {
		w.awaitMetrics(t, "gw_settings_revision 2")
	}
	nodes[2].awaitMetrics(t, "gw_settings_revision 1", "gw_settings_held 2", "gw_settings_refused 1")
	if got := nodes[2].status("POST", "/extra", "X-Request-Id", "y"); got != 400 {
		t.Errorf("request of class extra at the node that refused to drop it: status %d", got)
	}
	if s := nodes[2].settingsView(t); s.Revision != first ||
		!strings.Contains(s.Report.Local.Reason, "settings.obligations.coldms: missing") {
		t.Errorf("%+v", s)
	}
	w.reloads <- Reload{Config: loadConfig(t, addObligation(w.text))} // which the version in force would remove
	w.awaitMetrics(t, "gw_reloads_ok 1", "gw_reloads_failed 1", "gw_settings_revision 2")

	// A new file lets the node apply the version that it refused; so does a later version.
	nodes[2].reloads <- Reload{Config: loadConfig(t, strings.Replace(nodes[2].text, `"coldMs":1000`, ``, 1))}
	everywhere("gw_settings_revision 2", "gw_settings_refused 0")
	third := nodes[2].setSettings(t, second, extra)
	everywhere("gw_settings_revision 3")
	for r := (controlplane.Result{}); !r.OK; r = nodes[2].settingsCall(t, SettingsCall{Operation: "back", Base: third}) {
		if r.Text != "" && !strings.Contains(r.Text, "council") && !strings.Contains(r.Text, "504") {
			t.Fatal(r.Text)
		}
	}
	everywhere("gw_settings_revision 4")
	if got := nodes[1].status("POST", "/extra", "X-Request-Id", "y"); got != 404 {
		t.Errorf("request of class extra after the revert: status %d", got)
	}
}

// Clients that a process takes over are served by the fleet's settings at once, even if no other node is left from which
// the process could receive them.
func TestFleetSettingsHandedOver(t *testing.T) {
	dir, err := os.MkdirTemp("", "h") // short, because a socket's path is limited in length
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	nodes := startFleet(t, dir)
	w := nodes[0]
	w.setSettings(t, configversion.ID{}, `{"profiles":[`+jobClass+`,`+newClass+`]}`)
	w.awaitMetrics(t, "gw_settings_revision 1")
	for _, o := range nodes[1:] {
		o.stop()
		if err := <-o.ended; err != nil {
			t.Error(err)
		}
	}
	w.config.Fleet.Settings.ReadyTimeout = time.Hour // so that only the inherited version makes it ready
	done, requestCount := make(chan struct{}), make(chan int)
	go func() {
		n := 0
		for {
			select {
			case <-done:
				requestCount <- n
				return
			default:
			}
			if got := w.status("POST", "/extra", "X-Request-Id", "y"); got != 400 {
				t.Errorf("request %d of class extra: status %d", n, got)
			}
			n++
		}
	}()
	stop, ended := w.successor(t, dir)
	w.awaitMetrics(t, "gw_settings_revision 1")
	close(done)
	if n := <-requestCount; n == 0 {
		t.Error("no request was sent during the handover")
	}
	w.stop()
	stop()
	for _, e := range []chan error{w.ended, ended} {
		if err := <-e; err != nil {
			t.Error(err)
		}
	}
}

// A starting node is not ready until it knows the fleet's settings, at most for the ready timeout of its file.
func TestFleetSettingsAwaited(t *testing.T) {
	c := &config.Config{Fleet: &config.Fleet{Settings: &config.FleetSettings{ReadyTimeout: time.Hour}}}
	o := newFleetSettings(c)
	if !o.awaitsFirst() {
		t.Error("does not wait for the first settings")
	}
	o.known.Store(true)
	if o.awaitsFirst() {
		t.Error("waits although the settings are known")
	}
	o = newFleetSettings(c)
	o.startedAt = o.startedAt.Add(-time.Hour)
	if o.awaitsFirst() {
		t.Error("waits longer than the ready timeout")
	}
	// Only the last of several submitted versions is applied, and waiting for an earlier one ends.
	first := o.submit(&configversion.Version{ID: configversion.ID{Number: 1}})
	o.submit(&configversion.Version{ID: configversion.ID{Number: 2}})
	<-first.handled
	<-o.signal()
	if n := o.takePending(); n == nil || n.version.ID.Number != 2 || o.takePending() != nil {
		t.Errorf("%+v", n)
	}
}

// Without a [settings] section there are no fleet settings, and their methods neither act nor allocate.
func TestNoFleetSettings(t *testing.T) {
	c := &config.Config{}
	if newFleetSettings(c) != nil || newFleetSettings(&config.Config{Fleet: &config.Fleet{}}) != nil {
		t.Error("created without a [settings] section")
	}
	var o *fleetSettings
	n := testing.AllocsPerRun(100, func() {
		to, _, err := o.overlayOn(c)
		if o.awaitsFirst() || o.signal() != nil || to != c || err != nil || o.fileApplied(c, c) != nil || o.exportVersion() != nil {
			t.Error("a method of nil fleet settings has an effect")
		}
		o.importVersion(t.Context(), nil, 0)
	})
	if n > 0 {
		t.Errorf("%v allocations", n)
	}
	w := startNodeWith(t, platform.Real(), addObligation, func(c *config.Config) {
		s, err := net.ListenPacket("udp4", "127.64.0.2:0")
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		at := s.LocalAddr().String()
		c.Fleet = &config.Fleet{
			Name: "test", MemberName: "n0", Listen: at, Advertise: at, Period: 50 * time.Millisecond, MaxMembers: 64,
			ForgetAfter: time.Minute, ControlPlane: &config.ControlPlane{Replicas: []string{"n0", "n1", "n2"}},
		}
		c.Limits.ControlPlaneReadyTimeout = 0
	})
	if r := w.settingsCall(t, SettingsCall{Operation: "set", Settings: json.RawMessage(`{}`)}); r.OK ||
		!strings.HasPrefix(r.Text, "404") {
		t.Errorf("%+v", r)
	}
	if _, text := w.controlCall(t, "GET", "/-/metrics"); !strings.Contains(text, "gw_council_leads") ||
		strings.Contains(text, "gw_settings") {
		t.Error("metrics of fleet settings without a [settings] section, or none of the control plane")
	}
}

// Guards against a new process that sends to a worker which the control plane has drained, until the control plane answers it: it
// takes what its predecessor knows, at the start and later.
func TestDrainedWorkersAreInherited(t *testing.T) {
	w := startNodeWith(t, platform.Real(), withQuickDials, func(*config.Config) {})
	reserved, err := net.ListenPacket("udp4", "127.64.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := reserved.LocalAddr().String()
	reserved.Close()
	w.config.Limits.ControlPlaneReadyTimeout = 0
	w.config.Fleet = &config.Fleet{
		Name: "test", MemberName: "n0", Listen: address, Advertise: address, Period: 50 * time.Millisecond, MaxMembers: 64,
		ForgetAfter: time.Minute, ControlPlane: &config.ControlPlane{Replicas: []string{"n1", "n2", "n3"}}, // which nobody is
	}
	script := &handoverScript{
		endpoints: &w.config.CachedEndpoints, state: &balance.LearnedState{}, listener: silentListener(t), drained: []string{"p"},
		clocks: &handover.Clocks{Monotonic: platform.Real().Monotonic(), Balancer: time.Duration(time.Now().UnixNano())},
	}
	stop, ended := script.replaceBy(t, w, t.TempDir())
	w.awaitMetrics(t, "gw_workers_known 1", "gw_workers_excluded 1")
	for _, drained := range [][]string{{}, {"p"}} {
		script.link.Send(handover.Message{Kind: handover.KindUpdate, DrainedWorkers: &drained})
		w.awaitMetrics(t, "gw_workers_known 1", fmt.Sprint("gw_workers_excluded ", len(drained)))
	}
	script.link.Close()
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
