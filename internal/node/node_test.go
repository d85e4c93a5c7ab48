package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/handover"
	"swiftdeal/internal/platform"
)

// testNode is a node with a stub worker and a stub discovery service, all on loopback.
type testNode struct {
	addr        string
	control     string        // the control address
	stop        func()        // what SIGTERM does
	ended       chan error    // receives the result of Serve
	jobs        chan string   // receives a line for each job at the worker
	canceled    chan struct{} // receives a value for each job that the node canceled
	results     chan string   // results that the worker answers with
	longResults chan string   // results for jobs whose ID begins with long

	node    *Node
	config  *config.Config
	text    string // the configuration file that config was loaded from
	reloads chan Reload
}

// startNode starts a node with changed limits. With a dir, another process may take over by connecting there.
func startNode(t *testing.T, change func(*config.Limits), dir ...string) *testNode {
	return startNodeOn(t, platform.Real(), change, dir...)
}

// startNodeOn is startNode on another machine.
func startNodeOn(t *testing.T, m platform.Machine, change func(*config.Limits), dir ...string) *testNode {
	return startNodeWith(t, m, func(text string) string { return text }, func(c *config.Config) {
		if change != nil {
			change(&c.Limits)
		}
	}, dir...)
}

// loadConfig loads the text of a configuration file.
func loadConfig(t *testing.T, text string) *config.Config {
	t.Helper()
	c, err := config.Load(
		func(k string) string { return map[string]string{"GW_CONFIG": "x"}[k] },
		func(string) ([]byte, error) { return []byte(text), nil })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// startNodeWith starts a node with an edited configuration file and a changed configuration.
func startNodeWith(t *testing.T, m platform.Machine, edit func(text string) string, change func(*config.Config), dir ...string) *testNode {
	w := &testNode{
		ended: make(chan error, 1), jobs: make(chan string, 9), canceled: make(chan struct{}, 9),
		results: make(chan string, 9), longResults: make(chan string, 9), reloads: make(chan Reload),
	}
	worker := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/status/load" {
			fmt.Fprint(rw, "TEXT x0=4.0, x1=4.0")
			return
		}
		body, _ := io.ReadAll(r.Body)
		id := r.Header.Get("X-Request-Id")
		w.jobs <- fmt.Sprint(r.Method, " ", r.RequestURI, " ", string(body), " ", r.Header.Get("Idempotency-Key"))
		fmt.Fprintf(rw, `{"id":%q,"state":"started"}`+"\n", id)
		http.NewResponseController(rw).Flush()
		done := w.results
		if strings.HasPrefix(id, "long") {
			done = w.longResults
		}
		select {
		case result := <-done:
			fmt.Fprintf(rw, `{"id":%q,"state":"done","result":%q}`+"\n", id, result)
		case <-r.Context().Done():
			w.canceled <- struct{}{}
		}
	}))
	t.Cleanup(worker.Close)
	endpoints := fmt.Sprintf(
		`{"version":1,"full":true,"servers":[{"id":"p","addr":%q,"zone":"a","cell":1,"state":"in_service"}]}`, worker.Listener.Addr())
	discovery := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(rw, endpoints)
		http.NewResponseController(rw).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(discovery.Close)
	t.Cleanup(discovery.CloseClientConnections)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf(`{"listen":%q,"discovery":%q,"seed":"1","known":{"version":0,"full":true,"servers":[]},"settings":{"az":"a","discovery":"on_request",`+
		`"familyInfo":{"reportX0":"free slots","reportX1":"free memory","tellsStart":true},"limits":{"cancelling":true,"probing":true,"maxAttempts":4,"dialTimeoutMs":60000},`+
		`"loadReport":{"fields":["x0","x1"],"how":"pull"},"profiles":[{"name":"job","aimMs":3600000,"deadlineMs":3600000,"effect":"retryable","worth":1},`+
		`{"name":"book","aimMs":3600000,"deadlineMs":3600000,"effect":"dedup","dedupScope":"all","repeatWindowMs":1000,"worth":1}]}}`,
		ln.Addr(), discovery.Listener.Addr())
	text = edit(text)
	c := loadConfig(t, text)
	c.Limits.DrainGrace, c.Limits.DrainAcceptPeriod, c.Limits.DrainIdleTimeout = 0, time.Millisecond, time.Millisecond
	c.Limits.DrainAnswerTimeout = time.Hour
	change(c)
	w.config, w.text = c, text
	ctx, stop := context.WithCancel(t.Context())
	w.addr, w.stop = ln.Addr().String(), stop
	controlListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.control = controlListener.Addr().String()
	ended := w.ended
	listeners := Listeners{Clients: ln, Control: controlListener, Reloads: w.reloads}
	for _, dir := range dir { // another process may take over
		if listeners.Successors, err = handover.Listen(dir, c.Listen, time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	if w.node, err = newNode(m, c, listeners, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	go func() { ended <- w.node.serve(ctx, listeners) }()
	for w.status("GET", "/ready") != http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	for w.node.connections.count() > 0 { // those of the checks would count towards limits
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		time.Sleep(time.Millisecond)
	}
	return w
}

// awaitIdle waits until a connection to the node is idle. The client may have its answer before.
func (w *testNode) awaitIdle() {
	for w.idleConns() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// idleConns returns the number of idle connections to the node.
func (w *testNode) idleConns() (count int) {
	tracker := w.node.connections
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for _, s := range tracker.open {
		if s.state == http.StateIdle {
			count++
		}
	}
	return count
}

// do sends a request to the node and returns the response and its body.
func (w *testNode) do(method, target, body string, headers ...string) (*http.Response, string, error) {
	r, err := http.NewRequest(method, "http://"+w.addr+target, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(r) // unlike a client, it follows no redirect
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// status sends a request and returns the status of the response, or 0 on an error.
func (w *testNode) status(method, target string, headers ...string) int {
	resp, _, err := w.do(method, target, "", headers...)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// A reload that changes the address of discovery takes effect at once, also while the node drains: the new address is
// asked for the changes since the known version, and the known workers go on serving.
func TestReload(t *testing.T) {
	w := startNode(t, func(l *config.Limits) { l.DrainIdleTimeout, l.DrainTimeout = time.Hour, time.Hour })
	asked := make(chan string, 9)
	for i := range 3 {
		discovery := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			asked <- fmt.Sprint(i, " ", r.RequestURI)
			fmt.Fprintf(rw, `{"version":%d,"servers":[]}`+"\n", i+2)
			http.NewResponseController(rw).Flush()
			<-r.Context().Done()
		}))
		t.Cleanup(discovery.Close)
		t.Cleanup(discovery.CloseClientConnections)
		to := *w.config
		to.Discovery = config.DiscoveryAddresses{File: discovery.Listener.Addr().String()}
		if i == 2 { // the open request keeps the node draining
			go w.status("POST", "/job", "X-Request-Id", "r")
			<-w.jobs
			w.stop()
		}
		w.reloads <- Reload{Config: &to}
		// The version that is asked for varies: a response may still be in flight when the next address is set.
		if got := <-asked; !strings.HasPrefix(got, fmt.Sprint(i, " /v1/endpoints?follow=1&since=")) || strings.HasSuffix(got, "=0") {
			t.Errorf("reload %d: asked %s", i, got)
		}
	}
	w.results <- "result"
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
}

// A client's request reaches the worker unchanged, including paths that http.ServeMux would clean, and the worker's result
// reaches the client.
func TestServe(t *testing.T) {
	w := startNode(t, nil)
	w.results <- "result"
	resp, text, err := w.do("POST", "/book//a/../%2Fb?sid=1&x=%20", "body",
		"X-Request-Id", "r", "X-Deadline", "3600", "Idempotency-Key", "k")
	if err != nil || resp.StatusCode != http.StatusOK || text != "result" {
		t.Fatalf("%v %q %v", resp, text, err)
	}
	if got := <-w.jobs; got != "POST /book//a/../%2Fb?sid=1&x=%20 body k" {
		t.Errorf("the worker got %q", got)
	}
	for _, c := range []struct {
		method, target string
		headers        []string
		want           int
	}{
		{"GET", "/job", nil, 405},
		{"POST", "/ready", []string{"X-Request-Id", "r"}, 404},
		{"POST", "/other", []string{"X-Request-Id", "r"}, 404},
		{"POST", "/job", nil, 400},
		{"POST", "/job", []string{"X-Request-Id", "r", "X-Deadline", "x"}, 400},
		{"POST", "/book", []string{"X-Request-Id", "r"}, 400},
	} {
		if got := w.status(c.method, c.target, c.headers...); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
	if resp, _, err := w.do("POST", "/job", strings.Repeat("x", 64<<10+1), "X-Request-Id", "r"); err != nil || resp.StatusCode != 413 {
		t.Errorf("too large: %v %v", resp, err)
	}
}

// The job of a client that closes or half-closes its connection is canceled, and the client receives no response.
func TestClientLeaves(t *testing.T) {
	w := startNode(t, nil)
	for _, half := range []bool{false, true} {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, "POST /job HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\nContent-Length: 4\r\n\r\nbody")
		<-w.jobs
		if half {
			c.(*net.TCPConn).CloseWrite()
		} else {
			c.Close()
		}
		<-w.canceled
		if half {
			if got, _ := io.ReadAll(c); len(got) != 0 {
				t.Errorf("answered %q", got)
			}
		}
	}
}

// A drain serves open requests and those that still arrive on open connections, closes the connections with their
// response, and then ends the node.
func TestDrain(t *testing.T) {
	w := startNode(t, func(l *config.Limits) { l.DrainIdleTimeout = time.Hour })
	open, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(open)
	ask := func(id string) *http.Response {
		fmt.Fprintf(open, "POST /job HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		<-w.jobs
		if id == "during" {
			w.stop()
			for c, err := net.Dial("tcp", w.addr); err == nil; c, err = net.Dial("tcp", w.addr) {
				c.Close() // until the listener is closed
			}
		}
		w.results <- id
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(resp.Body); err != nil || string(text) != id {
			t.Errorf("%s: %q %v", id, text, err)
		}
		return resp
	}
	if ask("before").Close || !ask("during").Close {
		t.Error("want Connection: close during the drain, and not before")
	}
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
}

// A draining node is not ready, and ends even if a client keeps an idle connection open.
func TestDrainIdle(t *testing.T) {
	w := startNode(t, func(l *config.Limits) { l.DrainAcceptPeriod = 50 * time.Millisecond })
	idle, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	w.stop()
	for w.status("GET", "/ready") == http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
	if got, _ := io.ReadAll(idle); len(got) != 0 {
		t.Errorf("got %q", got)
	}
}

// At the connection limit, a node evicts silent connections and then idle ones instead of rejecting a request. When all
// connections carry requests, the next request is answered with a rejection.
func TestConnectionLimit(t *testing.T) {
	w := startNode(t, func(l *config.Limits) { l.ClientConns, l.OverflowConns, l.NewConnGrace = 2, 1, 0 })
	dial := func() net.Conn {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	send := func(c net.Conn, id string) {
		fmt.Fprintf(c, "POST /job HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	}
	answer := func(c net.Conn, want int) *http.Response {
		t.Helper()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("%v %v, want %d", resp, err, want)
		}
		return resp
	}
	idle := dial()
	w.results <- "result"
	send(idle, "a")
	<-w.jobs
	answer(idle, 200)
	w.awaitIdle()
	var silent [9]net.Conn
	for i := range silent {
		silent[i] = dial()
	}
	first := dial()
	send(first, "b")
	<-w.jobs
	second := dial()
	send(second, "c")
	<-w.jobs
	for _, c := range append(silent[:], idle) {
		if got, _ := io.ReadAll(c); len(got) != 0 {
			t.Errorf("got %q", got)
		}
	}
	third := dial()
	send(third, "d")
	if resp := answer(third, 503); resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("beyond the limit: %v", resp)
	}
	w.results <- "result"
	w.results <- "result"
	answer(first, 200)
	answer(second, 200)
}

// connQueue is a listener that accepts the connections of a channel.
type connQueue chan net.Conn

// Accept implements net.Listener.
func (q connQueue) Accept() (net.Conn, error) { return <-q, nil }
func (q connQueue) Close() error              { return nil }
func (q connQueue) Addr() net.Addr            { return nil }

// When many connections arrive at once, one whose request has not been read yet is not evicted for later ones, which wait
// until there is room.
func TestNewConnGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, queue := newConnTracker(
			config.Limits{ClientConns: 1, NewConnGrace: time.Hour, IdleTimeout: 2 * time.Hour}, nil), make(connQueue, 2)
		ln := c.wrap(queue)
		serverSide, clientSide := net.Pipe()
		queue <- serverSide
		first, _ := ln.Accept()
		next, _ := net.Pipe()
		queue <- next
		accepted := make(chan net.Conn, 1)
		go func() { c, _ := ln.Accept(); accepted <- c }()
		for _, state := range []http.ConnState{http.StateNew, http.StateActive} {
			c.stateChanged(first, state)
			synctest.Wait()
			if len(accepted) > 0 {
				t.Errorf("accepted beyond the limit while the connection is %v", state)
			}
		}
		c.stateChanged(first, http.StateIdle)
		if conn := <-accepted; c.isOverflow(c.connContext(t.Context(), conn)) {
			t.Error("accepted as an overflow connection although there is room")
		}
		if _, err := clientSide.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the idle connection was not closed: %v", err)
		}
	})
}

// Malformed requests are answered with an error, or their connection closed, before any worker receives them: request
// smuggling in a body, duplicate headers of which a worker might read the other copy, and incomplete heads and bodies.
// The response does not wait for the body, and what follows on the connection is not read.
func TestBadClients(t *testing.T) {
	w := startNode(t, func(l *config.Limits) { l.HeadTimeout, l.BodyTimeout = 50*time.Millisecond, 50*time.Millisecond })
	const job, id, none = "POST /job HTTP/1.1\r\nHost: x\r\n", "X-Request-Id: r\r\n", "Content-Length: 0\r\n\r\n"
	hidden := "0\r\n\r\n" + job + "X-Request-Id: hidden\r\n" + none
	for _, c := range []struct{ text, want string }{
		{job + id + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden, "400"},
		{job + id + "transfer-encoding: chunked\r\nX-A: b\r\ncontent-length: 4\r\n\r\n" + hidden, "400"},
		{"POST /job HTTP/1.0\r\n" + id + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden, "400"},
		{"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" + job + id +
			"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden, "200 400"},
		{job + id + id + none, "400"},
		{job + id + "Connection: x-request-id\r\n" + none, "400"},
		{"POST /%6Aob HTTP/1.1\r\nHost: x\r\n" + id + none, "404"},
		{"POST http://x/job HTTP/1.1\r\nHost: x\r\n" + id + none, "400"},
		{job + id + "X-Deadline: 1\r\nX-Deadline: 2\r\n" + none, "400"},
		{job + id + "Content-Length: 60000000\r\n\r\n", "413"},
		{job + id + "Content-Length: 9000\r\n\r\nhalf", "400"},
		{job + "Content-Length: 9000\r\n\r\nhalf", "400"},
		{job + id + "Content-Length: -1\r\n\r\n", "400"},
		{job + strings.Repeat("X-A: b\r\n", 3000), "431"},
		{job, ""},
		{"", ""},
	} {
		conn, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, c.text)
		got, in := []string{}, bufio.NewReader(conn)
		for resp, err := http.ReadResponse(in, nil); err == nil; resp, err = http.ReadResponse(in, nil) {
			got = append(got, fmt.Sprint(resp.StatusCode))
			io.Copy(io.Discard, resp.Body)
		}
		if strings.Join(got, " ") != c.want {
			t.Errorf("%.150q: answered %q, want %s", c.text, got, c.want)
		}
		conn.Close()
	}
	if len(w.jobs) != 0 {
		t.Errorf("a worker got %q", <-w.jobs)
	}
	// A well-formed chunked request is served.
	w.results <- "result"
	conn, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, job+id+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 ||
		!strings.Contains(<-w.jobs, " body ") {
		t.Errorf("chunked: %v %v", resp, err)
	}
}
