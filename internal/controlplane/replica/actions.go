package replica

import (
	"log/slog"
	"time"

	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/membership/gossip"
)

// retryInterval is the time between attempts to persist state while persisting fails.
const retryInterval = 250 * time.Millisecond

// store stores the replica's persistent state.
type store interface {
	Save(*consensus.PersistentState) error
	Close() error
}

// persister saves state. While saving fails it retries at most once per retryInterval.
type persister struct {
	store   store // nil if state is not persisted
	log     *slog.Logger
	failing bool // whether the last attempt failed
	retryAt time.Duration
}

// save reports whether the state has been written to disk or does not need to be.
func (p *persister) save(now time.Duration, state *consensus.PersistentState) bool {
	if p.store == nil {
		return true
	}
	if p.failing && now < p.retryAt {
		return false
	}
	err := p.store.Save(state)
	if err != nil && !p.failing {
		p.log.Error("persisting state failed; replica sends nothing until it succeeds", "error", err)
	} else if err == nil && p.failing {
		p.log.Info("persisting state succeeds again")
	}
	p.failing = err != nil
	p.retryAt = now + retryInterval
	return err == nil
}

func (p *persister) close() {
	if p.store != nil {
		p.store.Close()
		p.store = nil
	}
}

// flush executes the agent's actions and returns the messages to send. If state cannot be persisted, the actions after it are held back,
// since other nodes must not learn of state that could be lost in a crash.
func (s *Service) flush(now time.Duration) (messages []gossip.Message) {
	s.actions = append(s.actions, s.agent.TakeActions()...)
	for len(s.actions) > 0 {
		switch action := s.actions[0].(type) {
		case controlplane.PersistAction:
			if !s.persister.save(now, action.State) {
				s.compactActions(action)
				return nil
			}
		case controlplane.SendAction:
			messages = append(messages, gossip.Message{Recipient: action.Recipient, Kind: action.Kind, Body: action.Payload})
		default:
			s.perform(action)
		}
		s.actions = s.actions[1:]
	}
	s.actions = nil
	s.notify()
	return messages
}

// compactActions bounds the actions held back by a failed persist. It drops messages, whose delivery is not guaranteed anyway, and merges
// state of the same voter in the same group, so that it is persisted in one write.
func (s *Service) compactActions(failed controlplane.PersistAction) {
	first := failed.State
	var kept []controlplane.Action
	for _, waiting := range s.actions[1:] {
		switch action := waiting.(type) {
		case controlplane.SendAction:
		case controlplane.PersistAction:
			if action.State.Group == first.Group && action.State.ID == first.ID {
				first = first.Merge(action.State)
			} else {
				kept = append(kept, action)
			}
		default:
			kept = append(kept, action)
		}
	}
	s.actions = append([]controlplane.Action{controlplane.PersistAction{State: first}}, kept...)
}

// perform executes an action on the node.
func (s *Service) perform(action controlplane.Action) {
	switch action := action.(type) {
	case controlplane.StartDrainAction:
		s.restartBegun = false
		s.log.Info("drain started", "permit", action.GrantID, "target", action.TargetVersion, "away", action.OutOfRotation)
		if action.OutOfRotation {
			s.host.Drain()
		}
	case controlplane.ResumeServiceAction:
		s.log.Info("service resumed", "permit", action.GrantID)
		s.host.Resume()
	case controlplane.DrainWorkersAction:
		s.log.Info("drained workers updated", "workers", action.Workers)
		s.config.Drainer.SetDrained(action.Workers)
	case controlplane.ApplySettingsAction:
		s.host.ApplySettings(action.Version)
	case controlplane.LogAction:
		s.log.Info("control plane event", "event", action.Message)
	}
}

// notify logs confirmed exits, delivers results to waiting operators, and reports the agent's state to the host.
func (s *Service) notify() {
	for _, exit := range s.agent.TakeConfirmedExits() {
		s.log.Info("exit confirmed", "of", exit.Subject.String(), "permit", exit.GrantID,
			"out", exit.Unavailable, "most", exit.Limit, "group", exit.Epoch.String())
	}
	for _, reply := range s.agent.TakeReplies() {
		if waiter := s.waiters[reply.Ticket]; waiter != nil {
			waiter <- reply.Result
			delete(s.waiters, reply.Ticket)
		}
	}
	s.host.SetSynced(s.agent.Synced())
	if distributor := s.agent.Distributor(); distributor != nil && !s.settingsNotified && settingsKnown(distributor) {
		s.settingsNotified = true
		s.host.SettingsKnown()
	}
}

// settingsKnown reports whether the node knows the fleet's settings: either its latest version is active or was rejected, or it has no
// version, is not fetching one, and has heard from a peer.
func settingsKnown(distributor *configversion.Distributor) bool {
	if latest := distributor.Latest(); latest != nil {
		rejected, _ := distributor.Rejected()
		return distributor.ActiveID() == latest.ID || rejected == latest.ID
	}
	fetches, _, _ := distributor.MemoryUsage()
	return distributor.PeerSeen() && fetches == 0
}
