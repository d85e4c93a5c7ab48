package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// fleetNode is a node with a part in the fleet.
type fleetNode struct {
	nodeSetup
	datagrams string
	process   *node
}

// freeDatagramAddress returns a loopback address with a UDP port that is free now.
func freeDatagramAddress() string {
	c, err := net.ListenPacket("udp", net.JoinHostPort(loopback(), "0"))
	if err != nil {
		return ""
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// fleet sets up nodes of which the first `seats` have a seat in the council; without seats there is none. Seats keep nothing on a disk:
// the platform gives none that survives a node.
func (b *bench) fleet(size, seats int, f *front, set map[string]any, known message) ([]*fleetNode, error) {
	var nodes []*fleetNode
	var names, addresses []string
	for i := range size {
		n := &fleetNode{nodeSetup: b.setup(fmt.Sprintf("n%d", i+1), f.addr), datagrams: freeDatagramAddress()}
		nodes = append(nodes, n)
		addresses = append(addresses, fmt.Sprintf("%q", n.datagrams))
		if i < seats {
			names = append(names, fmt.Sprintf("%q", n.name))
		}
	}
	for i, n := range nodes {
		set["balancers"], set["me"] = size, i
		if err := writeConfig(n.config, n.nodeSetup, set, known); err != nil {
			return nil, err
		}
		path := filepath.Join(b.folder, n.name+".toml")
		text := fmt.Sprintf(`[fleet]
name = "review"

[member]
site = "a"
listen = %q

[view]
seeds = [%s]
allow = ["127.0.0.0/8"]
period_ms = 1000
`, n.datagrams, strings.Join(addresses, ", "))
		if seats > 0 {
			text += fmt.Sprintf(`
[council]
seats = [%s]
absent_s = 600

[budget]
nodes = 2
nodes_site = 2
nodes_version = 2
workers = 2
workers_site = 2
workers_kind = 2
`, strings.Join(names, ", "))
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return nil, err
		}
		n.args = " --fleet " + path
	}
	return nodes, nil
}

// startAll starts all nodes and waits until they are ready.
func (b *bench) startAll(nodes []*fleetNode) bool {
	for _, n := range nodes {
		if n.process = b.start(n.nodeSetup); n.process == nil {
			return false
		}
	}
	for _, n := range nodes {
		if !n.process.awaitYes(n.listen, "/ready", 10*time.Second) {
			return false
		}
	}
	return true
}

// operator runs a command of the program and returns its exit code.
func (b *bench) operator(args ...string) int {
	c := exec.Command(filepath.Join("bin", "swiftdeal"), args...)
	c.Dir = root()
	output, _ := c.CombinedOutput()
	code := c.ProcessState.ExitCode()
	b.record.printf("operator: swiftdeal %s: exit code %d: %s", strings.Join(args, " "), code, strings.TrimSpace(string(output)))
	return code
}

// drainWorker has the council drain a worker and waits until no node sends anything to it.
func (b *bench) drainWorker(worker, control string) bool {
	for range 10 {
		if b.operator("fleet", "drain", "worker", worker, "--control", control, "--wait", "20s", "--why", "new memory") == 0 {
			return true
		}
		time.Sleep(2 * time.Second)
	}
	return false
}
