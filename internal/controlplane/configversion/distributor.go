package configversion

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Config configures a Distributor.
type Config struct {
	Name   string        // of the node
	Period time.Duration // of the membership protocol; 0 means one second
}

// Action is a task for the host: a SendAction, an ApplyAction or a LogAction. Actions are to be executed in order.
type Action interface {
	isAction()
}

// SendAction requests that the host send a datagram with this body to a node.
type SendAction struct {
	Recipient string
	Body      []byte
}

// ApplyAction requests that the host apply a version, completely or not at all, and report the outcome with Applied.
type ApplyAction struct {
	Version *Version
}

// LogAction requests that the host log a text.
type LogAction struct {
	Text string
}

func (SendAction) isAction()  {}
func (ApplyAction) isAction() {}
func (LogAction) isAction()   {}

// Stats has totals since the start.
type Stats struct {
	Announcements      int64 // sent
	ChunkRequests      int64 // sent
	ChunksReceived     int64
	ChunksSent         int64
	Fetched            int64 // bodies
	ChecksumMismatches int64 // fetched bodies that did not match the announced checksum
	Conflicts          int64 // announcements with the ID but not the checksum of the version held
}

// Distributor distributes versions on behalf of one node. It is not safe for concurrent use. Times are monotonic; a time before the
// latest one so far is replaced by that one.
type Distributor struct {
	config Config
	random *rand.Rand
	now    time.Duration

	latest       *Version // the latest version that this node has completely
	latestHeader Header
	activation   activation
	announcer    announcer
	fetches      []*fetch
	staged       []stagedBody
	quota        chunkQuota

	nextStepAt time.Duration
	peerSeen   bool // another node has sent an announcement
	actions    []Action
	stats      Stats
}

// activation has the outcomes of the versions that the host was asked to apply.
type activation struct {
	active       ID // zero if only the node's file is active
	rejected     ID // the latest that could not be applied, unless a later one was applied
	rejectReason string
}

// NewDistributor returns a Distributor that holds no version.
func NewDistributor(config Config, random *rand.Rand, now time.Duration) *Distributor {
	if config.Period == 0 {
		config.Period = time.Second
	}
	d := &Distributor{
		config: config, random: random, now: now,
		announcer: announcer{nextAt: now}, quota: chunkQuota{resetAt: now},
	}
	d.scheduleStep()
	return d
}

// TakeActions returns the actions that have been added since the last call, and clears them.
func (d *Distributor) TakeActions() []Action {
	actions := d.actions
	d.actions = nil
	return actions
}

// NextStepAt returns the time by which Step must be called.
func (d *Distributor) NextStepAt() time.Duration { return d.nextStepAt }

// Latest returns the latest version that this node has completely; nil if it has none.
func (d *Distributor) Latest() *Version { return d.latest }

// ActiveID returns the ID of the version applied on this node; zero if only the node's file is active.
func (d *Distributor) ActiveID() ID { return d.activation.active }

// Rejected returns the latest version that this node could not apply, and the reason; zero if a later one was applied.
func (d *Distributor) Rejected() (ID, string) {
	return d.activation.rejected, d.activation.rejectReason
}

// PeerSeen reports whether another node has sent an announcement since the start.
func (d *Distributor) PeerSeen() bool { return d.peerSeen }

// Stats returns the totals since the start.
func (d *Distributor) Stats() Stats { return d.stats }

// MemoryUsage returns the numbers of fetches and staged bodies and the size of all bodies held, for checks of the limits.
func (d *Distributor) MemoryUsage() (fetches, staged, bytes int) {
	for _, fetch := range d.fetches {
		bytes += len(fetch.data)
	}
	for _, body := range d.staged {
		bytes += len(body.body)
	}
	if d.latest != nil {
		bytes += len(d.latest.Body)
	}
	return len(d.fetches), len(d.staged), bytes
}

// Committed installs the control plane's current version. It is called on nodes that run a control plane replica.
func (d *Distributor) Committed(now time.Duration, version *Version) {
	d.advance(now)
	if version != nil {
		d.install(version)
	}
	d.scheduleStep()
}

// Applied records the outcome of an ApplyAction. An empty reason means that the version is active.
func (d *Distributor) Applied(now time.Duration, id ID, rejectReason string) {
	d.advance(now)
	if rejectReason != "" {
		d.activation.reject(id, rejectReason)
		return
	}
	d.activation.activate(id)
}

// reject records that a version could not be applied, unless the outcome of a later version is known already.
func (a *activation) reject(id ID, reason string) {
	if id.Compare(a.rejected) >= 0 && id.Compare(a.active) > 0 {
		a.rejected = id
		a.rejectReason = reason
	}
}

// activate records that a version is active, unless the outcome of a later version is known already.
func (a *activation) activate(id ID) {
	if id.Compare(a.active) <= 0 { // a later version is active already
		return
	}
	a.active = id
	if a.rejected.Compare(id) <= 0 {
		a.rejected = ID{}
		a.rejectReason = ""
	}
}

// Step does the work that is due. peers returns up to n random other nodes that are alive.
func (d *Distributor) Step(now time.Duration, peers func(n int) []string) {
	d.advance(now)
	d.quota.step(d.now, d.config.Period)
	d.staged = slices.DeleteFunc(d.staged, func(b stagedBody) bool { return d.now >= b.expiresAt })
	// A fetch is abandoned after a time without chunks because the only node that had the version may be gone. The fetch would keep
	// this node from fetching any earlier version, which may be the latest that a new group of the control plane knows. If a node
	// still has the version, that node announces it again.
	d.fetches = slices.DeleteFunc(d.fetches, func(f *fetch) bool { return d.now >= f.expiresAt })
	for _, fetch := range d.fetches {
		if d.now >= fetch.retryAt {
			d.requestChunks(fetch, true)
		}
	}
	if fanout := d.announcer.step(d.now, d.config.Period, d.random); fanout > 0 {
		for _, peer := range peers(fanout) {
			d.announce(peer, !d.peerSeen)
		}
	}
	d.scheduleStep()
}

// HandleMessage handles a message from the Distributor of another node. Malformed messages are ignored.
func (d *Distributor) HandleMessage(now time.Duration, sender string, body []byte) {
	d.advance(now)
	received, ok := decodeMessage(body)
	if !ok {
		return
	}
	switch m := received.(type) {
	case announcement:
		d.handleAnnouncement(sender, m)
	case chunkRequest:
		d.sendChunks(sender, m)
	case chunk:
		d.handleChunk(sender, m)
	}
	d.scheduleStep()
}

func (d *Distributor) advance(now time.Duration) { d.now = max(d.now, now) }

// scheduleStep sets the time at which Step is due next.
func (d *Distributor) scheduleStep() {
	d.nextStepAt = d.announcer.dueAt(d.now)
	for _, fetch := range d.fetches {
		d.nextStepAt = min(d.nextStepAt, fetch.retryAt)
	}
	d.nextStepAt = max(d.nextStepAt, d.now)
}

func (d *Distributor) send(recipient string, m message) {
	d.actions = append(d.actions, SendAction{Recipient: recipient, Body: encodeMessage(m)})
}

func (d *Distributor) logf(format string, args ...any) {
	d.actions = append(d.actions, LogAction{Text: fmt.Sprintf(format, args...)})
}

// install replaces the version held by a complete one, if that is later.
func (d *Distributor) install(version *Version) {
	if version.ID.Compare(d.latestHeader.ID) <= 0 {
		return
	}
	d.latest = version
	d.latestHeader = version.Header()
	d.fetches = slices.DeleteFunc(d.fetches, func(f *fetch) bool {
		return f.forVersion && f.header.ID.Compare(version.ID) <= 0
	})
	d.announcer.startBurst()
	d.actions = append(d.actions, ApplyAction{Version: version})
}
