package node

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/control"
	"swiftdeal/internal/fleet/council"
	"swiftdeal/internal/fleet/gossip"
	"swiftdeal/internal/fleet/revision"
	"swiftdeal/internal/fleet/seat"
	"swiftdeal/internal/fleet/wire"
)

// overlay is the fleet's settings at this node: between the owner of the view, which is told of revisions, and the goroutine
// that puts configurations into effect. Neither waits for the other. It is nil, and all methods do nothing, where the fleet's
// file has no [settings].
type overlay struct {
	begun   time.Time
	wait    time.Duration
	settled atomic.Bool   // it is known what the fleet's settings are: clients need not wait for them
	more    chan struct{} // next has come; of one

	mu    sync.Mutex
	next  *order
	done  []seat.Applied     // not told to the council's part yet
	file  *config.Config     // the node's own configuration, as it was last taken
	now   *config.Config     // in force: with a revision laid over it, where there is one
	force *revision.Revision // that; nil: none
	over  json.RawMessage    // its settings
	retry *revision.Revision // the latest that was refused, for when the file changes
}

// order is a revision that is to be put into effect.
type order struct {
	rev   *revision.Revision
	taken chan struct{} // closed once it was, or was refused, or a later one has taken its place
}

// newOverlay returns what keeps the fleet's settings; nil where there are none.
func newOverlay(c *config.Config) *overlay {
	if c.Fleet == nil || c.Fleet.Settings == nil {
		return nil
	}
	return &overlay{begun: time.Now(), wait: c.Fleet.Settings.Wait, more: make(chan struct{}, 1), file: c, now: c}
}

// held reports whether clients are to wait until the node has heard what the fleet's settings are. That is bounded: a node that
// hears nobody goes on with its file's.
func (o *overlay) held() bool {
	return o != nil && !o.settled.Load() && time.Since(o.begun) < o.wait
}

// coming is where it is said that a revision is to be put into effect; nil, on which nothing comes, without settings of the fleet.
func (o *overlay) coming() <-chan struct{} {
	if o == nil {
		return nil
	}
	return o.more
}

// post has a revision put into effect, in the place of one that still waits for that. It does not wait.
func (o *overlay) post(r *revision.Revision) *order {
	n := &order{r, make(chan struct{})}
	o.mu.Lock()
	if o.next != nil {
		close(o.next.taken)
	}
	o.next = n
	o.mu.Unlock()
	select {
	case o.more <- struct{}{}:
	default:
	}
	return n
}

// take takes what is to be put into effect; nil: nothing is.
func (o *overlay) take() *order {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.next
	o.next = nil
	return n
}

// tell notes what has become of a revision, for the council's part to fetch.
func (o *overlay) tell(id revision.ID, why string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.done = append(o.done, seat.Applied{ID: id, Why: why})
}

// told takes what has become of revisions.
func (o *overlay) told() []seat.Applied {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.done
	o.done = nil
	return d
}

// current returns the node's own configuration, and the settings that are laid over it with their revision.
func (o *overlay) current() (file, now *config.Config, force *revision.Revision, over json.RawMessage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.file, o.now, o.force, o.over
}

// laid returns a file's configuration with the revision in force laid over it.
func (o *overlay) laid(file *config.Config) (now *config.Config, of revision.ID, err error) {
	if o == nil {
		return file, of, nil
	}
	_, _, force, over := o.current()
	if force == nil {
		return file, of, nil
	}
	now, err = file.With(over)
	return now, force.ID, err
}

// took notes a file's configuration that has been taken, and what is in force now. It returns a revision that was refused
// before and is to be tried again with it.
func (o *overlay) took(file, now *config.Config) (retry *revision.Revision) {
	if o == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.file, o.now = file, now
	return o.retry
}

// follow puts a revision of the fleet's settings into effect, whole or not at all. It is called by the goroutine that reloads.
func (n *Node) follow(r *revision.Revision) {
	o := n.overlay
	file, now, force, _ := o.current()
	if force != nil && r.ID.Compare(force.ID) <= 0 { // a part in the council that has begun anew is behind
		o.tell(force.ID, "")
		return
	}
	s, err := revision.Unpack(r.Body)
	var to *config.Config
	if err == nil {
		to, err = file.With(s.Settings)
	}
	if err == nil {
		err = n.put(to)
	}
	was := force.Head().ID
	if err != nil {
		n.log.Error("fleet settings refused, the old ones stay", "revision", r.ID.String(), "why", err, "in_force", was.String(), "by", s.By)
		o.mu.Lock()
		o.retry = r
		o.mu.Unlock()
		o.tell(r.ID, err.Error())
		return
	}
	o.mu.Lock()
	o.now, o.force, o.over, o.retry = to, r, s.Settings, nil
	o.mu.Unlock()
	o.tell(r.ID, "")
	n.log.Info("fleet settings in force", "revision", r.ID.String(), "was", was.String(), "by", s.By, "why", s.Why, "bytes", len(r.Body), "changes", strings.Join(now.Changes(to), "; "))
}

// revise puts the revision that has come into effect, and has the council's part hear of it.
func (n *Node) revise() {
	w := n.overlay.take()
	if w == nil {
		return
	}
	n.follow(w.rev)
	close(w.taken)
	n.fleet.hear()
}

// hear has the council's part fetch what has become of a revision at once.
func (f *fleet) hear() {
	if f != nil {
		go f.now().Do(func(time.Duration, gossip.Part) {}) // whoever owns the view looks after each call
	}
}

// bequeath words the revision in force for the process that takes this one's place; empty: none is.
func (o *overlay) bequeath() []byte {
	if o == nil {
		return nil
	}
	_, _, force, _ := o.current()
	if force == nil {
		return nil
	}
	return wire.Word(force)
}

// inherit puts the revision into effect that is in force in the process before this one, and waits for that. Guards against
// clients that are taken over and for a moment find the settings of the file: a class may be known by the fleet's alone.
func (o *overlay) inherit(ctx context.Context, word []byte, most time.Duration) {
	if o == nil || len(word) == 0 {
		return
	}
	r := &revision.Revision{}
	if wire.Read(word, r) != nil {
		return
	}
	w := o.post(r)
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-w.taken:
		o.settled.Store(true)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Apply implements seat.Host.
func (h host) Apply(r *revision.Revision) { h.f.n.overlay.post(r) }

// Applied implements seat.Host.
func (h host) Applied() []seat.Applied { return h.f.n.overlay.told() }

// Settled implements seat.Host.
func (h host) Settled() { h.f.n.overlay.settled.Store(true) }

// SettingsCall is what an operator asks about the fleet's settings.
type SettingsCall struct {
	Op       string          `json:"op"`                 // set, back, check
	Settings json.RawMessage `json:"settings,omitempty"` // of set and check
	Base     revision.ID     `json:"base"`               // of set and back: what is to be replaced
	By       string          `json:"by,omitempty"`
	Why      string          `json:"why,omitempty"`
}

// SettingsShown is what a node has of the fleet's settings.
type SettingsShown struct {
	Member   string                  `json:"member"`
	Report   *council.SettingsReport `json:"report"`
	Trouble  string                  `json:"trouble,omitempty"` // of the council
	Revision revision.ID             `json:"revision"`          // in force
	Settings json.RawMessage         `json:"settings"`          // its
	Whole    json.RawMessage         `json:"whole"`             // with the node's own below them: what it goes by
}

// settingsCall answers a call on the fleet's settings.
func (f *fleet) settingsCall(path string, body []byte) (int, any) {
	o := f.n.overlay
	if o == nil {
		return http.StatusNotFound, "the fleet's file of this node has no [settings]"
	}
	const busy = "the node's part in the fleet has not begun, or is busy"
	file, now, force, over := o.current()
	if path == "settings" {
		shown := &SettingsShown{Member: f.name(), Revision: force.Head().ID, Settings: over, Whole: now.Told()}
		if over == nil {
			shown.Settings = json.RawMessage("{}")
		}
		if !f.with(func(now time.Duration, s *seat.Seat) {
			r := s.Report(now)
			shown.Report, shown.Trouble = r.Settings, r.Trouble
		}) {
			return http.StatusServiceUnavailable, busy
		}
		return http.StatusOK, shown
	}
	var c SettingsCall
	if err := json.Unmarshal(body, &c); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	refused := func(err error) (int, any) { return http.StatusOK, council.Result{Text: err.Error()} }
	var packed []byte
	if c.Op == "set" || c.Op == "check" {
		err := config.CheckOverlay(c.Settings)
		var to *config.Config
		if err == nil {
			to, err = file.With(c.Settings)
		}
		if err == nil {
			packed, err = revision.Pack(revision.Content{Settings: c.Settings, By: c.By, Why: c.Why, At: time.Now().UnixMilli()})
		}
		if err != nil {
			return refused(err)
		}
		if c.Op == "check" {
			list := now.Changes(to)
			if len(list) == 0 {
				list = []string{"nothing would change"}
			}
			return http.StatusOK, council.Result{OK: true, Text: strings.Join(list, "\n")}
		}
	} else if c.Op != "back" {
		return http.StatusBadRequest, "op is set, back or check"
	}
	reply := make(chan council.Result, 1)
	if !f.with(func(now time.Duration, s *seat.Seat) {
		if c.Op == "back" {
			s.Call(now, council.Call{Op: "settings-back", Base: &c.Base, By: c.By, Why: c.Why, At: time.Now().UnixMilli()}, reply)
		} else {
			s.SetSettings(now, packed, c.Base, c.By, c.Why, reply)
		}
	}) {
		return http.StatusServiceUnavailable, busy
	}
	return f.answer(reply)
}

// settingsFigures words figures on the fleet's settings.
func settingsFigures(r *council.SettingsReport, k *revision.Core) []control.Family {
	var held, refused int64
	if h := k.Held(); h != nil {
		held = int64(h.ID.No)
	}
	if id, _ := k.Refused(); !id.None() {
		refused = 1
	}
	force, c := k.InForce(), k.Counts()
	list := []control.Family{
		control.One("gw_settings_revision", "Number of the revision of the fleet's settings in force here; 0: none is.", true, int64(force.No)),
		control.One("gw_settings_group", "Number of the council's group that decided on it.", true, int64(force.Group.Number)),
		control.One("gw_settings_held", "Number of the latest revision that is whole here.", true, held),
		control.One("gw_settings_refused", "1 while the latest revision is refused here.", true, refused),
		control.One("gw_settings_tells", "Words to others on which revision is held here.", false, c.Tells),
		control.One("gw_settings_parts", "Parts of revisions taken.", false, c.Parts),
		control.One("gw_settings_fetched", "Revisions fetched whole.", false, c.Fetched),
		control.One("gw_settings_damaged", "Revisions whose sum was not theirs.", false, c.Damaged),
	}
	if r != nil && r.Leads {
		list = slices.Insert(list, 4, control.One("gw_settings_behind", "Nodes that do not have the latest revision in force, where the council is led.", true, int64(r.Of-r.InForce)))
	}
	return list
}
