// Package subprocess starts child processes for test rigs and keeps the last lines of their logs. The kernel kills each child when the
// rig exits, for whatever reason, so that none is left behind.
package subprocess

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"
)

// startCalls takes functions that are to run on the one thread that starts all processes. The parent-death signal is sent when the
// thread that started a process exits, so that thread has to live as long as the rig.
var startCalls = sync.OnceValue(func() chan<- func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
})

// Start starts a command in a process group of its own. The kernel kills it when the rig exits.
func Start(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	startCalls() <- func() { done <- command.Start() }
	return <-done
}

// Process is a child process whose log is read. Its methods may be called from any goroutine. Running, Signal and Kill may also be
// called on nil, which stands for a process that is not running.
type Process struct {
	command *exec.Cmd
	options Options
	ended   chan struct{}

	mu      sync.Mutex
	stalled bool // the log is not read
	resume  *sync.Cond
	lines   [][]byte // the last lines of the log
}

// Options hold the command of a process and the callbacks for its events.
type Options struct {
	Command []string // the program and its arguments
	Env     []string
	LogFile string // receives standard output and standard error; truncated at the start
	Keep    int    // minimum number of the last log lines that are kept in memory

	OnLine func(line []byte)            // if set, called for each log line in order; it may keep the line but not change it
	OnEnd  func(state *os.ProcessState) // called when the log has been read to its end, before Ended is closed
	OnGone func()                       // called after Ended is closed
}

// New returns a process that has not been started.
func New(options Options) *Process {
	p := &Process{options: options, ended: make(chan struct{})}
	p.resume = sync.NewCond(&p.mu)
	return p
}

// Start starts the process and the goroutines that read its log and wait for its end.
func (p *Process) Start() error {
	file, err := os.Create(p.options.LogFile)
	if err != nil {
		return err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		file.Close()
		return err
	}
	p.command = exec.Command(p.options.Command[0], p.options.Command[1:]...)
	p.command.Env, p.command.Stdout, p.command.Stderr = p.options.Env, writer, writer
	err = Start(p.command)
	writer.Close()
	if err != nil {
		reader.Close()
		file.Close()
		return err
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		defer file.Close()
		defer reader.Close()
		p.readLog(reader, file)
	}()
	go func() {
		p.command.Wait()
		p.Stall(false)
		<-read
		p.options.OnEnd(p.command.ProcessState)
		close(p.ended)
		p.options.OnGone()
	}()
	return nil
}

// readLog copies the process's log to the file and to lines, except while it is stalled.
func (p *Process) readLog(reader, file *os.File) {
	lines := bufio.NewReaderSize(reader, 4<<10)
	for {
		p.mu.Lock()
		for p.stalled {
			p.resume.Wait()
		}
		p.mu.Unlock()
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			file.Write(line)
			p.keepLine(bytes.TrimRight(line, "\r\n"))
		}
		if err != nil {
			return
		}
	}
}

func (p *Process) keepLine(line []byte) {
	p.mu.Lock()
	if len(p.lines) >= 2*p.options.Keep {
		p.lines = slices.Clone(p.lines[p.options.Keep:])
	}
	p.lines = append(p.lines, line)
	p.mu.Unlock()
	if p.options.OnLine != nil {
		p.options.OnLine(line)
	}
}

// Stall suspends (true) or resumes (false) the reading of the process's log. A process that keeps writing then blocks on a full pipe.
func (p *Process) Stall(yes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = yes
	p.resume.Broadcast()
}

// Lines returns the last lines of the log.
func (p *Process) Lines() [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.lines)
}

// LogContains reports whether one of the kept lines contains text.
func (p *Process) LogContains(text string) bool { return len(p.LastLines(text, 1)) > 0 }

// LastLines returns the last kept lines that contain text, at most limit of them.
func (p *Process) LastLines(text string, limit int) (list []string) {
	lines := p.Lines()
	for i := len(lines) - 1; i >= 0 && len(list) < limit; i-- {
		if bytes.Contains(lines[i], []byte(text)) {
			list = append(list, string(lines[i]))
		}
	}
	slices.Reverse(list)
	return list
}

// LogFile returns the name of the log file.
func (p *Process) LogFile() string { return p.options.LogFile }

// ID returns the process id.
func (p *Process) ID() int { return p.command.Process.Pid }

// Ended returns a channel that is closed once the process has ended and its log has been read.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// ExitCode returns the exit code, or -1 if a signal ended the process. It may be called only once OnEnd has been called.
func (p *Process) ExitCode() int { return p.command.ProcessState.ExitCode() }

// Running reports whether the process has not ended yet. It is false for nil.
func (p *Process) Running() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// WaitEnd waits until the process has ended, and reports whether it did so within the timeout.
func (p *Process) WaitEnd(timeout time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Signal sends a signal to the process alone, not to its group. It does nothing if the process is not running.
func (p *Process) Signal(s syscall.Signal) {
	if p.Running() {
		p.command.Process.Signal(s)
	}
}

// Kill kills the process, even if it is stopped, and waits until it has ended.
func (p *Process) Kill() {
	if p.Running() {
		p.command.Process.Signal(syscall.SIGCONT)
		p.command.Process.Kill()
		<-p.ended
	}
}

// Descriptors returns the number of open file descriptors of the process, or 0 if it cannot be read.
func (p *Process) Descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.ID()))
	if err != nil {
		return 0
	}
	return len(list)
}
