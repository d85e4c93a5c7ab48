// Package control serves the control address of the node, which operators and their tools use: readiness, metrics, drain and
// resume, and calls to the fleet's control plane. It implements the HTTP interface only; a Backend implements the calls. Files:
// server (from connections to calls), routes (the handlers of each path), conns (the limit of connections), metrics (the
// Prometheus text format).
package control

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"

	"swiftdeal/internal/config"
	"swiftdeal/internal/listen"
)

// Backend implements the calls. Its methods are called by many goroutines at once, and must not wait for anything that is delayed
// under load.
type Backend interface {
	// Ready reports whether this process accepts clients.
	Ready() bool
	// Metrics returns the node's metrics.
	Metrics() []Family
	// Drain makes the node refuse clients, and Resume makes it accept them again. They report whether that succeeded.
	Drain() bool
	Resume() bool
	// FleetView returns the node's view of its fleet, which is encoded as JSON; nil if it has none.
	FleetView() any
	// ControlPlaneCall executes a call to the fleet's control plane, one of the Call constants. It returns a status and the
	// answer: a string is sent as text, anything else as JSON. It may wait for the control plane as long as the limits allow.
	ControlPlaneCall(call string, query url.Values, body []byte) (status int, answer any)
}

// Server answers calls, one per connection. Its methods may be called by any goroutine.
type Server struct {
	limits     config.Limits
	backend    Backend
	httpServer *http.Server
	routes     map[string][]route // by path
	conns      connTracker
}

// New returns a server, which answers calls once Serve is called.
func New(l config.Limits, backend Backend, log *slog.Logger) *Server {
	s := &Server{limits: l, backend: backend}
	s.conns = connTracker{maxConns: l.ControlConns, closed: make(chan struct{}, 1)}
	s.routes = s.newRoutes()
	s.httpServer = &http.Server{
		Handler:                      s,
		ReadTimeout:                  l.ControlReadTimeout,
		WriteTimeout:                 l.ControlReadTimeout + l.ControlWriteTimeout,
		MaxHeaderBytes:               l.ControlHeaderBytes,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	s.httpServer.SetKeepAlivesEnabled(false)
	return s
}

// connKey is the context key for the *trackedConn of a call.
type connKey struct{}

// Serve answers calls until Close.
func (s *Server) Serve(ln net.Listener) error {
	limited := limitedListener{Listener: listen.New(ln, nil), conns: &s.conns, wait: s.limits.ControlWriteTimeout}
	if err := s.httpServer.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the listener and all connections.
func (s *Server) Close() { s.httpServer.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*trackedConn); ok {
		conn.markCallRead()
	}
	w.Header().Set("Connection", "close")
	routes := s.routes[r.URL.Path]
	if len(routes) == 0 {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	var methods []string
	for _, route := range routes {
		if route.method == r.Method {
			route.handle(w, r)
			return
		}
		methods = append(methods, route.method)
	}
	w.Header().Set("Allow", strings.Join(methods, ", "))
	http.Error(w, "this call comes by "+strings.Join(methods, " or "), http.StatusMethodNotAllowed)
}
