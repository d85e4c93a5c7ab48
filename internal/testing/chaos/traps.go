package chaos

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
)

// confirmationDelayMs is the delay of datagrams to a node that is to be stopped before its confirmation reaches it. It is far
// below the two probe periods after which a confirmation expires anyway.
const confirmationDelayMs = 50

// trap kills or stops a process as soon as a log line appears: between a decision and its message, or between the message and
// its receipt.
type trap struct {
	message       string
	kill          bool // kill the process instead of stopping it for the duration
	strikesHolder bool // apply it to the node that the line names, not to the one that logs it
	durationMs    float64
}

// triggerTrap applies the trap that waits for a log line, if there is one.
func (f *Cluster) triggerTrap(p *process, l *logLine) {
	f.mu.Lock()
	var t *trap
	if i := slices.IndexFunc(f.traps, func(t *trap) bool { return t.message == l.Msg }); i >= 0 {
		t = f.traps[i]
		f.traps = slices.Delete(f.traps, i, i+1)
	}
	f.mu.Unlock()
	if t == nil {
		return
	}
	n := f.nodes[p.node]
	if name, ok := strings.CutPrefix(l.Subject, "node "); ok && t.strikesHolder {
		i := 0
		fmt.Sscanf(name, "n%d", &i)
		n = f.nodes[i]
	}
	f.mu.Lock()
	n.process.interruptions++
	if t.kill {
		n.process.stopRequested = true
	}
	proc := n.process
	f.mu.Unlock()
	if t.kill {
		proc.signal(syscall.SIGKILL) // without delay: the process must not get to its next step
		f.background.Add(1)
		go func() {
			defer f.background.Done()
			<-proc.Ended()
			f.restartAfter(n, max(t.durationMs, 1))
		}()
		return
	}
	proc.signal(syscall.SIGSTOP)
	if t.strikesHolder {
		f.relay.setNodeDelay(n.index, 0)
	}
	f.background.Add(1)
	go func() {
		defer f.background.Done()
		f.sleep(t.durationMs)
		proc.signal(syscall.SIGCONT)
	}()
}
