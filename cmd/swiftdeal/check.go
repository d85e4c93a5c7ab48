package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"time"

	"swiftdeal/internal/config"
)

// checkCommand validates a configuration and describes its consequences, without running a node.
type checkCommand struct {
	Fleet   string `name:"fleet" placeholder:"FILE" help:"Check this file of a fleet too, and say what follows from it."`
	Running string `name:"running" placeholder:"FILE" type:"existingfile" help:"The file that a node runs with: says what a SIGHUP with the new one would change."`
}

// Run validates the files and prints their consequences. An error names the invalid key.
func (k checkCommand) Run() error {
	if k.Running != "" {
		return describeReload(os.Stdout, os.Getenv, os.ReadFile, k.Running)
	}
	c, err := config.Load(os.Getenv, os.ReadFile)
	if err != nil {
		return err
	}
	fmt.Printf("%s: listen %s, discovery %s, %d peers known, %d classes\n%v\n",
		c.Name, c.Listen, c.Discovery.Preferred(), len(c.CachedEndpoints.Endpoints), len(c.Settings.Balance.Classes), c.Limits)
	if k.Fleet == "" {
		return nil
	}
	fleet, err := config.LoadFleet(k.Fleet, os.ReadFile)
	if err != nil {
		return err
	}
	describeFleet(os.Stdout, c, fleet)
	return nil
}

// describeReload prints what a SIGHUP would change in a node that runs with the file running, and what needs a restart.
// It fails if the reload would be rejected.
func describeReload(out io.Writer, getenv func(string) string, readFile func(string) ([]byte, error), running string) error {
	old, err := config.Load(func(name string) string {
		if name == "GW_CONFIG" {
			return running
		}
		return getenv(name)
	}, readFile)
	if err != nil {
		return fmt.Errorf("the running file: %w", err)
	}
	c, err := config.Reload(getenv, readFile, old)
	if err != nil {
		return fmt.Errorf("a SIGHUP would change nothing: %w", err)
	}
	for _, change := range old.DescribeChanges(c) {
		fmt.Fprintln(out, "at SIGHUP:", change)
	}
	for _, key := range old.NeedsRestart(c) {
		fmt.Fprintln(out, "with a restart:", key)
	}
	return nil
}

// describeFleet prints the consequences of a fleet's file.
func describeFleet(out io.Writer, c *config.Config, f *config.Fleet) {
	name := f.MemberName
	if name == "" {
		name = c.Name
	}
	fmt.Fprintf(out, "fleet %s: member %s of site %q hears at %s, others reach it at %s; %d seeds, %d address ranges allowed (0: all)\n",
		f.Name, name, f.Site, f.Listen, f.Advertise, len(f.Seeds), len(f.Allow))
	fmt.Fprintf(out, "a probe every %v; members held: %d, the dead for %v\n", f.Period, f.MaxMembers, f.ForgetAfter)
	for _, members := range []int{3, 10, 100, 1000} {
		if members <= f.MaxMembers {
			describeDetection(out, members, f.Period)
		}
	}
	if f.ControlPlane != nil {
		describeControlPlane(out, name, f.ControlPlane)
	}
	if s := f.Settings; s != nil {
		fmt.Fprintf(out, "settings: laid over this node's own as the council decides; at its start it waits for them for %v at most\n",
			s.ReadyTimeout)
	}
	if c.Control == "" {
		fmt.Fprintln(out, "  no control address: the view cannot be looked at")
	}
}

// Estimates of how soon a crash is detected, in probe periods.
const (
	suspectedAfterTenths    = 13  // from the crash until the first member suspects it, in tenths of a period
	suspicionMultiplier     = 3   // the default of membership.Config.SuspicionMult
	knownBasePeriods        = 3.5 // from the crash until all members know, apart from the suspicion timeout
	knownPerSuspicionPeriod = 1.4 // added for each period of the shortest suspicion timeout
)

// describeDetection prints how soon a crash is detected in a fleet of the given size.
func describeDetection(out io.Writer, members int, period time.Duration) {
	suspectedAfter := period * suspectedAfterTenths / 10
	suspicionPeriods := suspicionMultiplier * math.Max(1, math.Log10(float64(members)))
	knownAfter := time.Duration(float64(period) * (knownBasePeriods + knownPerSuspicionPeriod*suspicionPeriods))
	fmt.Fprintf(out, "  with %4d members a crash is suspected after about %v and known to all after about %v\n",
		members, suspectedAfter.Round(time.Millisecond), knownAfter.Round(10*time.Millisecond))
}

// describeControlPlane prints a node's role in the control plane, and the disruption budgets.
func describeControlPlane(out io.Writer, name string, c *config.ControlPlane) {
	role := "asks the seats"
	if c.MayVote(name) {
		role = "may have a seat"
	}
	fmt.Fprintf(out, "council: seats %s, spares %s (after %v); %s %s\n",
		strings.Join(c.Replicas, ", "), strings.Join(c.Standbys, ", "), c.ReplaceAfter, name, role)
	b := c.Budgets
	fmt.Fprintf(out, "  out at once: nodes %d of the fleet, %d of a site, %d of a version; workers %d, %d, %d of a kind\n",
		b.Nodes, b.NodesPerSite, b.NodesPerVersion, b.Workers, b.WorkersPerSite, b.WorkersPerKind)
	if b.Nodes == 0 && b.Workers == 0 {
		fmt.Fprintln(out, "  nothing may leave service by a plan: budget.nodes and budget.workers are 0")
	}
}
