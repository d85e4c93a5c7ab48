package simadapter

import "swiftdeal/balance"

// Keywords and timer names of the protocol that this package reads or writes.
const (
	eventBatchStart       = "frame"
	eventBatchEnd         = "go"
	eventStart            = "power_on"
	eventStop             = "power_off"
	eventEndpointList     = "snapshot_rows"
	endpointRow           = "entry"
	eventEndpointsChanged = "fleet"
	eventRequest          = "accept"
	eventConnected        = "opened"
	eventAttemptProgress  = "change"
	eventAttemptDone      = "report_back"
	eventClientGone       = "vanished"
	eventTimer            = "fired"
	eventHealthCheckDone  = "sampled"
	eventMessage          = "memo"

	actionBatchDone      = "ready "
	actionSendAttempt    = "forward "
	actionReject         = "busy "
	actionFail           = "abort "
	actionCancelAttempt  = "drop_attempt "
	actionCheckHealth    = "check "
	actionWatchEndpoints = "track "
	actionFetchEndpoints = "fetch "
	actionSetTimer       = "after "

	balancerTimer      = "w"
	requestTimerPrefix = 'r'
)

// Numeric codes of the protocol.
const (
	updateModeFailed = 3 // mode of an endpoint list update that failed; the other modes are the values of balance.EndpointUpdate
	flagRunTimeHint  = 1 // request flag: the run-time hint is valid
	progressStarted  = 1 // kinds of progress that a worker reports for a job
	progressAdvanced = 2
)

// resultByCode maps the protocol's outcome codes of attempts and health checks.
var resultByCode = map[int]balance.Result{
	100: balance.OK, 301: balance.WorkerError, 302: balance.RejectedBusy, 303: balance.TimedOut,
	304: balance.ConnectFailed, 305: balance.ConnectionReset, 306: balance.Canceled, 307: balance.Suppressed,
}
