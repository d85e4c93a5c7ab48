package badclients

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"swiftdeal/internal/testing/subprocess"
)

// zone is where the node and its workers are.
const zone = "a"

// Class is a class of requests.
type Class struct {
	Name     string
	Effect   string // as in the settings: "retryable", "dedup" or "fragile"
	Deadline time.Duration
}

// Options describe a cluster.
type Options struct {
	Program  string // the binary
	Dir      string // for configuration, sockets and logs
	Workers  int
	RunTime  time.Duration // of a job
	Sockets  int           // the node's limit of descriptors; 0: 512
	MemoryMB int           // the node's limit of memory; 0: 64
	Classes  []Class
}

// Cluster is one node with its workers and discovery. While its process is replaced, the node has two processes.
type Cluster struct {
	options   Options
	workers   []*worker
	discovery *http.Server
	listen    string
	known     endpointList
	discoAddr string

	mu        sync.Mutex // guards processes
	processes []*Process
}

// Process is one process of the node.
type Process struct {
	*subprocess.Process
	control string
}

// Bounds that only a real failure exceeds.
const (
	readyBound = 20 * time.Second
	pollPause  = 10 * time.Millisecond
	keptLines  = 200
)

// Start starts the fakes and the node, and waits until it is ready. The caller closes the cluster, also after an error.
func Start(options Options) (*Cluster, error) {
	c := &Cluster{options: options}
	for i := range options.Workers {
		w, err := newWorker(fmt.Sprintf("w%d", i), options.RunTime)
		if err != nil {
			return c, err
		}
		c.workers = append(c.workers, w)
	}
	c.known = listOf(c.workers)
	var err error
	if c.discovery, c.discoAddr, err = serveDiscovery(c.known); err != nil {
		return c, err
	}
	if c.listen, err = freeAddress(); err != nil {
		return c, err
	}
	_, err = c.StartProcess()
	return c, err
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Close ends all processes and fakes.
func (c *Cluster) Close() {
	for _, p := range c.allProcesses() {
		p.Kill()
	}
	if c.discovery != nil {
		c.discovery.Close()
	}
	for _, w := range c.workers {
		w.server.Close()
	}
}

// StartProcess starts a process of the node, which replaces the one before if that still runs, and waits until it is ready.
func (c *Cluster) StartProcess() (*Process, error) {
	control, err := freeAddress()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.options.Dir, fmt.Sprintf("node%d.json", len(c.allProcesses())))
	if err := c.writeConfig(path, control); err != nil {
		return nil, err
	}
	ended := func(*os.ProcessState) {}
	p := &Process{control: control, Process: subprocess.New(subprocess.Options{
		Command: []string{c.options.Program, "serve", "--log-level", "info", "--log-form", "json"},
		Env:     []string{"GW_CONFIG=" + path, "TMPDIR=" + c.options.Dir, "PATH=" + os.Getenv("PATH")},
		LogFile: strings.TrimSuffix(path, ".json") + ".log",
		Keep:    keptLines,
		OnEnd:   ended,
		OnGone:  func() {},
	})}
	if err := p.Start(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	return p, p.awaitReady()
}

// awaitReady waits until the process reports that it is ready.
func (p *Process) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyBound); time.Now().Before(end); time.Sleep(pollPause) {
		if !p.Running() {
			return fmt.Errorf("the process has ended: %s", strings.Join(p.LastLines("", 5), "\n"))
		}
		answer, err := client.Get("http://" + p.control + "/-/ready")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the process is not ready after %v", readyBound)
}

// Metric returns the sum of the samples of a metric.
func (p *Process) Metric(name string) (float64, error) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + p.control + "/-/metrics")
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	sum := 0.0
	for line := range strings.Lines(string(text)) {
		sample, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if base, _, _ := strings.Cut(sample, "{"); base != name {
			continue
		}
		number, parseErr := strconv.ParseFloat(value, 64)
		if parseErr != nil {
			return 0, parseErr
		}
		sum += number
	}
	return sum, err
}

// MemoryMB returns the process's memory that no file backs, in MB.
func (p *Process) MemoryMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.ID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes float64
		if n, _ := fmt.Sscanf(line, "RssAnon: %f kB", &kilobytes); n == 1 {
			return kilobytes / 1024
		}
	}
	return 0
}

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// CPU returns the processor time that the process has used.
func (p *Process) CPU() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	if err != nil {
		return 0
	}
	_, afterName, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(afterName)
	const userField, systemField = 11, 12 // counted behind the name
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// Terminate sends SIGTERM.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// allProcesses returns the processes that were started.
func (c *Cluster) allProcesses() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.processes)
}

// Process returns the latest process of the node.
func (c *Cluster) Process() *Process {
	list := c.allProcesses()
	return list[len(list)-1]
}

// MemoryMB returns the memory of all processes of the node that run; see Process.MemoryMB.
func (c *Cluster) MemoryMB() (sum float64) {
	for _, p := range c.allProcesses() {
		if p.Running() {
			sum += p.MemoryMB()
		}
	}
	return sum
}

// Address returns where clients connect.
func (c *Cluster) Address() string { return c.listen }

// SetFull sets whether all workers are full: they report no capacity, and return jobs unstarted.
func (c *Cluster) SetFull(full bool) {
	for _, w := range c.workers {
		w.full.Store(full)
	}
}

// Attempts returns the arrivals of requests at all workers, by ID.
func (c *Cluster) Attempts() map[string][]time.Time {
	arrivals := map[string][]time.Time{}
	for _, w := range c.workers {
		w.mu.Lock()
		for _, a := range w.attempts {
			arrivals[a.ID] = append(arrivals[a.ID], a.At)
		}
		w.mu.Unlock()
	}
	return arrivals
}

// object is a JSON object.
type object = map[string]any

// writeConfig writes the configuration of a process.
func (c *Cluster) writeConfig(path, control string) error {
	var profiles []object
	for _, class := range c.options.Classes {
		deadline := float64(class.Deadline.Milliseconds())
		profiles = append(profiles, object{
			"name": class.Name, "aimMs": deadline, "deadlineMs": deadline, "effect": class.Effect, "dedupScope": "all",
			"repeatWindowMs": deadline, "worth": 1,
		})
	}
	text, err := json.Marshal(object{
		"name": "n", "listen": c.listen, "control": control, "discovery": c.discoAddr, "seed": "1", "known": c.known,
		"limits": object{
			"cores": 1, "memory_mb": cmp.Or(c.options.MemoryMB, 64), "sockets": cmp.Or(c.options.Sockets, 512),
		},
		"settings": object{
			"az": zone, "balancers": 1, "me": 0, "discovery": "on_request", "stepMs": 1,
			"familyInfo": object{"reportX0": "free slots", "reportX1": "free memory", "tellsStart": true, "progressMs": 1000},
			"limits": object{
				"cancelling": true, "probing": true, "parallelTries": true, "retryAfter": true, "maxRetryAfterMs": 2000,
				"connIdleMs": 10000, "dialTimeoutMs": 250, "maxAttempts": 4,
			},
			"loadReport": object{"fields": []string{"x0", "x1"}, "how": "pull"},
			"prices":     object{"probe": 0.0005, "waste": 0.04, "lateFail": 0.08},
			"profiles":   profiles,
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}
