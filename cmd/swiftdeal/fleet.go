package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"swiftdeal/internal/membership/gossip"
)

// fleetCommands are the commands on a fleet, which are sent to a running node.
type fleetCommands struct {
	View viewCommand `cmd:"" name:"view" help:"Show the node's view of its fleet. Ends with 0 if it is whole, 1 if not, 2 if the node cannot be asked."`

	Drain            drainCommand            `cmd:"" name:"drain" help:"Ask the council for a node or worker to leave service; ends with 1 if that is refused."`
	Resume           resumeCommand           `cmd:"" name:"resume" help:"Have a node or worker come back, or take a request back."`
	WriteOff         writeOffCommand         `cmd:"" name:"write-off" help:"Say that a node or worker is gone for good: its permit counts no more."`
	Status           statusCommand           `cmd:"" name:"status" help:"Show who is out, why, since when and under which permit, and what requests wait for."`
	Release          releaseCommands         `cmd:"" name:"release" help:"Bring a version to the fleet step by step."`
	Settings         settingsCommands        `cmd:"" name:"settings" help:"Have one set of settings in force at all nodes."`
	SupervisorAction supervisorActionCommand `cmd:"" name:"duty" help:"For whoever runs the process: what may be done with it now."`
	Replace          replaceCommand          `cmd:"" name:"replace" help:"Have a node take another one's seat in the council."`
}

// viewCommand shows a node's view of its fleet.
type viewCommand struct {
	controlClient
	JSON bool `name:"json" help:"As JSON, as the control address has it."`
}

// Run prints the view. It fails with exitRefused if the view is not healthy.
func (v viewCommand) Run() error {
	text, err := v.get("/-/fleet")
	if err != nil {
		return err
	}
	var report gossip.Report
	if err := json.Unmarshal(text, &report); err != nil {
		return exitError{err, exitUnavailable}
	}
	if v.JSON {
		os.Stdout.Write(text)
	} else {
		printView(os.Stdout, &report)
	}
	if !report.Healthy {
		return exitError{errors.New("the view is not whole"), exitRefused}
	}
	return nil
}

// printView prints a view as text.
func printView(out io.Writer, r *gossip.Report) {
	fmt.Fprintf(out, "fleet %s as %s sees it; last change %s ago\n", r.Fleet, r.Member, formatSeconds(r.SinceLastChange))
	printMembers(out, r.Members)
	for _, c := range r.Conflicts {
		fmt.Fprintf(out, "two processes under one name: %s\n", c)
	}
	if r.Displaced {
		fmt.Fprintln(out, "another living process goes by this node's name: this one keeps out of the fleet")
	}
	if r.UnreachedSeeds > 0 {
		fmt.Fprintf(out, "%d of the configured seeds are no living member's\n", r.UnreachedSeeds)
	}
	if r.LocalHealth > 0 {
		fmt.Fprintf(out, "this node doubts itself (%d of 8): it is slow, or hears badly\n", r.LocalHealth)
	}
}

// printMembers prints a table row for each member.
func printMembers(out io.Writer, members []gossip.ReportMember) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "MEMBER\tSITE\tSTATUS\tSINCE\tSTATE\tINC\tVERSION\tOPEN\tSERVED/S\tREFUSED/S\tFAILED/S\tADDRESS\tSAID BY")
	for _, m := range members {
		name := m.Name
		if m.Self {
			name += " *"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%d\t%.1f\t%.1f\t%.1f\t%s\t%s\n",
			name, m.Site, m.Status, formatSeconds(m.SinceStatusChange), m.State, m.Incarnation, m.ProgramVersion, m.Load.InFlight,
			m.Load.ServedPerSecond, m.Load.RejectedPerSecond, m.Load.FailedPerSecond, m.Address, m.ReportedBy)
	}
}
