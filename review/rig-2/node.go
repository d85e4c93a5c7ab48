package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// node is a process of the program, started by the command of the deploy file.
type node struct {
	record  *record
	name    string
	command *exec.Cmd
	ended   chan struct{}
	control string
	listen  string
}

// nodeSetup is what a node is told.
type nodeSetup struct {
	name, listen, control, discovery string
	config, tmp                      string
	args                             string
	env                              []string
	memory, sockets                  int // limits; 0: 192 MB, 1024 descriptors
}

// settings are those of a small deployment, in the form of the wire page.
func settings(classes ...map[string]any) map[string]any {
	kinds, stretch, priority := []int{}, []float64{}, []int{}
	for range classes {
		kinds, stretch, priority = append(kinds, -1), append(stretch, 2), append(priority, 1)
	}
	return map[string]any{
		"az": "a", "balancers": 1, "me": 0, "clients": map[string]any{"marksRetry": true}, "countedBy": "work",
		"discovery": "on_request", "family": "jobs",
		"familyInfo": map[string]any{
			"classKind": kinds, "classPriority": priority, "classStretch": stretch, "memoryUnit": "a worker has one unit for each slot",
			"notes": "1 it has started, 2 share done", "progressMs": 1000.0, "queueOrder": "fifo", "reportX0": "free slots",
			"reportX1": "free memory", "tellsStart": true,
		},
		"goal":      map[string]any{"whole": 0.65, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.05},
		"hostTypes": []string{"std"},
		"limits": map[string]any{
			"cancelling": true, "connIdleMs": 60000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 1111535, "dialTimeoutMs": 150.0,
			"maxAttempts": 4, "maxOpen": 27788, "maxRetryAfterMs": 2000.0, "parallelTries": true, "peers": false, "probing": true,
			"retryAfter": true, "streamsPerConn": 1,
		},
		"loadReport": map[string]any{"fields": []string{"tps", "concurrent", "x0", "x1"}, "how": "pull"},
		"localities": []string{"a"},
		"obligations": map[string]any{
			"coldFrom": 0.13, "coldMs": 24000.0, "fallMultiple": 3.0, "graceToAnswerMs": 8.0, "mustAskInMs": 10000.0,
			"overloadForMs": 3000.0, "stopSendingWithinMs": 500.0,
		},
		"overShareWorth": 0.1,
		"prices": map[string]any{
			"connection": 0.0, "crossZone": 0.029, "discovery": 0.0, "handshake": 0.02, "lateFail": 0.08, "moves": 0.0, "origin": 0.0,
			"peer": 0.0, "probe": 0.002, "waste": 0.04,
		},
		"profiles": classes, "stepMs": 2.0, "tenants": []any{}, "tier": 0, "tiers": []string{"workers"}, "weights": "rough",
	}
}

// class is a class of the settings. effect is retryable, dedup or fragile.
func class(name, effect, scope string, aim, deadline, window float64) map[string]any {
	return map[string]any{
		"name": name, "effect": effect, "dedupScope": scope, "aimMs": aim, "deadlineMs": deadline, "repeatWindowMs": window,
		"lateValue": 0.5, "stream": false, "worth": 5.0,
	}
}

// writeConfig writes a configuration file, whole or not at all.
func writeConfig(path string, s nodeSetup, settings map[string]any, known message) error {
	text, err := json.MarshalIndent(map[string]any{
		"name": s.name, "listen": s.listen, "discovery": s.discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": cmp.Or(s.memory, 192), "sockets": cmp.Or(s.sockets, 1024)},
		"known":  known, "settings": settings,
	}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// root is the root of the repository, where the commands of the deploy file are run.
func root() string {
	if dir := os.Getenv("REPO"); dir != "" {
		return dir
	}
	return "."
}

// runCommand returns the command `run` of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(root(), "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if found == nil {
		return "", fmt.Errorf("deploy/balancer.toml: no command run")
	}
	return string(found[1]), nil
}

// startNode starts the program.
func startNode(r *record, s nodeSetup) (*node, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	n := &node{record: r, name: s.name, ended: make(chan struct{}), control: s.control, listen: s.listen}
	n.command = exec.Command("/bin/sh", "-c", run+s.args)
	n.command.Dir = root()
	n.command.Env = append([]string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TMPDIR=" + s.tmp, "GW_NAME=" + s.name, "GW_LISTEN=" + s.listen,
		"GW_DISCOVERY=" + s.discovery, "GW_CONFIG=" + s.config, "GW_CONTROL=" + s.control,
	}, s.env...)
	output, err := n.command.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	pid := n.command.Process.Pid
	r.printf("node: process %d starts, control %s, GW_DISCOVERY=%s", pid, s.control, s.discovery)
	go func() {
		lines := bufio.NewScanner(output)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			r.printf("node %d: %s", pid, lines.Text())
		}
		err := n.command.Wait()
		r.printf("node: process %d has ended: %v", pid, err)
		close(n.ended)
	}()
	return n, nil
}

func (n *node) signal(s syscall.Signal) {
	n.record.printf("node: %v to process %d", s, n.command.Process.Pid)
	n.command.Process.Signal(s)
}

// kill ends the process if it runs, and waits for its end.
func (n *node) kill() {
	if n == nil {
		return
	}
	n.command.Process.Signal(syscall.SIGKILL)
	<-n.ended
}

func (n *node) alive() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// call makes one call and returns the status, 0 if there was no answer within a second.
func call(method, addr, path string) (status int, body string) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, _ := http.NewRequest(method, "http://"+addr+path, nil)
	resp, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// awaitYes waits until a call is answered with yes.
func (n *node) awaitYes(addr, path string, wait time.Duration) bool {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status, _ := call(http.MethodGet, addr, path); status >= 200 && status < 300 {
			n.record.printf("platform: yes at %s%s", addr, path)
			return true
		}
	}
	n.record.printf("platform: no yes at %s%s for %v", addr, path, wait)
	return false
}

// loopback returns a loopback address that other programs do not use: ports at 127.0.0.1 may be taken by any connection.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&63, pid>>8&255, 1+pid&127)
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	l, err := net.Listen("tcp", net.JoinHostPort(loopback(), "0"))
	if err != nil {
		return ""
	}
	defer l.Close()
	return l.Addr().String()
}
