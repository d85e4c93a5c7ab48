package chaos

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"swiftdeal/internal/testing/subprocess"
)

// process is one process of a node.
type process struct {
	*subprocess.Process
	cluster        *Cluster
	name           string
	node           int
	startNumber    int // number of the process's start at its node, from 1
	bin            string
	stopRequested  bool // the harness has asked it to end
	paused         bool
	interruptions  int // times it was stopped, killed or restarted: its clients may have had no answer
	expectsFailure bool
}

// minLogLines is the minimum number of a process's log lines kept in memory.
const minLogLines = 400

// launch starts a process whose log goes to a file, and handles the log's lines as they are written.
func (f *Cluster) launch(node, startNumber int, bin string, env []string, args ...string) (*process, error) {
	p := &process{cluster: f, name: f.nodeName(node), node: node, bin: bin, startNumber: startNumber}
	p.Process = subprocess.New(subprocess.Options{
		Command: append([]string{bin}, args...),
		Env:     env,
		LogFile: filepath.Join(f.dir, fmt.Sprintf("%s.%d.log", p.name, startNumber)),
		Keep:    minLogLines,
		OnLine:  p.readLine,
		OnEnd: func(state *os.ProcessState) {
			f.event(Event{Kind: "ended", Actor: p.name, StartNumber: startNumber, Text: state.String()})
		},
		OnGone: func() { f.onProcessEnd(p) },
	})
	if err := p.Start(); err != nil {
		return nil, err
	}
	f.event(Event{Kind: "started", Actor: p.name, StartNumber: startNumber, Text: fmt.Sprintf("process %d", p.ID())})
	return p, nil
}

// running reports whether the process has not ended. It is false for nil.
func (p *process) running() bool { return p != nil && p.Running() }

// signal sends a signal to the process and records the event.
func (p *process) signal(s syscall.Signal) {
	if p.running() {
		p.cluster.event(Event{Kind: "signal", Actor: p.name, StartNumber: p.startNumber, Text: s.String()})
		p.Signal(s)
	}
}

// logTail returns the last lines of the process's log.
func (p *process) logTail(lines int) string {
	all := p.Lines()
	var b strings.Builder
	for _, line := range all[max(0, len(all)-lines):] {
		b.Write(line)
		b.WriteByte('\n')
	}
	return b.String()
}
