package chaos

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/configversion"
	product "swiftdeal/internal/node"
	"swiftdeal/internal/testing/simulation/mutants"
)

// walkIn is a class that is in no node's file; ownJobPrefix is the prefix of the request IDs of the harness's own jobs, which show
// the settings in force.
const (
	walkIn       = "walk-in"
	ownJobPrefix = "probe"
)

// OlderBuild holds the source changes of a build from before the fleet had settings: its replicas ignore them. Its nodes get a
// fleet file without the [settings] section.
var OlderBuild = []mutants.Change{
	{
		File:        "internal/controlplane/state_machine.go",
		Original:    "`cbor:\"3,keyasint,omitempty\"`\n}",
		Replacement: "`cbor:\"93,keyasint,omitempty\"`\n}",
	},
	{
		File:        "internal/controlplane/state_machine.go",
		Original:    "`cbor:\"4,keyasint,omitempty\"`\n}",
		Replacement: "`cbor:\"94,keyasint,omitempty\"`\n}",
	},
	{
		File:        "internal/controlplane/leader_requests.go",
		Original:    "	case OperationSetSettings, OperationRevertSettings:\n",
		Replacement: "	case \"settings-set-later\":\n",
	},
}

// settingsHistory is what the harness knows of the versions of the fleet's settings. It serves to check the guarantees in
// docs/design/revision.md.
type settingsHistory struct {
	mu          sync.Mutex
	decided     map[configversion.ID]string            // settings of each version, by the answers to operators
	unanswered  []string                               // settings of calls whose outcome is unknown, because the answer was lost
	contents    map[configversion.ID]string            // settings of each version as processes show them
	seenAt      map[configversion.ID]string            // a process in which the version was in force
	active      map[string]configversion.ID            // last version in force, by process, from its log
	lastShown   map[string][2]configversion.ID         // last versions in force and held, by control address, as shown there
	activatedAt map[configversion.ID]map[int]time.Time // when a version came into force at each node, by the node's clock
	ownJobCount int
}

// reset empties the history.
func (h *settingsHistory) reset() {
	h.decided = map[configversion.ID]string{}
	h.contents = map[configversion.ID]string{}
	h.seenAt = map[configversion.ID]string{}
	h.active = map[string]configversion.ID{}
	h.lastShown = map[string][2]configversion.ID{}
	h.activatedAt = map[configversion.ID]map[int]time.Time{}
}

// recordActiveSettings handles the log line of a version coming into force: within one process versions only increase.
func (f *Cluster) recordActiveSettings(p *process, l *logLine) {
	f.event(Event{Kind: "settings", Actor: p.name, StartNumber: p.startNumber, Subject: l.Revision, Text: "in force"})
	key := fmt.Sprintf("%s.%d", p.name, p.startNumber)
	id, err := configversion.ParseID(l.Revision)
	f.settings.mu.Lock()
	previous := f.settings.active[key]
	f.settings.active[key], f.settings.seenAt[id] = id, key
	if f.settings.activatedAt[id] == nil {
		f.settings.activatedAt[id] = map[int]time.Time{}
	}
	if f.settings.activatedAt[id][p.node].IsZero() {
		f.settings.activatedAt[id][p.node] = l.Time
	}
	f.settings.mu.Unlock()
	if err != nil || id.Compare(previous) <= 0 {
		f.errorf("settings", "%s: revision %s came into force after %v (%v)", key, l.Revision, previous, err)
	}
}

// fetchSettings fetches a process's view of the fleet's settings from its control address; nil if it does not answer.
func (f *Cluster) fetchSettings(control string) *product.SettingsView {
	resp, err := f.client.Get("http://" + control + "/-/fleet/settings")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var s product.SettingsView
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&s) != nil || s.Report == nil {
		return nil
	}
	return &s
}

// Settings fetches a node's view of the fleet's settings; nil if the node does not answer or has none.
func (f *Cluster) Settings(i int) *product.SettingsView { return f.fetchSettings(f.Control(i)) }

// describeSettings describes a process's settings, for failure messages.
func describeSettings(s *product.SettingsView) string {
	if s == nil {
		return "the node does not answer"
	}
	return fmt.Sprintf(
		"in force is %v, held %v; %s %s",
		s.Revision,
		s.Report.Local.Latest,
		s.Report.Local.Reason,
		s.Settings,
	)
}

// watchSettings polls the settings of all nodes: versions never decrease, and a version has the same settings at all nodes.
func (f *Cluster) watchSettings() {
	for i := range f.nodes {
		f.background.Add(1)
		go func() {
			defer f.background.Done()
			every := time.NewTicker(200 * time.Millisecond)
			defer every.Stop()
			for {
				select {
				case <-f.stop:
					return
				case <-every.C:
				}
				at := f.Control(i)
				if s := f.fetchSettings(at); s != nil {
					f.checkShownSettings(at, s)
				}
			}
		}()
	}
}

// checkShownSettings checks a process's settings against those it showed before and those of other nodes.
func (f *Cluster) checkShownSettings(at string, s *product.SettingsView) {
	now := [2]configversion.ID{s.Revision, s.Report.Local.Latest}
	f.settings.mu.Lock()
	previous := f.settings.lastShown[at]
	f.settings.lastShown[at] = now
	shown, known := f.settings.contents[s.Revision]
	if !known {
		f.settings.contents[s.Revision] = string(s.Settings)
		f.settings.seenAt[s.Revision] = s.Member
	}
	f.settings.mu.Unlock()
	if now[0].Compare(previous[0]) < 0 || now[1].Compare(previous[1]) < 0 {
		f.errorf(
			"settings",
			"%s has %v in force and holds %v, and had %v and %v before",
			s.Member,
			now[0],
			now[1],
			previous[0],
			previous[1],
		)
	}
	if known && shown != string(s.Settings) {
		f.errorf("settings", "%s shows %s for revision %v, another node shows %s", s.Member, s.Settings, s.Revision, shown)
	}
}

// judgeSettings checks every version that was in force: an operator submitted exactly these settings, in a call that succeeded
// or whose answer was lost.
func (f *Cluster) judgeSettings() {
	f.settings.mu.Lock()
	defer f.settings.mu.Unlock()
	for id, who := range f.settings.seenAt {
		if id.IsZero() {
			continue
		}
		text, decided := f.settings.decided[id]
		shown, seen := f.settings.contents[id]
		lost := 0
		for _, submitted := range f.settings.unanswered {
			if !seen || submitted == shown {
				lost++
			}
		}
		switch {
		case decided && seen && text != shown:
			f.errorf("settings", "revision %v holds %s at %s, but the operator submitted %s", id, shown, who, text)
		case !decided && lost == 0:
			f.errorf("settings", "revision %v was in force at %s without an accepted request of an operator", id, who)
		}
	}
}

// settingsCall sends an operator's request about the settings to a node. expected is the settings text that the change is
// recorded with. definite reports whether there was a valid answer; without one the change may have been accepted or not.
func (f *Cluster) settingsCall(at int, c product.SettingsCall, expected string) (r controlplane.Result, definite bool) {
	c.RequestedBy = "operator"
	body, err := json.Marshal(c)
	if err != nil {
		panic(err) // impossible: the harness's own settings are valid JSON
	}
	h := http.Client{Timeout: 10 * time.Second, Transport: f.client.Transport}
	resp, err := h.Post("http://"+f.Control(at)+"/-/fleet/settings", "application/json", bytes.NewReader(body))
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("%s: %s", resp.Status, bytes.TrimSpace(text))
		} else if err == nil {
			err = json.Unmarshal(text, &r)
		}
	}
	if err != nil {
		r.Text = err.Error()
	}
	f.event(
		Event{
			Kind:    "operator",
			Actor:   f.nodeName(at),
			Subject: "settings " + c.Operation,
			Text:    fmt.Sprintf("in the place of %v: %v %s", c.Base, r.OK, r.Text),
		},
	)
	f.settings.mu.Lock()
	defer f.settings.mu.Unlock()
	switch {
	case err != nil:
		f.settings.unanswered = append(f.settings.unanswered, expected)
	case r.OK && r.Version != nil:
		if earlier, twice := f.settings.decided[*r.Version]; twice && earlier != expected {
			f.errorf("settings", "two different changes were both answered with revision %v", *r.Version)
		}
		f.settings.decided[*r.Version] = expected
	}
	return r, err == nil
}
