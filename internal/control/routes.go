package control

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
)

// Calls to the fleet's control plane, as passed to Backend.ControlPlaneCall.
const (
	CallOperator    = "call"          // an operator's request
	CallStatus      = "council"       // the state of the control plane as this node knows it
	CallAction      = "duty"          // returns the supervisor action for a node
	CallActionDone  = "did"           // reports that a supervisor action is done
	CallSettings    = "settings"      // returns the fleet's settings
	CallSetSettings = "settings-call" // changes the fleet's settings
)

// route is the handler of one method of a path.
type route struct {
	method string
	handle func(http.ResponseWriter, *http.Request)
}

// newRoutes returns the routes of each path.
func (s *Server) newRoutes() map[string][]route {
	bodyBytes := s.limits.ControlBodyBytes
	return map[string][]route{
		"/-/ready":   {{http.MethodGet, yesOrNo(s.backend.Ready)}},
		"/-/metrics": {{http.MethodGet, s.serveMetrics}},
		"/-/drain":   {{http.MethodPost, yesOrNo(s.backend.Drain)}},
		"/-/resume":  {{http.MethodPost, yesOrNo(s.backend.Resume)}},
		"/-/fleet":   {{http.MethodGet, s.serveFleet}},

		"/-/fleet/call":    {{http.MethodPost, s.controlPlane(CallOperator, bodyBytes)}},
		"/-/fleet/council": {{http.MethodGet, s.controlPlane(CallStatus, bodyBytes)}},
		"/-/fleet/duty":    {{http.MethodGet, s.controlPlane(CallAction, bodyBytes)}},
		"/-/fleet/did":     {{http.MethodPost, s.controlPlane(CallActionDone, bodyBytes)}},
		"/-/fleet/settings": {
			{http.MethodGet, s.controlPlane(CallSettings, bodyBytes)},
			{http.MethodPost, s.controlPlane(CallSetSettings, s.limits.SettingsBodyBytes)},
		},
	}
}

// yesOrNo returns a handler that answers yes if call returns true, and no with status 503 otherwise.
func yesOrNo(call func() bool) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !call() {
			http.Error(w, "no", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "yes\n")
	}
}

// serveMetrics answers with the node's metrics.
func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var text bytes.Buffer
	WriteText(&text, s.backend.Metrics())
	w.Header().Set("Content-Type", ContentType)
	w.Write(text.Bytes())
}

// serveFleet answers with the node's view of its fleet, or with status 404 if it has none.
func (s *Server) serveFleet(w http.ResponseWriter, _ *http.Request) {
	view := s.backend.FleetView()
	if view == nil {
		http.Error(w, "this node has no part in a fleet, or waits to have it", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, view)
}

// controlPlane returns a handler that passes a call with a body of up to maxBytes to the backend.
func (s *Server) controlPlane(call string, maxBytes int64) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		status, answer := s.backend.ControlPlaneCall(call, r.URL.Query(), body)
		if text, ok := answer.(string); ok {
			http.Error(w, text, status)
			return
		}
		writeJSON(w, status, answer)
	}
}

// writeJSON answers with JSON.
func writeJSON(w http.ResponseWriter, status int, answer any) {
	text, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(text, '\n'))
}
