package soak

import (
	"os"
	"path/filepath"
	"strings"

	"swiftdeal/internal/testing/subprocess"
)

// process is one process of a node.
type process struct {
	*subprocess.Process
	name          string
	stopRequested bool // a signal to end was sent; guarded by the cluster's mu
}

// keptLines is the minimum number of log lines kept of a process.
const keptLines = 2000

// launch starts a process. rule is strace's rule for failing system calls; empty: none fail.
func (f *Cluster) launch(name, rule string, env []string) (*process, error) {
	p := &process{name: name}
	serve := []string{f.options.Bin, "serve", "--log-level", "debug", "--log-form", "json"}
	command := serve
	if rule != "" {
		call, _, _ := strings.Cut(rule, ":")
		tracer := []string{"strace", "-D", "-f", "-qq", "-o", os.DevNull, "-e", "trace=" + call, "-e", "inject=" + rule}
		command = append(tracer, serve...)
	}
	p.Process = subprocess.New(subprocess.Options{
		Command: command,
		Env:     env,
		LogFile: filepath.Join(f.options.Dir, name+".log"),
		Keep:    keptLines,
		OnEnd:   func(state *os.ProcessState) { f.traceEvent("ended", name, state.String()) },
		OnGone:  func() { f.processGone(p) },
	})
	if err := p.Start(); err != nil {
		return nil, err
	}
	f.traceEvent("started", name, strings.Join(command[:len(command)-5], " "))
	return p, nil
}

// running reports whether the process is running; a nil process is not.
func (p *process) running() bool { return p != nil && p.Running() }
