package simadapter

import (
	"strconv"
	"time"
)

const nanosecondsPerMillisecond = 1e6

// beginAction starts an action line with the keyword and the instance's number.
func (n *instance) beginAction(keyword string) {
	n.adapter.actions = strconv.AppendInt(append(n.adapter.actions, keyword...), int64(n.number), 10)
}

func (n *instance) appendField(text string) {
	n.adapter.actions = append(append(n.adapter.actions, ' '), text...)
}

func (n *instance) endAction() { n.adapter.actions = append(n.adapter.actions, '\n') }

// writeAction writes an action line with one field after the instance's number.
func (n *instance) writeAction(keyword, value string) {
	n.beginAction(keyword)
	n.appendField(value)
	n.endAction()
}

// SendAttempt implements balance.Actions.
func (n *instance) SendAttempt(request, worker string) {
	n.beginAction(actionSendAttempt)
	n.appendField(request)
	n.appendField("0")
	n.appendField(worker)
	n.endAction()
}

// Reject implements balance.Actions.
func (n *instance) Reject(request string, wait time.Duration) {
	n.beginAction(actionReject)
	n.appendField(request)
	n.adapter.actions = strconv.AppendFloat(append(n.adapter.actions, ' '), float64(wait)/nanosecondsPerMillisecond, 'f', -1, 64)
	n.endAction()
}

// Fail implements balance.Actions.
func (n *instance) Fail(request string) { n.writeAction(actionFail, request) }

// CancelAttempt implements balance.Actions.
func (n *instance) CancelAttempt(request string, attempt int) {
	n.beginAction(actionCancelAttempt)
	n.appendField(request)
	n.adapter.actions = strconv.AppendInt(append(n.adapter.actions, ' '), int64(attempt), 10)
	n.endAction()
}

// CheckHealth implements balance.Actions.
func (n *instance) CheckHealth(worker string) { n.writeAction(actionCheckHealth, worker) }

// WatchEndpoints implements balance.Actions.
func (n *instance) WatchEndpoints() { n.writeAction(actionWatchEndpoints, "1") }

// FetchEndpoints implements balance.Actions.
func (n *instance) FetchEndpoints() {
	n.beginAction(actionFetchEndpoints)
	n.endAction()
}

// SetTimer implements balance.Actions.
func (n *instance) SetTimer(d time.Duration, request string) {
	n.beginAction(actionSetTimer)
	if request == "" {
		n.appendField(balancerTimer)
	} else {
		n.adapter.actions = append(append(n.adapter.actions, ' ', requestTimerPrefix), request...)
	}
	n.adapter.actions = strconv.AppendFloat(append(n.adapter.actions, ' '), float64(d)/nanosecondsPerMillisecond, 'f', -1, 64)
	n.endAction()
}
