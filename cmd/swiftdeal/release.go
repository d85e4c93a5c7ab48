package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"swiftdeal/internal/config"
	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/rollout"
)

// releaseCommands control the rollout of a program version to the fleet.
type releaseCommands struct {
	Start    releaseStartCommand    `cmd:"" name:"start" help:"Start the release that a plan (TOML) declares."`
	Status   releaseStatusCommand   `cmd:"" name:"status" help:"Show the release, its steps and their gates' figures."`
	Pause    releasePauseCommand    `cmd:"" name:"pause" help:"No further batch until go."`
	Continue releaseContinueCommand `cmd:"" name:"go" help:"Go on: after a pause, past a gate that waits, or once more after a halt."`
	Halt     releaseHaltCommand     `cmd:"" name:"halt" help:"No further exit; nodes that are drained and whole come back."`
	Rollback releaseRollbackCommand `cmd:"" name:"back" help:"Bring the nodes that have the version back to the earlier one."`
}

// releaseStartCommand starts a release.
type releaseStartCommand struct {
	controlClient
	Plan        string `arg:"" name:"plan" type:"existingfile"`
	RequestedBy string `name:"by" env:"USER" help:"Who asks, for the history."`
}

// Run reads the plan and submits it. If the plan is invalid, the error names file, line and key.
func (d releaseStartCommand) Run() error {
	plan, err := config.LoadPlan(d.Plan, os.ReadFile)
	if err != nil {
		return err
	}
	request := controlplane.OperatorRequest{Operation: controlplane.OperationStartRelease, Plan: plan, RequestedBy: d.RequestedBy}
	return d.callControlPlane(request)
}

// releaseOperationCommand is an operation on the open release. Commands embed it.
type releaseOperationCommand struct {
	controlClient
	RequestedBy string `name:"by" env:"USER" help:"Who asks, for the history."`
	Reason      string `name:"why" help:"For the history."`
}

// submit sends an operation on the open release to the control plane.
func (d releaseOperationCommand) submit(operation controlplane.Operation) error {
	return d.callControlPlane(controlplane.OperatorRequest{Operation: operation, RequestedBy: d.RequestedBy, Reason: d.Reason})
}

type (
	// releaseStatusCommand shows the release.
	releaseStatusCommand struct{ statusCommand }
	// releasePauseCommand prevents further batches from starting.
	releasePauseCommand struct{ releaseOperationCommand }
	// releaseContinueCommand continues the release.
	releaseContinueCommand struct{ releaseOperationCommand }
	// releaseHaltCommand prevents further nodes from leaving service.
	releaseHaltCommand struct{ releaseOperationCommand }
	// releaseRollbackCommand restores the earlier version.
	releaseRollbackCommand struct{ releaseOperationCommand }
)

// Run prints the release. It fails with exitRefused if the release needs attention.
func (d releaseStatusCommand) Run() error { return d.print(printRelease) }

// Run pauses the release.
func (d releasePauseCommand) Run() error { return d.submit(controlplane.OperationPauseRelease) }

// Run continues the release.
func (d releaseContinueCommand) Run() error { return d.submit(controlplane.OperationContinueRelease) }

// Run halts the release.
func (d releaseHaltCommand) Run() error { return d.submit(controlplane.OperationHaltRelease) }

// Run rolls the release back.
func (d releaseRollbackCommand) Run() error { return d.submit(controlplane.OperationRollBackRelease) }

// printRelease prints the release, its batches and the comparisons that its gate uses.
func printRelease(out io.Writer, r *controlplane.Report) {
	if r.ReleasePlan == nil {
		fmt.Fprintln(out, "no release")
		return
	}
	fmt.Fprintf(out, "release %s, version %s (back to %s): %s %s\n",
		r.ReleaseID, r.ReleasePlan.Version, r.ReleasePlan.FromVersion, r.ReleasePhaseText, r.ReleaseReason)
	if r.ReleaseWaitReason != "" {
		fmt.Fprintln(out, "waits for:", r.ReleaseWaitReason)
	}
	if r.ReleaseActionNeeded != "" {
		fmt.Fprintln(out, "needs:", r.ReleaseActionNeeded)
	}
	printBatches(out, r)
	if len(r.Comparisons) > 0 {
		printComparisons(out, r.Comparisons)
	}
}

// printBatches prints the nodes of each batch, with the current batch marked, and the verdicts on completed batches.
func printBatches(out io.Writer, r *controlplane.Report) {
	batches := map[int][]string{}
	for name, node := range r.ReleaseNodes {
		batches[node.Batch] = append(batches[node.Batch], name+" "+node.Status.String())
	}
	for number := 0; len(batches[number]) > 0; number++ {
		slices.Sort(batches[number])
		mark := " "
		if number == r.Batch {
			mark = ">"
		}
		fmt.Fprintf(out, "%s batch %d: %s\n", mark, number, strings.Join(batches[number], ", "))
	}
	for _, result := range r.BatchResults {
		fmt.Fprintf(out, "  %s batch %d: %s\n", formatTime(result.AtMs), result.Batch, result.Verdict)
	}
}

// printComparisons prints the comparisons by which the gate decides.
func printComparisons(out io.Writer, comparisons []rollout.Comparison) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "CLASS\tMEASURE\tRELEASED\tOF\tAGAINST\tSHARE\tOF\tCHANCE\tNEEDED")
	for _, c := range comparisons {
		fmt.Fprintf(table, "%s\t%s\t%.1f%%\t%d\t%s\t%.1f%%\t%d\t%.2g\t%d\n",
			c.Class, c.Measure, 100*c.Rate, c.Requests, c.Reference, 100*c.ReferenceRate, c.ReferenceRequests, c.PValue, c.RequestsNeeded)
	}
}
