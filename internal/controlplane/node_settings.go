package controlplane

import (
	"time"

	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/membership/codec"
)

// Node: it distributes committed versions of the settings, has the host apply them, and reports its own versions in each poll.

// maxReasonBytes limits the length of a human-readable text in a datagram.
const maxReasonBytes = 200

func truncateReason(text string) string { return text[:min(len(text), maxReasonBytes)] }

// Distributor returns the distributor of the fleet's settings, or nil if the fleet has no managed settings.
func (a *Agent) Distributor() *configversion.Distributor { return a.distributor }

// Settings returns the settings in this replica's state. The caller must not modify it.
func (a *Agent) Settings() *configversion.State { return &a.state.settings }

// SettingsApplied reports the outcome of an ApplySettingsAction. An empty rejectReason means that the version is active.
func (a *Agent) SettingsApplied(now time.Duration, id configversion.ID, rejectReason string) {
	a.now = max(a.now, now)
	if a.distributor != nil {
		a.distributor.Applied(a.now, id, rejectReason)
	}
}

// SubmitSettings submits a request to replace the version base by settings with the given body, which is in the form that
// configversion.Pack returns. TakeReplies returns the result with the same ticket.
func (a *Agent) SubmitSettings(now time.Duration, body []byte, base configversion.ID, author, reason string) (ticket uint64) {
	if a.distributor == nil {
		ticket = a.requests.newTicket()
		a.requests.reply(ticket, Result{Text: "this node's fleet file has no [settings]"})
		return ticket
	}
	checksum := a.distributor.Stage(now, body)
	return a.Submit(now, OperatorRequest{
		Operation:    OperationSetSettings,
		BaseVersion:  &base,
		RequestedBy:  truncateReason(author),
		Reason:       truncateReason(reason),
		SettingsBody: &BodyReference{Checksum: checksum[:], Size: len(body)},
	})
}

// localSettings returns this node's settings status, as reported in its polls.
func (a *Agent) localSettings() *settingsStatus {
	rejected, rejectReason := a.distributor.Rejected()
	return &settingsStatus{
		Latest:       versionID(a.distributor.Latest()),
		Active:       a.distributor.ActiveID(),
		Rejected:     rejected,
		RejectReason: truncateReason(rejectReason),
	}
}

// collectSettings passes the version that this replica has applied to the distributor, and takes over the distributor's actions.
func (a *Agent) collectSettings() {
	if current := a.state.settings.Current; current != nil {
		latest := a.distributor.Latest()
		if latest == nil || current.ID.Compare(latest.ID) > 0 {
			a.distributor.Committed(a.now, current)
		}
	}
	for _, action := range a.distributor.TakeActions() {
		switch action := action.(type) {
		case configversion.SendAction:
			a.send(action.Recipient, codec.KindConfigVersion, action.Body)
		case configversion.ApplyAction:
			a.emit(ApplySettingsAction{Version: action.Version})
		case configversion.LogAction:
			a.logf("%s", action.Text)
		}
	}
}
