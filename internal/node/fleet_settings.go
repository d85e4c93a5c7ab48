package node

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/replica"
	"swiftdeal/internal/membership/codec"
)

// fleetSettings holds the fleet-wide settings at this node. It connects the goroutine that owns the membership, which
// receives versions, to the goroutine that applies configurations; neither waits for the other. It is nil if the fleet's
// file has no [settings] section; some methods may be called on nil, as their comments say.
type fleetSettings struct {
	startedAt     time.Time
	readyTimeout  time.Duration
	known         atomic.Bool   // the fleet's settings are known, so the node can be ready
	pendingSignal chan struct{} // capacity 1: signaled when pending is set

	mu      sync.Mutex
	pending *pendingVersion           // the version to apply next; nil if none
	results []replica.AppliedSettings // results that the replica has not fetched yet
	state   settingsState
	refused *configversion.Version // the latest refused version, retried when the file changes; nil if none
}

// settingsState is the configuration in force and its parts.
type settingsState struct {
	nodeConfig *config.Config         // the node's own configuration, as last loaded
	effective  *config.Config         // the configuration in force: nodeConfig overlaid with version
	version    *configversion.Version // the version in force; nil if none
	settings   json.RawMessage        // the settings of version
}

// pendingVersion is a version that waits to be applied.
type pendingVersion struct {
	version *configversion.Version
	handled chan struct{} // closed once the version was applied, refused, or replaced by a later one
}

// newFleetSettings returns the fleet settings of a node, or nil if none are configured.
func newFleetSettings(c *config.Config) *fleetSettings {
	if c.Fleet == nil || c.Fleet.Settings == nil {
		return nil
	}
	return &fleetSettings{
		startedAt: time.Now(), readyTimeout: c.Fleet.Settings.ReadyTimeout, pendingSignal: make(chan struct{}, 1),
		state: settingsState{nodeConfig: c, effective: c},
	}
}

// awaitsFirst reports whether the node is not ready because it does not know the fleet's settings yet. The wait is
// bounded: a node that reaches no other node continues with the settings of its file. It may be called on nil.
func (s *fleetSettings) awaitsFirst() bool {
	return s != nil && !s.known.Load() && time.Since(s.startedAt) < s.readyTimeout
}

// signal returns the channel that signals a pending version. On nil it returns nil, which never becomes ready.
func (s *fleetSettings) signal() <-chan struct{} {
	if s == nil {
		return nil
	}
	return s.pendingSignal
}

// submit queues a version to be applied, in place of one that is still pending. It does not wait.
func (s *fleetSettings) submit(version *configversion.Version) *pendingVersion {
	submitted := &pendingVersion{version, make(chan struct{})}
	s.mu.Lock()
	if s.pending != nil {
		close(s.pending.handled)
	}
	s.pending = submitted
	s.mu.Unlock()
	select {
	case s.pendingSignal <- struct{}{}:
	default:
	}
	return submitted
}

// takePending removes and returns the pending version, or nil if there is none.
func (s *fleetSettings) takePending() *pendingVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.pending
	s.pending = nil
	return pending
}

// recordResult records the result of applying a version, for the replica to fetch. An empty reason means that the
// version is in force.
func (s *fleetSettings) recordResult(id configversion.ID, rejectReason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, replica.AppliedSettings{ID: id, RejectReason: rejectReason})
}

// takeResults removes and returns the results recorded so far.
func (s *fleetSettings) takeResults() []replica.AppliedSettings {
	s.mu.Lock()
	defer s.mu.Unlock()
	results := s.results
	s.results = nil
	return results
}

// current returns the current state.
func (s *fleetSettings) current() settingsState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// overlayOn returns the configuration of a file overlaid with the version in force, and the ID of that version. It may
// be called on nil.
func (s *fleetSettings) overlayOn(file *config.Config) (effective *config.Config, id configversion.ID, err error) {
	if s == nil {
		return file, id, nil
	}
	state := s.current()
	if state.version == nil {
		return file, id, nil
	}
	effective, err = file.WithOverlay(state.settings)
	return effective, state.version.ID, err
}

// fileApplied records that the configuration of a file was applied, and the resulting effective configuration. It returns
// the version that was refused before and is to be retried with the new file, or nil. It may be called on nil.
func (s *fleetSettings) fileApplied(file, effective *config.Config) (refused *configversion.Version) {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.nodeConfig, s.state.effective = file, effective
	return s.refused
}

// versionApplied records that a version is in force.
func (s *fleetSettings) versionApplied(version *configversion.Version, settings json.RawMessage, effective *config.Config) {
	s.mu.Lock()
	s.state.effective, s.state.version, s.state.settings = effective, version, settings
	s.refused = nil
	s.mu.Unlock()
	s.recordResult(version.ID, "")
}

// versionRefused records that a version could not be applied, and why.
func (s *fleetSettings) versionRefused(version *configversion.Version, reason error) {
	s.mu.Lock()
	s.refused = version
	s.mu.Unlock()
	s.recordResult(version.ID, reason.Error())
}

// exportVersion encodes the version in force for the successor process. It returns nil if there is none. It may be called
// on nil.
func (s *fleetSettings) exportVersion() []byte {
	if s == nil {
		return nil
	}
	state := s.current()
	if state.version == nil {
		return nil
	}
	return codec.Encode(state.version)
}

// importVersion applies the version that is in force in the predecessor process, and waits until that is done. Without
// it, clients that are taken over would be served by the settings of the file for a moment, in which a class may be
// missing that only the fleet's settings define. It may be called on nil.
func (s *fleetSettings) importVersion(ctx context.Context, encoded []byte, timeout time.Duration) {
	if s == nil || len(encoded) == 0 {
		return
	}
	version := &configversion.Version{}
	if codec.Decode(encoded, version) != nil {
		return
	}
	submitted := s.submit(version)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-submitted.handled:
		s.known.Store(true)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// applyPendingVersion applies the pending version, if there is one, and notifies the node's replica.
func (n *Node) applyPendingVersion() {
	pending := n.fleetSettings.takePending()
	if pending == nil {
		return
	}
	n.applyVersion(pending.version)
	close(pending.handled)
	n.fleet.notifyReplica()
}

// applyVersion applies a version of the fleet's settings, either entirely or not at all. It is called by the goroutine of
// reloadLoop.
func (n *Node) applyVersion(version *configversion.Version) {
	state := n.fleetSettings.current()
	if state.version != nil && version.ID.Compare(state.version.ID) <= 0 { // a restarted replica may be behind
		n.fleetSettings.recordResult(state.version.ID, "")
		return
	}
	before := state.version.Header().ID
	content, effective, err := n.applyOverlay(state.nodeConfig, version)
	if err != nil {
		n.log.Error("fleet settings rejected",
			"revision", version.ID.String(), "why", err, "in_force", before.String(), "by", content.Author)
		n.fleetSettings.versionRefused(version, err)
		return
	}
	n.fleetSettings.versionApplied(version, content.Settings, effective)
	n.log.Info("fleet settings in force",
		"revision", version.ID.String(), "was", before.String(), "by", content.Author, "why", content.Reason,
		"bytes", len(version.Body), "changes", strings.Join(state.effective.DescribeChanges(effective), "; "))
}

// applyOverlay overlays the node's own configuration with a version and applies the result.
func (n *Node) applyOverlay(nodeConfig *config.Config, version *configversion.Version) (
	content configversion.Content, effective *config.Config, err error,
) {
	content, err = configversion.Unpack(version.Body)
	if err != nil {
		return content, nil, err
	}
	effective, err = nodeConfig.WithOverlay(content.Settings)
	if err != nil {
		return content, nil, err
	}
	return content, effective, n.applyConfig(effective)
}
