package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/node"
)

const (
	settingsPollInterval = 100 * time.Millisecond
	maxShownLagging      = 8 // lagging nodes that are listed while a command waits
)

const millisecondsPerSecond = 1000

// settingsCommands distribute one set of settings to all nodes of the fleet.
type settingsCommands struct {
	Set    settingsSetCommand    `cmd:"" name:"set" help:"Have the settings of a file laid over those of every node. Ends with 1 if that is refused, 3 if it is not in force everywhere when --wait has run out."`
	Back   settingsBackCommand   `cmd:"" name:"back" help:"Bring the revision before the latest one back, as a new one."`
	Show   settingsShowCommand   `cmd:"" name:"show" help:"Print the fleet's settings in force at the node, in the form that set reads."`
	Status settingsStatusCommand `cmd:"" name:"status" help:"Show which revision is the latest, and which nodes do not have it in force, and why. Ends with 1 if there are any."`
}

// settingsChangeCommand is a call that creates a new version of the settings. Commands embed it.
type settingsChangeCommand struct {
	controlClient
	Base        string        `name:"base" placeholder:"ID" help:"The revision that it is to take the place of; left out: the latest that the node knows of."`
	RequestedBy string        `name:"by" env:"USER" help:"Who asks, for the history."`
	Reason      string        `name:"why" help:"For the history."`
	WaitTimeout time.Duration `name:"wait" placeholder:"TIME" help:"Wait until it is in force at all nodes that are there."`
	JSON        bool          `name:"json" help:"Print the result as JSON."`
}

// submit proposes a new version to the control plane, and waits until it is in force if WaitTimeout is set. If locations
// is not nil, errors of the node about a key are completed with file and line.
func (c settingsChangeCommand) submit(call node.SettingsCall, locations *config.KeyLocations) error {
	var err error
	if call.Base, err = c.baseVersion(); err != nil {
		return err
	}
	result, err := c.post("/-/fleet/settings", call)
	if err != nil {
		return locateError(err, locations)
	}
	progress := io.Writer(os.Stdout)
	if c.JSON {
		progress = os.Stderr
		err = json.NewEncoder(os.Stdout).Encode(result)
	} else {
		_, err = fmt.Println(result.Text)
	}
	if err != nil || c.WaitTimeout == 0 || result.Version == nil {
		return err
	}
	return c.awaitInForce(progress, *result.Version)
}

// baseVersion returns the version that the new one replaces: the one given by --base, or the latest that the node knows.
func (c settingsChangeCommand) baseVersion() (configversion.ID, error) {
	if c.Base != "" {
		id, err := configversion.ParseID(c.Base)
		if err != nil {
			return id, fmt.Errorf("base: %w", err)
		}
		return id, nil
	}
	view, err := c.settings()
	if err != nil {
		return configversion.ID{}, err
	}
	fmt.Fprintf(os.Stderr, "takes the place of revision %v\n", view.Report.Latest)
	return view.Report.Latest, nil
}

// awaitInForce waits until a version is in force at all nodes present in the fleet, and prints each change of that state.
// It fails with exitRefused if a later version replaces it, and with exitTimeout after WaitTimeout.
func (c settingsChangeCommand) awaitInForce(out io.Writer, id configversion.ID) error {
	printed, start := "", time.Now()
	for {
		state, done := "the leader of the council cannot be asked", false
		report, err := c.report()
		if err == nil && report.Settings != nil && report.Settings.FromLeader {
			settings := report.Settings
			if settings.Latest.Compare(id) > 0 {
				return exitError{fmt.Errorf("revision %v has taken its place before it was in force everywhere", settings.Latest), exitRefused}
			}
			state = fmt.Sprintf("in force at %d of %d nodes%s", settings.ActiveNodes, settings.TotalNodes, describeLagging(settings))
			everywhere := settings.TotalNodes > 0 && settings.ActiveNodes == settings.TotalNodes
			done = everywhere && settings.Latest == id
		}
		if state != printed {
			fmt.Fprintf(out, "%5.1fs  %s\n", time.Since(start).Seconds(), state)
			printed = state
		}
		if done {
			return nil
		}
		if time.Since(start) > c.WaitTimeout {
			return exitError{fmt.Errorf("not everywhere after %v: %s", c.WaitTimeout, state), exitTimeout}
		}
		time.Sleep(settingsPollInterval)
	}
}

// describeLagging lists the first nodes that do not have the latest version in force.
func describeLagging(s *controlplane.SettingsReport) string {
	var text strings.Builder
	named := s.Lagging[:min(len(s.Lagging), maxShownLagging)]
	for _, n := range named {
		fmt.Fprintf(&text, "; %s: %s", n.Node, n.Reason)
	}
	if more := s.TotalNodes - s.ActiveNodes - len(named); more > 0 {
		fmt.Fprintf(&text, "; and %d more", more)
	}
	return text.String()
}

// locateError adds file and line to a node's rejection of a key. Other errors come from the control plane and are returned
// unchanged.
func locateError(err error, locations *config.KeyLocations) error {
	var exit exitError
	aboutKey := strings.HasPrefix(err.Error(), "settings") || strings.HasPrefix(err.Error(), "balance:")
	if locations != nil && aboutKey && errors.As(err, &exit) && exit.code == exitRefused {
		return exitError{locations.Locate(exit.error), exitRefused}
	}
	return err
}

// settings returns the node's view of the fleet's settings.
func (c controlClient) settings() (*node.SettingsView, error) {
	text, err := c.get("/-/fleet/settings")
	if err != nil {
		return nil, err
	}
	var view node.SettingsView
	if err := json.Unmarshal(text, &view); err != nil || view.Report == nil {
		err = fmt.Errorf("%s: answered with what is no report of settings: %v", c.Control, err)
		return nil, exitError{err, exitUnavailable}
	}
	return &view, nil
}

// settingsSetCommand overlays settings on those of every node.
type settingsSetCommand struct {
	settingsChangeCommand
	File   string `arg:"" name:"file" type:"existingfile" help:"JSON: {\"settings\": {...}}."`
	DryRun bool   `name:"dry-run" help:"Check it against the node's own file, say what would change there, and change nothing."`
}

// Run submits the file's settings. If they are invalid or rejected, the error names file, line and key.
func (s settingsSetCommand) Run() error {
	text, locations, err := config.LoadOverlay(s.File, os.ReadFile)
	if err != nil {
		return err
	}
	call := node.SettingsCall{Operation: node.OperationSet, Settings: text, RequestedBy: s.RequestedBy, Reason: s.Reason}
	if !s.DryRun {
		return s.submit(call, locations)
	}
	call.Operation = node.OperationCheck
	result, err := s.post("/-/fleet/settings", call)
	if err != nil {
		return locateError(err, locations)
	}
	fmt.Println(result.Text)
	return nil
}

// settingsBackCommand restores the version before the latest one, as a new version.
type settingsBackCommand struct{ settingsChangeCommand }

// Run submits the call.
func (b settingsBackCommand) Run() error {
	return b.submit(node.SettingsCall{Operation: node.OperationBack, RequestedBy: b.RequestedBy, Reason: b.Reason}, nil)
}

// settingsShowCommand shows the fleet's settings in force at a node.
type settingsShowCommand struct {
	controlClient
	Complete bool `name:"whole" help:"With the node's own settings below them: all that the node goes by."`
}

// Run prints the settings in the form that settingsSetCommand reads.
func (s settingsShowCommand) Run() error {
	view, err := s.settings()
	if err != nil {
		return err
	}
	settings := view.Settings
	if s.Complete {
		settings = view.Complete
	}
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(`{"settings":`+string(settings)+`}`), "", "  "); err != nil {
		return exitError{err, exitUnavailable}
	}
	fmt.Fprintf(os.Stderr, "revision %v is in force at %s\n", view.Revision, view.Member)
	fmt.Println(text.String())
	return nil
}

// settingsStatusCommand shows at which nodes the latest version is in force.
type settingsStatusCommand struct{ statusCommand }

// Run prints the status. It fails with exitRefused if the latest version is not in force at all nodes.
func (s settingsStatusCommand) Run() error {
	report, err := s.report()
	if err != nil {
		return err
	}
	settings := report.Settings
	if settings == nil {
		return exitError{errors.New("the fleet's file of this node has no [settings]"), exitUnavailable}
	}
	if s.JSON {
		if err := printJSON(settings); err != nil {
			return err
		}
	} else {
		printSettings(os.Stdout, settings)
	}
	switch {
	case report.UnavailableReason != "":
		return exitError{errors.New("the council does not answer: " + report.UnavailableReason), exitRefused}
	case settings.FromLeader && settings.ActiveNodes < settings.TotalNodes:
		return exitError{errors.New("the latest revision is not in force everywhere"), exitRefused}
	}
	return nil
}

// printSettings prints the latest version and the nodes where it is not in force.
func printSettings(out io.Writer, s *controlplane.SettingsReport) {
	fmt.Fprintf(out, "latest revision as %s sees it: %v (before it: %v), by %q at %s: %s\n",
		s.Local.Node, s.Latest, s.Previous, s.Author, formatTime(s.CreatedAtMs), s.Reason)
	fmt.Fprintf(out, "%d bytes, SHA-256 %.16s; in force at %s: %v %s\n",
		s.PackedBytes, s.Checksum, s.Local.Node, s.Local.Active, s.Local.Reason)
	if !s.FromLeader {
		fmt.Fprintln(out, "where else it is in force only the leader of the council knows, which could not be asked")
		return
	}
	fmt.Fprintf(out, "in force at %d of %d nodes\n", s.ActiveNodes, s.TotalNodes)
	if len(s.Lagging) == 0 {
		return
	}
	printLagging(out, s.Lagging)
	if more := s.TotalNodes - s.ActiveNodes - len(s.Lagging); more > 0 {
		fmt.Fprintf(out, "and %d more\n", more)
	}
}

// printLagging prints a table row for each node that does not have the latest version in force.
func printLagging(out io.Writer, nodes []controlplane.NodeSettings) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "BEHIND\tHOLDS\tIN FORCE\tHEARD\tWHY")
	for _, n := range nodes {
		lastPoll := "never"
		if n.LastPollAgeMs >= 0 {
			lastPoll = formatSeconds(float64(n.LastPollAgeMs)/millisecondsPerSecond) + " ago"
		}
		fmt.Fprintf(table, "%s\t%v\t%v\t%s\t%s\n", n.Node, n.Latest, n.Active, lastPoll, n.Reason)
	}
}
