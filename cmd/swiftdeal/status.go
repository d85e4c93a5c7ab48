package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/disruption"
)

// maxShownDecisions limits how many of the latest decisions are printed.
const maxShownDecisions = 8

// statusCommand shows the nodes and workers that are out of service. Commands that show another part of the same report
// embed it.
type statusCommand struct {
	controlClient
	JSON bool `name:"json" help:"As JSON."`
}

// Run prints the status. It fails with exitRefused if the state needs attention.
func (d statusCommand) Run() error { return d.print(printStatus) }

// print prints the control plane's report, as a table or as JSON. It fails with exitRefused if the control plane is
// unavailable or the release needs an operator's action.
func (d statusCommand) print(table func(io.Writer, *controlplane.Report)) error {
	report, err := d.report()
	if err != nil {
		return err
	}
	if d.JSON {
		if err := printJSON(report); err != nil {
			return err
		}
	} else {
		table(os.Stdout, report)
	}
	if report.UnavailableReason != "" {
		return exitError{errors.New("the council does not answer: " + report.UnavailableReason), exitRefused}
	}
	if report.ReleaseActionNeeded != "" {
		return exitError{errors.New("the release needs: " + report.ReleaseActionNeeded), exitRefused}
	}
	return nil
}

// printJSON prints a report as indented JSON.
func printJSON(report any) error {
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	return nil
}

// printStatus prints the nodes and workers that are out of service, and the latest decisions.
func printStatus(out io.Writer, r *controlplane.Report) {
	fmt.Fprintf(out, "council as %s sees it: group %v, led by %q, seats %s; %d nodes known, %d out\n",
		r.Member, r.Group, r.Leader, strings.Join(r.Voters, ", "), len(r.Members), r.UnavailableNodes)
	b := r.Budgets
	fmt.Fprintf(out, "out at once: nodes %d of the fleet, %d of a site, %d of a version; workers %d, %d, %d of a kind\n",
		b.Nodes, b.NodesPerSite, b.NodesPerVersion, b.Workers, b.WorkersPerSite, b.WorkersPerKind)
	printUnavailable(out, r)
	if r.ReleasePlan != nil {
		fmt.Fprintf(out, "release %s: %s %s\n", r.ReleaseID, r.ReleasePhaseText, r.ReleaseReason)
	}
	fmt.Fprintln(out, "last decisions:")
	for _, e := range r.History[max(0, len(r.History)-maxShownDecisions):] {
		fmt.Fprintf(out, "  %s %s %s %s %s\n", formatTime(e.AtMs), e.Event, e.Subject, e.RequestedBy, e.Reason)
	}
}

// printUnavailable prints a row for each grant, for each node or worker that is out without a grant, and for each pending
// request.
func printUnavailable(out io.Writer, r *controlplane.Report) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "OUT\tUNDER\tSTATE\tSINCE\tBY\tWHY\tWAITS FOR")
	for _, g := range r.Grants {
		state := g.Phase.String()
		if g.Kind == disruption.KindWorker && g.Quiesced {
			state = "quiet"
		}
		fmt.Fprintf(table, "%v\t%d\t%s\t%s\t%s\t%s\t%s\n",
			g.Subject, g.ID, state, formatTime(g.AtMs), g.RequestedBy, g.Reason, strings.Join(g.PendingNodes, ", "))
	}
	for _, o := range r.Observed.Nodes {
		fmt.Fprintf(table, "node %s\t-\t%s\t\t\t\t\n", o.Name, o.Reason)
	}
	for _, o := range r.Observed.Workers {
		fmt.Fprintf(table, "worker %s\t-\t%s\t\t\t\t\n", o.Name, o.Reason)
	}
	for _, p := range r.PendingRequests {
		fmt.Fprintf(table, "%v\tasked\twaits\t%s\t%s\t%s\t%s\n",
			p.Subject, formatTime(p.AtMs), p.RequestedBy, p.Reason, p.WaitReason)
	}
}
