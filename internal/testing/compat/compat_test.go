package compat

import (
	"archive/tar"
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// baseRevisions are the builds with which this one must support a handover in both directions: the first release with the
// protocol, and the last build whose processes do not tell each other what they are told.
var baseRevisions = []string{"33b4d57", "b1deed6"}

// stepTimeout is the time limit of each step. It is generous, so that only a real failure reaches it.
const stepTimeout = 20 * time.Second

// buildProgram builds the program from the sources in a folder and returns the path of the binary.
func buildProgram(t *testing.T, sources, name string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), name)
	build := exec.Command("go", "build", "-o", program, "./cmd/swiftdeal")
	build.Dir = sources
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building %s: %v\n%s", name, err, output)
	}
	return program
}

// repositoryRoot returns the folder of the module's go.mod.
func repositoryRoot(t *testing.T) string {
	t.Helper()
	path, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		t.Fatal(err)
	}
	return filepath.Dir(strings.TrimSpace(string(path)))
}

// baseSources unpacks the sources of a base revision into a folder. It skips the test if the checkout does not have that revision;
// the formats that processes exchange are then checked only by the golden files of the packages.
func baseSources(t *testing.T, root, revision string) string {
	t.Helper()
	find := exec.Command("git", "cat-file", "-e", revision+"^{commit}")
	find.Dir = root
	if output, err := find.CombinedOutput(); err != nil {
		t.Skipf("no revision %s in this checkout (a shallow clone, or none of git): %v %s", revision, err, output)
	}
	archive := exec.Command("git", "archive", revision, "go.mod", "go.sum", "balance", "cmd", "internal")
	archive.Dir = root
	packed, err := archive.Output()
	if err != nil {
		t.Fatalf("git archive: %v", err)
	}
	folder := t.TempDir()
	for reader := tar.NewReader(bytes.NewReader(packed)); ; {
		entry, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return folder
		}
		if err != nil {
			t.Fatal(err)
		}
		if entry.Typeflag != tar.TypeReg {
			continue
		}
		path := filepath.Join(folder, filepath.FromSlash(entry.Name))
		text, err := io.ReadAll(reader)
		if err == nil {
			err = os.MkdirAll(filepath.Dir(path), 0o755)
		}
		if err == nil {
			err = os.WriteFile(path, text, 0o644)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// worker is a fake worker with one slot. It holds each request until the test releases the request's id, and counts the attempts of
// each request.
type worker struct {
	*httptest.Server
	mu        sync.Mutex
	running   int
	attempts  map[string]int
	requests  map[string]string        // the last attempt's method, URI, extra header and body
	deadlines map[string]time.Duration // the last attempt's deadline
	release   map[string]chan struct{}
}

func startWorker(t *testing.T) *worker {
	w := &worker{
		attempts: map[string]int{}, requests: map[string]string{}, deadlines: map[string]time.Duration{},
		release: map[string]chan struct{}{},
	}
	w.Server = httptest.NewServer(http.HandlerFunc(w.serve))
	t.Cleanup(w.Close)
	t.Cleanup(w.CloseClientConnections)
	return w
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/status/load" {
		w.mu.Lock()
		defer w.mu.Unlock()
		fmt.Fprintf(rw, "TEXT x0=%d.0, x1=4.0", 1-w.running)
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")
	seconds, _ := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
	w.mu.Lock()
	w.running++
	w.attempts[id]++
	w.requests[id] = fmt.Sprintf("%s %s %s %s", r.Method, r.RequestURI, r.Header.Get("X-Extra"), body)
	w.deadlines[id] = time.Duration(seconds * float64(time.Second))
	w.mu.Unlock()
	fmt.Fprintf(rw, `{"id":%q,"state":"started"}`+"\n", id)
	http.NewResponseController(rw).Flush()
	select {
	case <-w.releaseChannel(id):
	case <-r.Context().Done():
	}
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	fmt.Fprintf(rw, `{"id":%q,"state":"done","result":%q}`+"\n", id, "result of "+id)
}

// releaseChannel returns the channel that the test closes to have the request answered.
func (w *worker) releaseChannel(id string) chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.release[id] == nil {
		w.release[id] = make(chan struct{})
	}
	return w.release[id]
}

func (w *worker) attemptsOf(id string) (attempts int, deadline time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.attempts[id], w.deadlines[id]
}

// startDiscovery serves the endpoint list to the first process only, since the successor must get the list in the handover.
func startDiscovery(t *testing.T, endpoint string) string {
	var watched sync.Once
	discovery := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		first := false
		watched.Do(func() { first = true })
		if !first {
			http.Error(rw, "no list", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintf(rw, `{"version":1,"full":true,"servers":[{"id":"w","addr":%q,"zone":"a","cell":1,"state":"in_service"}]}`+"\n",
			endpoint)
		http.NewResponseController(rw).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(discovery.Close)
	t.Cleanup(discovery.CloseClientConnections)
	return discovery.Listener.Addr().String()
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// process is a running process of the program.
type process struct {
	name    string
	control string // address of its control interface
	command *exec.Cmd
	log     bytes.Buffer
	ended   chan error
}

// startProcess starts the program and waits until it is ready. The kernel kills it if the test's thread exits first.
func startProcess(t *testing.T, name, program, configuration, folder string, environment ...string) *process {
	t.Helper()
	p := launchProcess(t, name, program, configuration, folder, environment...)
	eventually(t, name+" is ready", p.ready)
	return p
}

// launchProcess starts the program.
func launchProcess(t *testing.T, name, program, configuration, folder string, environment ...string) *process {
	t.Helper()
	p := &process{name: name, control: freeAddress(t), ended: make(chan error, 1)}
	p.command = exec.Command(program, "serve")
	p.command.Env = append(os.Environ(), "GW_CONFIG="+configuration, "GW_CONTROL="+p.control, "TMPDIR="+folder)
	p.command.Env = append(p.command.Env, environment...)
	p.command.Stderr = &p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.command.Wait() }()
	t.Cleanup(func() {
		p.command.Process.Kill()
		if t.Failed() {
			<-p.ended
			t.Logf("log of %s:\n%s", name, p.log.String())
		}
	})
	return p
}

// ready reports whether the process says that it is ready.
func (p *process) ready() bool {
	answer, err := http.Get("http://" + p.control + "/-/ready")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// shutDown ends the process with SIGTERM, as an operator does, and expects the exit code 0.
func (p *process) shutDown(t *testing.T) {
	t.Helper()
	p.command.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		p.ended <- err
		if err != nil {
			t.Errorf("%s: %v", p.name, err)
		}
	case <-time.After(stepTimeout):
		t.Errorf("%s does not exit after SIGTERM", p.name)
	}
}

// expectMetrics waits until the metrics of the process contain all the given lines.
func (p *process) expectMetrics(t *testing.T, lines ...string) {
	t.Helper()
	eventually(t, p.name+" reports "+strings.Join(lines, ", "), func() bool {
		answer, err := http.Get("http://" + p.control + "/-/metrics")
		if err != nil {
			return false
		}
		defer answer.Body.Close()
		text, _ := io.ReadAll(answer.Body)
		for _, line := range lines {
			if !strings.Contains(string(text), "\n"+line+"\n") {
				return false
			}
		}
		return true
	})
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(stepTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", stepTimeout, what)
		}
	}
}

// client is a client's keep-alive connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetReadDeadline(time.Now().Add(2 * stepTimeout))
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) send(id string) {
	const headers = "Host: x\r\nX-Request-Id: %s\r\nX-Deadline: 3600\r\nX-Extra: extra\r\nContent-Length: 4\r\n"
	fmt.Fprintf(c, "POST /job?of=%s HTTP/1.1\r\n"+headers+"\r\nbody", id, id)
}

// expectResult reads one response, which must hold the request's result and keep the connection open.
func (c *client) expectResult(t *testing.T, id string) {
	t.Helper()
	answer, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	text, err := io.ReadAll(answer.Body)
	if answer.StatusCode != http.StatusOK || answer.Close || string(text) != "result of "+id || err != nil {
		t.Errorf("%s: %d, close %v, %q, %v", id, answer.StatusCode, answer.Close, text, err)
	}
}

// TestHandoverBetweenReleases has a process of the earlier release hand over to one of this build, and the other way round, while
// one request is served, one waits for capacity and two connections are idle. Each request must be answered once, with one attempt.
func TestHandoverBetweenReleases(t *testing.T) {
	root := repositoryRoot(t)
	present := buildProgram(t, root, "present")
	for _, revision := range baseRevisions {
		t.Run(revision, func(t *testing.T) {
			base := buildProgram(t, baseSources(t, root, revision), "base")
			t.Run("base to present", func(t *testing.T) { handOver(t, base, present) })
			t.Run("present to base", func(t *testing.T) { handOver(t, present, base) })
			t.Run("base to present, discovery moved", func(t *testing.T) { handOverMoved(t, base, present) })
		})
	}
}

func handOver(t *testing.T, from, to string) {
	runtime.LockOSThread() // Pdeathsig is sent when the thread that started the process exits
	worker := startWorker(t)
	folder, err := os.MkdirTemp("", "c") // a short path, since the length of a Unix socket's path is limited
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(folder) })
	address, configuration := freeAddress(t), filepath.Join(folder, "config.json")
	text := fmt.Sprintf(`{"listen":%q,"discovery":%q,"seed":"1","settings":{"az":"a","discovery":"on_request",
		"familyInfo":{"reportX0":"free slots","reportX1":"free memory","tellsStart":true},
		"limits":{"cancelling":true,"probing":true,"maxAttempts":4,"dialTimeoutMs":5000},
		"loadReport":{"fields":["x0","x1"],"how":"pull"},
		"profiles":[{"name":"job","aimMs":3600000,"deadlineMs":3600000,"effect":"retryable","worth":1}]}}`,
		address, startDiscovery(t, worker.Listener.Addr().String()))
	if err := os.WriteFile(configuration, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	old := startProcess(t, "predecessor", from, configuration, folder)
	used, silent, running, queued := dial(t, address), dial(t, address), dial(t, address), dial(t, address)
	close(worker.releaseChannel("before"))
	used.send("before")
	used.expectResult(t, "before")
	running.send("running")
	eventually(t, "the worker serves", func() bool { n, _ := worker.attemptsOf("running"); return n == 1 })
	queued.send("queued")
	old.expectMetrics(t, "gw_in_flight 2", `gw_attempts{class="job"} 2`) // the requests before and running

	next := startProcess(t, "successor", to, configuration, folder)
	next.expectMetrics(t, "gw_in_flight 2", `gw_attempts{class="job"} 0`, "gw_workers_known 1")
	old.expectMetrics(t, "gw_in_flight 0")
	old.shutDown(t)
	if n, _ := worker.attemptsOf("queued"); n != 0 {
		t.Errorf("the queued request went out %d times while the worker was full", n)
	}
	close(worker.releaseChannel("running"))
	running.expectResult(t, "running")
	eventually(t, "the queued request goes out", func() bool { n, _ := worker.attemptsOf("queued"); return n > 0 })
	if _, deadline := worker.attemptsOf("queued"); deadline <= time.Hour-time.Minute || deadline > time.Hour {
		t.Errorf("the queued request went out with a deadline of %v", deadline)
	}
	close(worker.releaseChannel("queued"))
	queued.expectResult(t, "queued")
	clients := map[string]*client{"used": used, "silent": silent, "running": running, "queued": queued}
	for name, c := range clients { // all connections continue at the successor
		id := "after-" + name
		close(worker.releaseChannel(id))
		c.send(id)
		c.expectResult(t, id)
	}
	next.expectMetrics(t, `gw_served{class="job"} 6`, `gw_attempts{class="job"} 5`, "gw_in_flight 0")
	next.shutDown(t)
	for name, c := range clients {
		if rest, err := io.ReadAll(c.in); len(rest) > 0 || err != nil {
			t.Errorf("the connection %q ends with %q, %v", name, rest, err)
		}
	}
	for id, n := range worker.attempts {
		if want := "POST /job?of=" + id + " extra body"; n != 1 || worker.requests[id] != want {
			t.Errorf("%s: %d attempts of %q, not one of %q", id, n, worker.requests[id], want)
		}
	}
	if n := len(worker.attempts); n != 7 {
		t.Errorf("%d requests reached the worker, not 7", n)
	}
}
