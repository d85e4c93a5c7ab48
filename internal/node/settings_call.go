package node

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/replica"
)

// Operations of a SettingsCall.
const (
	OperationSet   = "set"   // creates a new version from Settings
	OperationBack  = "back"  // creates a new version equal to the one before Base
	OperationCheck = "check" // describes what Settings would change at this node, without changing it
)

// SettingsCall is an operator's call on the fleet's settings.
type SettingsCall struct {
	Operation   string           `json:"op"`                 // OperationSet, OperationBack or OperationCheck
	Settings    json.RawMessage  `json:"settings,omitempty"` // of OperationSet and OperationCheck
	Base        configversion.ID `json:"base"`               // of OperationSet and OperationBack: the version to replace
	RequestedBy string           `json:"by,omitempty"`
	Reason      string           `json:"why,omitempty"`
}

// SettingsView describes the fleet's settings at a node.
type SettingsView struct {
	Member            string                       `json:"member"`
	Report            *controlplane.SettingsReport `json:"report"`
	UnavailableReason string                       `json:"trouble,omitempty"` // why the control plane is not available
	Revision          configversion.ID             `json:"revision"`          // the version in force
	Settings          json.RawMessage              `json:"settings"`          // the settings of that version
	Complete          json.RawMessage              `json:"whole"`             // effective: the node's own, overlaid with Settings
}

// noFleetSettings answers a call on fleet settings if the fleet's file has no [settings] section.
const noFleetSettings = "the fleet's file of this node has no [settings]"

// showSettings returns a SettingsView of this node.
func (f *fleetMember) showSettings() (status int, answer any) {
	if f.node.fleetSettings == nil {
		return http.StatusNotFound, noFleetSettings
	}
	state := f.node.fleetSettings.current()
	view := &SettingsView{
		Member: f.name(), Revision: state.version.Header().ID, Settings: state.settings, Complete: state.effective.SettingsText(),
	}
	if view.Settings == nil {
		view.Settings = json.RawMessage("{}")
	}
	if !f.withReplica(func(now time.Duration, service *replica.Service) {
		report := service.Report(now)
		view.Report, view.UnavailableReason = report.Settings, report.UnavailableReason
	}) {
		return http.StatusServiceUnavailable, replicaUnavailable
	}
	return http.StatusOK, view
}

// settingsCall executes a call on the fleet's settings.
func (f *fleetMember) settingsCall(body []byte) (status int, answer any) {
	if f.node.fleetSettings == nil {
		return http.StatusNotFound, noFleetSettings
	}
	var call SettingsCall
	if err := json.Unmarshal(body, &call); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	switch call.Operation {
	case OperationSet:
		return f.setSettings(call)
	case OperationCheck:
		return f.checkSettings(call)
	case OperationBack:
		request := controlplane.OperatorRequest{
			Operation: controlplane.OperationRevertSettings, BaseVersion: &call.Base,
			RequestedBy: call.RequestedBy, Reason: call.Reason, AtMs: time.Now().UnixMilli(),
		}
		return f.submitSettings(func(now time.Duration, service *replica.Service, reply chan controlplane.Result) {
			service.Submit(now, request, reply)
		})
	}
	return http.StatusBadRequest, "op is set, back or check"
}

// setSettings submits new settings to the control plane, after checking that they are valid at this node.
func (f *fleetMember) setSettings(call SettingsCall) (status int, answer any) {
	state := f.node.fleetSettings.current()
	if _, err := previewOverlay(state.nodeConfig, call); err != nil {
		return http.StatusOK, controlplane.Result{Text: err.Error()}
	}
	packed, err := pack(call)
	if err != nil {
		return http.StatusOK, controlplane.Result{Text: err.Error()}
	}
	return f.submitSettings(func(now time.Duration, service *replica.Service, reply chan controlplane.Result) {
		service.SubmitSettings(now, packed, call.Base, call.RequestedBy, call.Reason, reply)
	})
}

// checkSettings describes what settings would change at this node.
func (f *fleetMember) checkSettings(call SettingsCall) (status int, answer any) {
	state := f.node.fleetSettings.current()
	to, err := previewOverlay(state.nodeConfig, call)
	if err == nil {
		_, err = pack(call)
	}
	if err != nil {
		return http.StatusOK, controlplane.Result{Text: err.Error()}
	}
	changes := state.effective.DescribeChanges(to)
	if len(changes) == 0 {
		changes = []string{"nothing would change"}
	}
	return http.StatusOK, controlplane.Result{OK: true, Text: strings.Join(changes, "\n")}
}

// previewOverlay validates the settings of a call, and returns the node's own configuration overlaid with them.
func previewOverlay(nodeConfig *config.Config, call SettingsCall) (*config.Config, error) {
	if err := config.CheckOverlay(call.Settings); err != nil {
		return nil, err
	}
	return nodeConfig.WithOverlay(call.Settings)
}

// pack encodes the settings of a call in the form that nodes exchange.
func pack(call SettingsCall) ([]byte, error) {
	return configversion.Pack(configversion.Content{
		Settings: call.Settings, Author: call.RequestedBy, Reason: call.Reason, CreatedAtMs: time.Now().UnixMilli(),
	})
}

// submitSettings submits a call to the control plane and waits for the result.
func (f *fleetMember) submitSettings(
	submit func(now time.Duration, service *replica.Service, reply chan controlplane.Result),
) (status int, answer any) {
	reply := make(chan controlplane.Result, 1)
	if !f.withReplica(func(now time.Duration, service *replica.Service) { submit(now, service, reply) }) {
		return http.StatusServiceUnavailable, replicaUnavailable
	}
	return f.awaitReply(reply)
}
