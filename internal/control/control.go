// Package control answers operators and their machines at a second address of the node: whether it takes clients, its
// figures, and the calls that send clients away and take them back. It knows the form of the calls and nothing of the
// node: what they mean is handed in.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/listen"
)

// Calls is what the calls ask of the node. They come from many goroutines at once and must not wait for anything
// that load can hold up.
type Calls interface {
	// Ready reports whether this process takes clients.
	Ready() bool
	// Figures returns the node's figures.
	Figures() []Family
	// Drain sends clients away, and Resume takes them back. They report whether that could be done.
	Drain() bool
	Resume() bool
	// Fleet returns the node's view of its fleet, to be shown as JSON; nil if it has none.
	Fleet() any
	// CouncilCall answers a call on the fleet's council with a status and what is to be shown as JSON, or a text. It may wait for
	// the council as long as the limits let it.
	CouncilCall(path string, query url.Values, body []byte) (status int, answer any)
}

// Server answers calls, one a connection.
type Server struct {
	limits config.Limits
	calls  Calls
	srv    *http.Server
	paths  map[string][]call // by method

	mu   sync.Mutex
	open []*caller // the oldest first
	room chan struct{}
}

// call is what one path does by one method.
type call struct {
	method string
	answer func(http.ResponseWriter, *http.Request)
}

// caller is a connection.
type caller struct {
	net.Conn
	s     *Server
	whole bool // its call has come; guarded by mu
}

// New returns a server that does not listen yet.
func New(l config.Limits, c Calls, log *slog.Logger) *Server {
	s := &Server{limits: l, calls: c, room: make(chan struct{}, 1)}
	s.paths = map[string][]call{
		"/-/ready":   {{http.MethodGet, func(w http.ResponseWriter, _ *http.Request) { word(w, c.Ready()) }}},
		"/-/metrics": {{http.MethodGet, s.metrics}},
		"/-/drain":   {{http.MethodPost, func(w http.ResponseWriter, _ *http.Request) { word(w, c.Drain()) }}},
		"/-/resume":  {{http.MethodPost, func(w http.ResponseWriter, _ *http.Request) { word(w, c.Resume()) }}},
		"/-/fleet":   {{http.MethodGet, s.fleet}},

		"/-/fleet/call":     {{http.MethodPost, s.council("call", l.ControlBody)}},
		"/-/fleet/council":  {{http.MethodGet, s.council("council", l.ControlBody)}},
		"/-/fleet/duty":     {{http.MethodGet, s.council("duty", l.ControlBody)}},
		"/-/fleet/did":      {{http.MethodPost, s.council("did", l.ControlBody)}},
		"/-/fleet/settings": {{http.MethodGet, s.council("settings", l.ControlBody)}, {http.MethodPost, s.council("settings-call", l.SettingsBody)}},
	}
	s.srv = &http.Server{
		Handler: s, ReadTimeout: l.ControlRead, WriteTimeout: l.ControlRead + l.ControlWrite, MaxHeaderBytes: l.ControlBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug), DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, callerKey{}, c) },
	}
	s.srv.SetKeepAlivesEnabled(false)
	return s
}

type callerKey struct{}

// Serve answers calls until Close.
func (s *Server) Serve(ln net.Listener) error {
	if err := s.srv.Serve(listener{listen.New(ln, nil), s}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends the listener and all connections.
func (s *Server) Close() { s.srv.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(callerKey{}).(*caller); ok {
		s.mu.Lock()
		c.whole = true
		s.mu.Unlock()
	}
	w.Header().Set("Connection", "close")
	p := s.paths[r.URL.Path]
	if len(p) == 0 {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	var methods []string
	for _, c := range p {
		if c.method == r.Method {
			c.answer(w, r)
			return
		}
		methods = append(methods, c.method)
	}
	w.Header().Set("Allow", strings.Join(methods, ", "))
	http.Error(w, "this call comes by "+strings.Join(methods, " or "), http.StatusMethodNotAllowed)
}

// word answers yes or no.
func word(w http.ResponseWriter, yes bool) {
	if !yes {
		http.Error(w, "no", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "yes\n")
}

// fleet answers with the node's view of its fleet.
func (s *Server) fleet(w http.ResponseWriter, _ *http.Request) {
	v := s.calls.Fleet()
	if v == nil {
		http.Error(w, "this node has no part in a fleet, or waits to have it", http.StatusNotFound)
		return
	}
	show(w, http.StatusOK, v)
}

// council answers a call on the fleet's council, whose body may be so long.
func (s *Server) council(path string, most int64) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		status, v := s.calls.CouncilCall(path, r.URL.Query(), body)
		if text, ok := v.(string); ok {
			http.Error(w, text, status)
			return
		}
		show(w, status, v)
	}
}

// show answers with JSON.
func show(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(text, '\n'))
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	var b bytes.Buffer
	Text(&b, s.calls.Figures())
	w.Header().Set("Content-Type", ContentType)
	w.Write(b.Bytes())
}

// listener bounds the connections.
type listener struct {
	net.Listener
	s *Server
}

// Accept implements net.Listener. Where all connections are in use, the oldest one whose call has not come whole gives
// way: guards against callers that say nothing, or half, and would shut out all others. Whole calls are answered at
// once, so that one of them makes room soon.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		if c := l.s.enter(conn); c != nil {
			return c, nil
		}
		timer := time.NewTimer(l.s.limits.ControlWrite)
		select {
		case <-l.s.room:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// enter gives a connection its place, or returns nil where there is none.
func (s *Server) enter(conn net.Conn) *caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; len(s.open) >= s.limits.ControlConns; i++ {
		if i == len(s.open) {
			return nil
		}
		if old := s.open[i]; !old.whole {
			s.open = append(s.open[:i], s.open[i+1:]...)
			old.Conn.Close()
		}
	}
	c := &caller{Conn: conn, s: s}
	s.open = append(s.open, c)
	return c
}

// CloseWrite ends sending. The server uses it so that an answer is not lost in a reset.
func (c *caller) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *caller) Close() error {
	c.s.mu.Lock()
	for i, o := range c.s.open {
		if o == c {
			c.s.open = append(c.s.open[:i], c.s.open[i+1:]...)
			break
		}
	}
	c.s.mu.Unlock()
	select {
	case c.s.room <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}
