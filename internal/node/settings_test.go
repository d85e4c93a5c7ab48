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

	"swiftdeal/internal/config"
	"swiftdeal/internal/fleet/council"
	"swiftdeal/internal/fleet/revision"
	"swiftdeal/internal/platform"
)

const (
	jobClass   = `{"name":"job","aimMs":3600000,"deadlineMs":3600000,"effect":"retryable","worth":1}`
	youngClass = `{"name":"young","aimMs":3600000,"deadlineMs":3600000,"effect":"dedup","dedupScope":"all","repeatWindowMs":1000,"worth":1}`
	withCold   = `"obligations":{"coldMs":1000},"limits":{`
)

// obliged gives a file an obligation.
func obliged(text string) string { return strings.Replace(text, `"limits":{`, withCold, 1) }

// fleetOf starts a fleet of three nodes whose council decides on settings. The third one's file has an obligation.
func fleetOf(t *testing.T, dir string) (list []*world) {
	var at []string
	var held []net.PacketConn
	for range 3 {
		c, err := net.ListenPacket("udp4", "127.64.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		held, at = append(held, c), append(at, c.LocalAddr().String())
	}
	for i, addr := range at {
		held[i].Close()
		dirs, edit := []string{dir}, func(text string) string { return text }
		if i > 0 || dir == "" {
			dirs = nil
		}
		if i == 2 {
			edit = obliged
		}
		list = append(list, startWith(t, platform.Real(), edit, func(c *config.Config) {
			c.Fleet = &config.Fleet{Name: "test", Member: fmt.Sprint("n", i), Listen: addr, Advertise: addr, Seeds: at, Period: 50 * time.Millisecond, Most: 64, Forget: time.Minute,
				Council: &config.Council{Seats: []string{"n0", "n1", "n2"}}, Settings: &config.FleetSettings{}}
			c.Limits.CouncilWait = 0
		}, dirs...))
	}
	return list
}

// ask asks a node about the fleet's settings.
func (w *world) ask(t *testing.T, c SettingsCall) (r council.Result) {
	t.Helper()
	body, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+w.calls+"/-/fleet/settings", "application/json", bytes.NewReader(body))
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

// set has settings decided on; it asks again as long as the council has no leader.
func (w *world) set(t *testing.T, base revision.ID, settings string) revision.ID {
	t.Helper()
	for {
		r := w.ask(t, SettingsCall{Op: "set", Base: base, Settings: json.RawMessage(settings), By: "ana"})
		if r.OK {
			return *r.Revision
		}
		if !strings.Contains(r.Text, "council") && !strings.Contains(r.Text, "503") && !strings.Contains(r.Text, "504") {
			t.Fatal(r.Text)
		}
	}
}

func (w *world) shown(t *testing.T) (s SettingsShown) {
	t.Helper()
	code, text := w.call(t, "GET", "/-/fleet/settings")
	if err := json.Unmarshal([]byte(text), &s); err != nil || code != 200 {
		t.Fatalf("%d %s %v", code, text, err)
	}
	return s
}

// A revision comes into force at all nodes, whoever is asked, and no file undoes it; a node that cannot take one keeps the one
// before, says why, and takes the next.
func TestFleetSettings(t *testing.T) {
	nodes := fleetOf(t, "")
	everywhere := func(want ...string) {
		t.Helper()
		for _, w := range nodes {
			w.figures(t, want...)
		}
	}
	if got := nodes[1].status("POST", "/young", "X-Request-Id", "y"); got != 404 {
		t.Errorf("before: %d", got)
	}
	for settings, want := range map[string]string{
		`{"prices":{"crossZone":"x"}}`: "settings.prices.crossZone: a string", `{"az":"b"}`: "settings.az: each node's own", `{"price":{}}`: "settings.price: no such key",
		`{"profiles":[]}`: "settings.profiles: no class given", `{"profiles":[{"name":"job"}]}`: "settings: profiles[0].effect",
	} {
		if r := nodes[0].ask(t, SettingsCall{Op: "set", Settings: json.RawMessage(settings)}); r.OK || !strings.HasPrefix(r.Text, want) {
			t.Errorf("%s: %+v, not %q", settings, r, want)
		}
	}
	young := `{"profiles":[` + jobClass + `,` + youngClass + `]}`
	first := nodes[0].set(t, revision.ID{}, young)
	everywhere("gw_settings_revision 1", "gw_settings_held 1", "gw_settings_refused 0", `gw_served{class="young"} 0`)
	for i, w := range nodes {
		if got := w.status("POST", "/young", "X-Request-Id", "y"); got != 400 { // it is known, and wants a key
			t.Errorf("young at %d: %d", i, got)
		}
		if got := w.status("POST", "/book", "X-Request-Id", "y"); got != 404 {
			t.Errorf("book at %d: %d", i, got)
		}
	}
	if r := nodes[1].ask(t, SettingsCall{Op: "set", Settings: json.RawMessage(young)}); r.OK || !strings.Contains(r.Text, "is the latest, not none") {
		t.Errorf("a change on what is not the latest: %+v", r)
	}
	if r := nodes[1].ask(t, SettingsCall{Op: "check", Settings: json.RawMessage(`{}`)}); !r.OK || !strings.Contains(r.Text, "class young is dropped") {
		t.Errorf("a check: %+v", r)
	}

	// A new file at a node changes what the revision does not give; it does not undo it, and is not taken where both together are faulty.
	w := nodes[1]
	w.reloads <- Reload{Config: load(t, strings.Replace(w.text, `"maxAttempts":4`, `"maxAttempts":3`, 1))}
	w.figures(t, "gw_reloads_ok 1")
	if got := w.status("POST", "/young", "X-Request-Id", "y"); got != 400 {
		t.Errorf("young after SIGHUP: %d", got)
	}
	if s := w.shown(t); s.Revision != first || string(s.Settings) != young || !strings.Contains(string(s.Whole), `"maxAttempts":3`) || s.Report.Here.Node != "n1" {
		t.Errorf("%+v: %s %s", s, s.Settings, s.Whole)
	}

	// The third node's file has an obligation that this revision would drop.
	second := nodes[0].set(t, first, `{"obligations":{"fallMultiple":2},"profiles":[`+jobClass+`]}`)
	for _, w := range nodes[:2] {
		w.figures(t, "gw_settings_revision 2")
	}
	nodes[2].figures(t, "gw_settings_revision 1", "gw_settings_held 2", "gw_settings_refused 1")
	if got := nodes[2].status("POST", "/young", "X-Request-Id", "y"); got != 400 {
		t.Errorf("young where the revision that drops it is refused: %d", got)
	}
	if s := nodes[2].shown(t); s.Revision != first || !strings.Contains(s.Report.Here.Why, "settings.obligations.coldms: missing") {
		t.Errorf("%+v", s)
	}
	w.reloads <- Reload{Config: load(t, obliged(w.text))} // which the revision in force would undo
	w.figures(t, "gw_reloads_ok 1", "gw_reloads_failed 1", "gw_settings_revision 2")

	// A new file lets the node take what it refused; so does a later revision.
	nodes[2].reloads <- Reload{Config: load(t, strings.Replace(nodes[2].text, `"coldMs":1000`, ``, 1))}
	everywhere("gw_settings_revision 2", "gw_settings_refused 0")
	third := nodes[2].set(t, second, young)
	everywhere("gw_settings_revision 3")
	for r := (council.Result{}); !r.OK; r = nodes[2].ask(t, SettingsCall{Op: "back", Base: third}) {
		if r.Text != "" && !strings.Contains(r.Text, "council") && !strings.Contains(r.Text, "504") {
			t.Fatal(r.Text)
		}
	}
	everywhere("gw_settings_revision 4")
	if got := nodes[1].status("POST", "/young", "X-Request-Id", "y"); got != 404 {
		t.Errorf("young after the way back: %d", got)
	}
}

// Clients that a process takes over find the fleet's settings at once, also where nobody is there to tell it of them.
func TestFleetSettingsHandedOver(t *testing.T) {
	dir, err := os.MkdirTemp("", "h") // a short path: it holds a socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	nodes := fleetOf(t, dir)
	w := nodes[0]
	w.set(t, revision.ID{}, `{"profiles":[`+jobClass+`,`+youngClass+`]}`)
	w.figures(t, "gw_settings_revision 1")
	for _, o := range nodes[1:] {
		o.stop()
		if err := <-o.ended; err != nil {
			t.Error(err)
		}
	}
	w.config.Fleet.Settings.Wait = time.Hour // it is ready for what it inherits alone
	done, asked := make(chan struct{}), make(chan int)
	go func() {
		n := 0
		for {
			select {
			case <-done:
				asked <- n
				return
			default:
			}
			if got := w.status("POST", "/young", "X-Request-Id", "y"); got != 400 {
				t.Errorf("asked for the %d. time, young: %d", n, got)
			}
			n++
		}
	}()
	stop, ended := w.successor(t, dir)
	w.figures(t, "gw_settings_revision 1")
	close(done)
	if n := <-asked; n == 0 {
		t.Error("nothing was asked meanwhile")
	}
	w.stop()
	stop()
	for _, e := range []chan error{w.ended, ended} {
		if err := <-e; err != nil {
			t.Error(err)
		}
	}
}

// A node that starts is not ready until it has heard what the fleet's settings are, for as long as its file says.
func TestFleetSettingsAwaited(t *testing.T) {
	c := &config.Config{Fleet: &config.Fleet{Settings: &config.FleetSettings{Wait: time.Hour}}}
	o := newOverlay(c)
	if !o.held() {
		t.Error("not held")
	}
	o.settled.Store(true)
	if o.held() {
		t.Error("held though it is known")
	}
	o = newOverlay(c)
	o.begun = o.begun.Add(-time.Hour)
	if o.held() {
		t.Error("held for longer than the file says")
	}
	// The last of several revisions is put into effect, and whoever waits for an earlier one goes on.
	first := o.post(&revision.Revision{ID: revision.ID{No: 1}})
	o.post(&revision.Revision{ID: revision.ID{No: 2}})
	<-first.taken
	<-o.coming()
	if n := o.take(); n == nil || n.rev.ID.No != 2 || o.take() != nil {
		t.Errorf("%+v", n)
	}
}

// Without the section nothing of it is made.
func TestNoFleetSettings(t *testing.T) {
	c := &config.Config{}
	if newOverlay(c) != nil || newOverlay(&config.Config{Fleet: &config.Fleet{}}) != nil {
		t.Error("made without the section")
	}
	var o *overlay
	n := testing.AllocsPerRun(100, func() {
		to, _, err := o.laid(c)
		if o.held() || o.coming() != nil || to != c || err != nil || o.took(c, c) != nil || o.bequeath() != nil {
			t.Error("something is there")
		}
		o.inherit(t.Context(), nil, 0)
	})
	if n > 0 {
		t.Errorf("%v allocations", n)
	}
	w := startWith(t, platform.Real(), obliged, func(c *config.Config) {
		s, err := net.ListenPacket("udp4", "127.64.0.2:0")
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		at := s.LocalAddr().String()
		c.Fleet = &config.Fleet{Name: "test", Member: "n0", Listen: at, Advertise: at, Period: 50 * time.Millisecond, Most: 64, Forget: time.Minute, Council: &config.Council{Seats: []string{"n0", "n1", "n2"}}}
		c.Limits.CouncilWait = 0
	})
	if r := w.ask(t, SettingsCall{Op: "set", Settings: json.RawMessage(`{}`)}); r.OK || !strings.HasPrefix(r.Text, "404") {
		t.Errorf("%+v", r)
	}
	if _, text := w.call(t, "GET", "/-/metrics"); !strings.Contains(text, "gw_council_leads") || strings.Contains(text, "gw_settings") {
		t.Error("figures of what is not there, or none of the council")
	}
}
