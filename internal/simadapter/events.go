package simadapter

import (
	"fmt"
	"io"
	"strconv"

	"swiftdeal/balance"
	"swiftdeal/internal/settings"
)

// handlers maps the events of a running instance to their handlers. An event with a nil handler is ignored: the balancer
// does not use it.
var handlers = map[string]func(*instance, *line) error{
	eventStop:             (*instance).stop,
	eventEndpointsChanged: (*instance).updateEndpoints,
	eventRequest:          (*instance).submit,
	eventConnected:        nil,
	eventAttemptProgress:  (*instance).attemptProgress,
	eventAttemptDone:      (*instance).attemptDone,
	eventClientGone:       (*instance).clientGone,
	eventTimer:            (*instance).timerFired,
	eventHealthCheckDone:  (*instance).healthCheckDone,
	eventMessage:          nil,
}

// handleEvent parses one event and dispatches it.
func (a *adapter) handleEvent(event *line) error {
	kind := event.keyword()
	if kind == eventEndpointList {
		return a.readEndpointList(event)
	}
	handle, known := handlers[kind]
	if !known && kind != eventStart {
		return fmt.Errorf("unknown event %q", kind)
	}
	number := event.integer(1)
	if event.err != nil {
		return event.err
	}
	if kind == eventStart {
		return a.startInstance(number, event)
	}
	n := a.instances[number]
	if n == nil {
		return fmt.Errorf("event %q for instance %d, which is not running", kind, number)
	}
	if handle == nil {
		return nil
	}
	return handle(n, event)
}

// readEndpointList reads an endpoint list: its number, its count of entries, and one line for each entry.
func (a *adapter) readEndpointList(event *line) error {
	number, count := event.integer(1), event.integer(2)
	if event.err != nil {
		return event.err
	}
	if number < 0 || number >= len(a.endpointLists) || count < 0 {
		return fmt.Errorf("bad list %q", event.text)
	}
	list := []balance.Worker{} // a new slice, as balancers may still hold the previous one
	for range count {
		row, err := a.lines.next()
		if err != nil {
			return fmt.Errorf("list cut short: %w", io.ErrUnexpectedEOF)
		}
		worker, err := parseEndpoint(row)
		if err != nil {
			return err
		}
		list = append(list, worker)
	}
	a.endpointLists[number] = list
	return nil
}

// maxWorkerStatus is the greatest value of balance.WorkerStatus.
const maxWorkerStatus = 2

// parseEndpoint parses an entry of an endpoint list: cell, zone, weight, start time, kind, ID and status.
func parseEndpoint(row *line) (balance.Worker, error) {
	if row.keyword() != endpointRow {
		return balance.Worker{}, fmt.Errorf("want %q, got %q", endpointRow, row.text)
	}
	worker := balance.Worker{ID: row.workerID(6)}
	status := row.integer(7)
	if row.err == nil && (status < 0 || status > maxWorkerStatus) {
		row.fail("bad state %d", status)
	}
	worker.Status = balance.WorkerStatus(status)
	worker.Weight = row.float(3)
	worker.StartedAt = settings.Milliseconds(row.float(4))
	optional := func(i int) string {
		if row.absent(i) {
			return ""
		}
		return string(row.fields[i])
	}
	worker.Cell, worker.Zone, worker.Kind = optional(1), optional(2), optional(5)
	return worker, row.err
}

// startInstance creates a balancer from its number, its seed and its settings, which are the rest of the line as JSON.
func (a *adapter) startInstance(number int, event *line) error {
	if len(event.fields) < 4 {
		return fmt.Errorf("too few values in %q", event.text)
	}
	seed, err := parseSeed(event.fields[2])
	if err != nil {
		return err
	}
	// Three fields precede the settings, each followed by a space.
	settingsOffset := len(event.fields[0]) + len(event.fields[1]) + len(event.fields[2]) + len("   ")
	parsed, err := settings.Parse(event.text[settingsOffset:])
	if err != nil {
		return err
	}
	n := &instance{adapter: a, number: number, reportLayout: parsed.ReportLayout, classes: map[string]int{}}
	for i, class := range parsed.Balance.Classes {
		n.classes[class.Name] = i
	}
	n.balancer, err = balance.New(parsed.Balance, seed, n)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	a.instances[number] = n
	return nil
}

// parseSeed parses a 64-bit seed, signed or unsigned.
func parseSeed(text []byte) (uint64, error) {
	if seed, err := strconv.ParseUint(string(text), 10, 64); err == nil {
		return seed, nil
	}
	signed, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("bad seed %q", text)
	}
	return uint64(signed), nil
}

// stop removes the instance.
func (n *instance) stop(*line) error {
	delete(n.adapter.instances, n.number)
	return nil
}

// updateEndpoints handles an update of the endpoint list: its mode and the number of the list. A failed update names no list.
func (n *instance) updateEndpoints(event *line) error {
	mode := event.integer(2)
	if event.err != nil {
		return event.err
	}
	if mode == updateModeFailed {
		n.balancer.UpdateEndpoints(n.adapter.now, balance.FailedUpdate, nil)
		return nil
	}
	number := event.integer(4)
	if event.err != nil {
		return event.err
	}
	if mode < 0 || mode > updateModeFailed || number < 0 || number >= len(n.adapter.endpointLists) {
		return fmt.Errorf("bad list event %q", event.text)
	}
	n.balancer.UpdateEndpoints(n.adapter.now, balance.EndpointUpdate(mode), n.adapter.endpointLists[number])
	return nil
}

// submit handles a new request: ID, slots, flags, class, client timeout, run-time hint and memory.
func (n *instance) submit(event *line) error {
	request := balance.Request{ID: event.required(2)}
	if event.err != nil {
		return event.err
	}
	known := false
	if len(event.fields) > 5 {
		request.Class, known = n.classes[string(event.fields[5])]
	}
	if !known {
		return fmt.Errorf("unknown class in %q", event.text)
	}
	request.Slots = event.float(3)
	request.ClientTimeout = settings.Milliseconds(event.float(7))
	hint := settings.Milliseconds(event.float(9))
	request.Memory = event.float(10)
	if int(event.float(4))&flagRunTimeHint != 0 {
		request.RunTimeHint = hint
	}
	if event.err != nil {
		return event.err
	}
	n.balancer.Submit(n.adapter.now, request)
	return nil
}

// attemptProgress handles a worker's progress message about a job: request, kind, attempt and the completed share.
func (n *instance) attemptProgress(event *line) error {
	id, kind, attempt, share := event.required(2), event.integer(3), event.integer(4), event.float(6)
	if event.err != nil {
		return event.err
	}
	switch kind {
	case progressStarted:
		n.balancer.AttemptProgress(n.adapter.now, id, attempt, balance.JobStarted, 0)
	case progressAdvanced:
		n.balancer.AttemptProgress(n.adapter.now, id, attempt, balance.JobAdvanced, share)
	}
	return nil
}

// attemptDone handles the outcome of an attempt: request, worker, elapsed time, whether it is final, attempt number, result
// and load report.
func (n *instance) attemptDone(event *line) error {
	outcome := balance.Outcome{
		Request: event.required(2),
		Worker:  event.workerID(3),
		Elapsed: settings.Milliseconds(event.float(4)),
		Attempt: event.integer(7),
		Result:  event.result(8),
		Final:   !event.absent(6) && event.fields[6][0] == '1',
	}
	outcome.Report = n.parseReport(event, 9)
	if event.err != nil {
		return event.err
	}
	n.balancer.AttemptDone(n.adapter.now, outcome)
	return nil
}

// healthCheckDone handles the outcome of a health check: result, worker and load report.
func (n *instance) healthCheckDone(event *line) error {
	result, worker, report := event.result(2), event.workerID(4), n.parseReport(event, 5)
	if event.err != nil {
		return event.err
	}
	n.balancer.HealthCheckDone(n.adapter.now, worker, result, report)
	return nil
}

// parseReport parses the load report in field i; it returns nil if there is none. The report is valid until the next call.
func (n *instance) parseReport(event *line, i int) *balance.LoadReport {
	if event.absent(i) {
		return nil
	}
	var err error
	n.report, err = n.reportLayout.ParseRow(event.fields[i])
	if err != nil && event.err == nil {
		event.err = err
	}
	return &n.report
}

// clientGone handles the disconnection of a request's client.
func (n *instance) clientGone(event *line) error {
	id := event.required(2)
	if event.err != nil {
		return event.err
	}
	n.balancer.ClientGone(n.adapter.now, id)
	return nil
}

// timerFired handles an expired timer, which is named after its request or is the balancer's own.
func (n *instance) timerFired(event *line) error {
	name := event.required(2)
	if event.err != nil {
		return event.err
	}
	request := ""
	if name[0] == requestTimerPrefix {
		request = name[1:]
	}
	n.balancer.TimerFired(n.adapter.now, request)
	return nil
}
