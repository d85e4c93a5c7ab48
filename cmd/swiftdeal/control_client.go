package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/membership/gossip"
)

// Exit codes of the commands that call a running node, besides 0 for success.
const (
	exitRefused     = 1 // the call was rejected, or the state needs attention
	exitUnavailable = 2 // the node could not be reached or gave no valid reply
	exitTimeout     = 3 // the awaited state was not reached in time
)

// Limits on the size of a node's replies, in bytes.
const (
	maxReportBytes           = 16 << 20
	maxResultBytes           = 1 << 20
	maxSupervisorActionBytes = 1 << 16
)

// pollInterval is the interval at which waitUntil polls a node.
const pollInterval = 200 * time.Millisecond

// exitError is an error with the exit code that the program ends with.
type exitError struct {
	error
	code int
}

// ExitCode implements kong.ExitCoder.
func (e exitError) ExitCode() int { return e.code }

// Unwrap returns the error without its exit code.
func (e exitError) Unwrap() error { return e.error }

// controlClient calls the control address of a running node. Commands embed it.
type controlClient struct {
	Control string        `name:"control" env:"GW_CONTROL" required:"" placeholder:"HOST:PORT" help:"The node's control address."`
	Timeout time.Duration `name:"patience" default:"5s" help:"For its answer."`
}

// get returns the response body of a GET request for a path of the control address.
func (c controlClient) get(path string) ([]byte, error) {
	client := http.Client{Timeout: c.Timeout}
	response, err := client.Get("http://" + c.Control + path)
	if err != nil {
		return nil, exitError{err, exitUnavailable}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return nil, exitError{err, exitUnavailable}
	}
	if response.StatusCode != http.StatusOK {
		return nil, exitError{fmt.Errorf("%s: %s: %s", c.Control, response.Status, body), exitUnavailable}
	}
	return body, nil
}

// post sends a call to the control plane through a path of the node's control address. A rejected call is an error too.
func (c controlClient) post(path string, call any) (result controlplane.Result, err error) {
	body, err := json.Marshal(call)
	if err != nil {
		return result, err
	}
	client := http.Client{Timeout: c.Timeout}
	response, err := client.Post("http://"+c.Control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return result, exitError{err, exitUnavailable}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResultBytes))
	if err != nil {
		return result, exitError{err, exitUnavailable}
	}
	if response.StatusCode != http.StatusOK {
		return result, exitError{errors.New(strings.TrimSpace(string(text))), exitUnavailable}
	}
	if err := json.Unmarshal(text, &result); err != nil {
		return result, exitError{err, exitUnavailable}
	}
	if !result.OK {
		return result, exitError{errors.New(result.Text), exitRefused}
	}
	return result, nil
}

// callControlPlane sends a request to the control plane through the node, and prints the result.
func (c controlClient) callControlPlane(request controlplane.OperatorRequest) error {
	result, err := c.post("/-/fleet/call", request)
	if err != nil {
		return err
	}
	fmt.Println(result.Text)
	return nil
}

// report returns the control plane's report from the most informed source that can be reached: the node itself if it is
// the leader, or is a replica and knows no leader or is out of contact; otherwise the leader, then the other replicas, by
// the control addresses in the node's view of the fleet. If none of them replies, it returns the node's own report.
func (c controlClient) report() (*controlplane.Report, error) {
	report, err := c.localReport()
	if err != nil {
		return nil, err
	}
	useLocalReport := report.IsReplica && (report.Leader == "" || report.UnavailableReason != "")
	if report.IsLeader || useLocalReport {
		return report, nil
	}
	text, err := c.get("/-/fleet")
	var view gossip.Report
	if err != nil || json.Unmarshal(text, &view) != nil {
		return report, nil
	}
	for _, name := range append([]string{report.Leader}, report.PollTargets...) {
		for _, member := range view.Members {
			if member.Name != name || member.ControlAddr == "" || member.Status != "alive" {
				continue
			}
			other := controlClient{Control: member.ControlAddr, Timeout: c.Timeout}
			if remote, err := other.localReport(); err == nil && remote.IsReplica {
				return remote, nil
			}
		}
	}
	return report, nil
}

// localReport returns the report of the node itself on the control plane.
func (c controlClient) localReport() (*controlplane.Report, error) {
	text, err := c.get("/-/fleet/council")
	if err != nil {
		return nil, err
	}
	report := &controlplane.Report{}
	if err := json.Unmarshal(text, report); err != nil {
		return nil, exitError{err, exitUnavailable}
	}
	return report, nil
}

// waitUntil polls the control plane's report until progress says that it is done, and prints each new state that progress
// returns. It fails with exitTimeout after timeout.
func (c controlClient) waitUntil(timeout time.Duration, progress func(*controlplane.Report) (state string, done bool)) error {
	printed := ""
	for end := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		report, err := c.report()
		state, done := "cannot be asked", false
		if err == nil {
			state, done = progress(report)
			if report.UnavailableReason != "" {
				state = "the council does not answer: " + report.UnavailableReason
			}
		}
		if state != printed {
			fmt.Println(state)
			printed = state
		}
		if done {
			return nil
		}
		if time.Now().After(end) {
			return exitError{fmt.Errorf("not yet after %v: %s", timeout, state), exitTimeout}
		}
	}
}

// formatSeconds formats a duration given in seconds.
func formatSeconds(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	if d >= time.Minute {
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Millisecond).String()
}

// formatTime formats a Unix time in milliseconds as a time of day in UTC; 0 is no time and yields "".
func formatTime(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format("15:04:05")
}
