package node

import (
	"context"

	"swiftdeal/internal/config"
)

// Reload is the result of reading the configuration file again: the new configuration or an error.
type Reload struct {
	Config *config.Config
	Err    error
	Text   []byte // of the file; nil if it could not be read
}

// reloadLoop applies new configurations one after the other: reloaded files and versions of the fleet's settings.
func (n *Node) reloadLoop(ctx context.Context, reloads <-chan Reload) {
	for {
		select {
		case <-ctx.Done():
			return
		case reload := <-reloads:
			n.applyFile(reload)
		case <-n.fleetSettings.signal():
			n.applyPendingVersion()
		}
	}
}

// applyFile applies a reloaded file, overlaid with the fleet's settings, which a file cannot override.
func (n *Node) applyFile(reload Reload) {
	if reload.Err != nil {
		n.rejectFile("configuration rejected", reload, "error", reload.Err)
		return
	}
	to, version, err := n.fleetSettings.overlayOn(reload.Config)
	if err != nil {
		n.rejectFile("configuration rejected with the fleet's settings", reload, "error", err, "revision", version.String())
		return
	}
	if keys := n.config.NeedsRestart(to); len(keys) > 0 {
		n.log.Warn("changed keys need a restart", "keys", keys)
	}
	if err := n.applyConfig(to); err != nil {
		n.rejectFile("settings rejected", reload, "error", err)
		return
	}
	addresses := n.addresses.reload(to.Discovery.File)
	n.handover.notifyLinked()
	n.log.Info("configuration reloaded", "discovery", addresses.Preferred(), "classes", len(to.Settings.Balance.Classes))
	n.dispatcher.SetDiscoveryAddresses(addresses.List()) // even if unchanged: the operator may want a new request to discovery
	if refused := n.fleetSettings.fileApplied(reload.Config, to); refused != nil {
		n.applyVersion(refused)
		n.fleet.notifyReplica()
	}
	n.file.apply(reload.Config.FileText())
	n.reloadsOK.Add(1)
}

// rejectFile logs and counts a reloaded file that was not applied.
func (n *Node) rejectFile(message string, reload Reload, attributes ...any) {
	n.log.Error(message, attributes...)
	n.file.reject(reload.Text)
	n.reloadsFailed.Add(1)
}

// applyConfig applies the settings of a configuration, either all of them or none.
func (n *Node) applyConfig(to *config.Config) error {
	merged, indexes, err := n.settings.apply(to.Settings)
	if err != nil {
		return err
	}
	n.accounting.AddClasses(to.Settings.ClassNames())
	n.accounting.SetObjectives(to.Settings.Balance.Classes)
	n.admission.SetClasses(merged.Balance.Classes, indexes)
	n.applyLimits(to.Limits)
	return nil
}
