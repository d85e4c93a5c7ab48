package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world holds what a case runs: the stand-ins, the node's processes and the record.
type world struct {
	start  time.Time
	temp   string // temporary folder of the case
	runCmd string // the command run of the deploy file

	mu     sync.Mutex
	record *os.File
	nodes  []*node
	closer []func()
	closed sync.Once
}

// newWorld reads the deploy file in the current folder and opens the record.
func newWorld(recordPath string) (*world, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		return nil, errors.New("deploy/balancer.toml has no run")
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &world{start: time.Now(), temp: temp, runCmd: string(match[1]), record: record}, nil
}

// note writes a line to the record, with the time since the start.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// onClose has do called when the case ends.
func (w *world) onClose(do func()) { w.closer = append(w.closer, do) }

// longest is how long a case may run.
const longest = 115 * time.Second

// closeOnSignal ends the case, as one that could not run, at a signal and when it runs for too long.
func (w *world) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		w.close()
		os.Exit(exitInvalid)
	}()
}

// close ends all processes and stand-ins.
func (w *world) close() { w.closed.Do(w.closeAll) }

func (w *world) closeAll() {
	w.mu.Lock()
	nodes := w.nodes
	w.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	for i := len(w.closer) - 1; i >= 0; i-- {
		w.closer[i]()
	}
	os.RemoveAll(w.temp)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Close()
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// object is a JSON object.
type object = map[string]any

// node is one process of the node under test.
type node struct {
	w       *world
	name    string
	listen  string
	control string
	config  string // path of the configuration file
	cmd     *exec.Cmd
	exited  chan struct{} // closed when the process has ended
	crashed atomic.Bool   // it has ended by itself, and not with 0
	yesAt   time.Time     // when it said yes to the platform, if it replaced another
}

// nodeOptions describes a node to start.
type nodeOptions struct {
	name, listen, control, discovery string
	limits                           object
	known                            any
	settings                         object
	tempDir                          string
	args                             string // appended to the command
}

// writeConfig writes the node's configuration file and returns its path.
func (w *world) writeConfig(o nodeOptions) (string, error) {
	config := object{
		"name": o.name, "listen": o.listen, "discovery": o.discovery, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": o.limits, "known": o.known, "settings": o.settings,
	}
	if o.control != "" {
		config["control"] = o.control
	}
	text, err := json.Marshal(config)
	if err != nil {
		return "", err
	}
	path := filepath.Join(w.temp, "config-"+o.name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// startNode starts a process of a node with the deploy file's command.
func (w *world) startNode(o nodeOptions) (*node, error) {
	path, err := w.writeConfig(o)
	if err != nil {
		return nil, err
	}
	tempDir := o.tempDir
	if tempDir == "" {
		if tempDir, err = os.MkdirTemp(w.temp, "t"); err != nil {
			return nil, err
		}
	}
	logFile, err := os.Create(filepath.Join(w.temp, fmt.Sprintf("log-%s-%d", o.name, len(w.nodes))))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command("/bin/sh", "-c", w.runCmd+o.args)
	cmd.Env = append(os.Environ(),
		"GW_NAME="+o.name, "GW_LISTEN="+o.listen, "GW_DISCOVERY="+o.discovery, "GW_CONFIG="+path, "TMPDIR="+tempDir)
	if o.control != "" {
		cmd.Env = append(cmd.Env, "GW_CONTROL="+o.control)
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	n := &node{w: w, name: o.name, listen: o.listen, control: o.control, config: path, cmd: cmd, exited: make(chan struct{})}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.crashed.Store(cmd.ProcessState.ExitCode() > 0)
		w.note("node %s: process %d has ended: %v", o.name, cmd.Process.Pid, err)
		if text, err := os.ReadFile(logFile.Name()); err == nil {
			w.note("log of node %s:\n%s", o.name, lastBytes(string(text), 4000))
		}
		close(n.exited)
	}()
	w.note("node %s: process %d started (%s)", o.name, cmd.Process.Pid, w.runCmd)
	return n, nil
}

// lastBytes returns the end of a text.
func lastBytes(text string, most int) string {
	if len(text) > most {
		return "..." + text[len(text)-most:]
	}
	return text
}

// awaitReady waits until the node answers GET /ready with 200.
func (n *node) awaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Now().Before(end) {
		resp, err := client.Get("http://" + n.listen + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n.w.note("node %s is ready", n.name)
				return nil
			}
		}
		select {
		case <-n.exited:
			return fmt.Errorf("node %s has ended before it was ready", n.name)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return fmt.Errorf("node %s is not ready after %v", n.name, timeout)
}

// alive reports whether the process runs.
func (n *node) alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the node's process, which has the id of the shell that started it, by exec.
func (n *node) signal(s syscall.Signal) {
	n.w.note("node %s: %v to process %d", n.name, s, n.cmd.Process.Pid)
	n.cmd.Process.Signal(s)
}

// kill ends the process.
func (n *node) kill() {
	if n.alive() {
		n.cmd.Process.Signal(syscall.SIGKILL)
		<-n.exited
	}
}

// anonMB returns the process's memory that is not backed by a file, in MB.
func (n *node) anonMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			if err == nil {
				return kb / 1024
			}
		}
	}
	return 0
}

// startSingle starts discovery with the given workers and the only node of a deployment, and waits until it is ready.
func (w *world) startSingle(entries []entry, limits, settings object) (*node, error) {
	d, err := w.newDiscovery(entries)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	n, err := w.startNode(nodeOptions{
		name: "n1", listen: listen, discovery: d.addr, limits: limits, known: d.list(), settings: settings,
	})
	if err != nil {
		return nil, err
	}
	return n, n.awaitReady(10 * time.Second)
}
