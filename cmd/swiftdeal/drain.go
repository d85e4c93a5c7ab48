package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/disruption"
)

// targetCommand is a call to the control plane about one node or worker. Commands embed it.
type targetCommand struct {
	controlClient
	Kind        string `arg:"" name:"what" enum:"node,worker" help:"${enum}."`
	Name        string `arg:"" name:"name"`
	RequestedBy string `name:"by" env:"USER" help:"Who asks, for the history."`
	Reason      string `name:"why" help:"For the history."`
}

// kind returns whether the command is about a node or a worker.
func (c targetCommand) kind() disruption.SubjectKind {
	if c.Kind == "worker" {
		return disruption.KindWorker
	}
	return disruption.KindNode
}

// request returns the control plane request for an operation on the node or worker.
func (c targetCommand) request(operation controlplane.Operation) controlplane.OperatorRequest {
	return controlplane.OperatorRequest{
		Operation: operation, SubjectKind: c.kind(), Name: c.Name, RequestedBy: c.RequestedBy, Reason: c.Reason,
	}
}

// drainCommand takes a node or worker out of service.
type drainCommand struct {
	targetCommand
	Priority    int           `name:"priority" help:"Higher goes first."`
	WaitTimeout time.Duration `name:"wait" placeholder:"TIME" help:"Wait until it is out, a worker until it is quiet; shows what that waits for."`
}

// Run requests the drain. It fails with exitRefused if the request is rejected, and with exitTimeout if the drain is awaited
// and not complete in time.
func (d drainCommand) Run() error {
	request := d.request(controlplane.OperationDrain)
	request.Priority = d.Priority
	if err := d.callControlPlane(request); err != nil || d.WaitTimeout == 0 {
		return err
	}
	return d.waitUntil(d.WaitTimeout, d.progress)
}

// progress describes the state of the drain, and reports whether it is complete.
func (d drainCommand) progress(report *controlplane.Report) (state string, done bool) {
	for _, pending := range report.PendingRequests {
		if pending.Kind == d.kind() && pending.Name == d.Name {
			return "waits: " + pending.WaitReason, false
		}
	}
	for _, grant := range report.Grants {
		if grant.Kind != d.kind() || grant.Name != d.Name {
			continue
		}
		if grant.Kind == disruption.KindWorker && !grant.Quiesced {
			return "not quiet: " + strings.Join(grant.PendingNodes, ", ") + " may still send", false
		}
		return grant.Phase.String(), grant.Phase == disruption.PhaseConfirmed
	}
	return "not asked for", false
}

// resumeCommand returns a node or worker to service.
type resumeCommand struct {
	targetCommand
	WaitTimeout time.Duration `name:"wait" placeholder:"TIME" help:"Wait until it is back in service."`
}

// Run requests the return to service. It fails with the same exit codes as drainCommand.
func (d resumeCommand) Run() error {
	if err := d.callControlPlane(d.request(controlplane.OperationResume)); err != nil || d.WaitTimeout == 0 {
		return err
	}
	return d.waitUntil(d.WaitTimeout, d.progress)
}

// progress describes the state of the return to service, and reports whether it is complete.
func (d resumeCommand) progress(report *controlplane.Report) (state string, done bool) {
	for _, grant := range report.Grants {
		if grant.Kind == d.kind() && grant.Name == d.Name {
			return grant.Phase.String(), false
		}
	}
	return "back in service", true
}

// writeOffCommand removes a node or worker permanently.
type writeOffCommand struct{ targetCommand }

// Run declares the node or worker permanently gone.
func (d writeOffCommand) Run() error {
	return d.callControlPlane(d.request(controlplane.OperationWriteOff))
}

// replaceCommand replaces a node as replica of the control plane by another node.
type replaceCommand struct {
	controlClient
	Old string `arg:"" name:"old" help:"The node whose seat it is."`
	New string `arg:"" name:"new" help:"The node that takes it: a seat or a spare of the fleet's file."`
}

// Run requests the replacement.
func (d replaceCommand) Run() error {
	return d.callControlPlane(controlplane.OperatorRequest{Operation: controlplane.OperationReplace, Name: d.Old, Reason: d.New})
}

// supervisorActionCommand is for the supervisor of a node's process: it shows which action is allowed now.
type supervisorActionCommand struct {
	controlClient
	Node           string `name:"node" help:"Of another node, whose process cannot be asked; this one needs a seat."`
	ConfirmedGrant uint64 `name:"did" placeholder:"PERMIT" help:"Say that the process is about to be restarted under this permit."`
}

// Run prints the action that is allowed on the process now, or confirms that the process is about to be restarted under a
// grant.
func (d supervisorActionCommand) Run() error {
	if d.ConfirmedGrant != 0 {
		return d.confirm()
	}
	text, err := d.get("/-/fleet/duty?node=" + url.QueryEscape(d.Node))
	os.Stdout.Write(text)
	return err
}

// confirm announces that the process is about to be restarted. It fails with exitRefused if that is not allowed now.
func (d supervisorActionCommand) confirm() error {
	client := http.Client{Timeout: d.Timeout}
	response, err := client.Post(fmt.Sprintf("http://%s/-/fleet/did?permit=%d", d.Control, d.ConfirmedGrant), "", nil)
	if err != nil {
		return exitError{err, exitUnavailable}
	}
	defer response.Body.Close()
	io.Copy(os.Stdout, io.LimitReader(response.Body, maxSupervisorActionBytes))
	if response.StatusCode != http.StatusOK {
		return exitError{errors.New(response.Status), exitRefused}
	}
	return nil
}
