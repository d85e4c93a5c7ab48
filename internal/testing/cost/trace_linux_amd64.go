package cost

import (
	"fmt"
	"maps"
	"os/exec"
	"runtime"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// syscallNames maps the numbers of the system calls that a node makes to their names.
var syscallNames = map[uint64]string{
	unix.SYS_READ: "read", unix.SYS_WRITE: "write", unix.SYS_WRITEV: "writev", unix.SYS_CLOSE: "close",
	unix.SYS_ACCEPT4: "accept4",
	unix.SYS_CONNECT: "connect", unix.SYS_SOCKET: "socket", unix.SYS_SETSOCKOPT: "setsockopt",
	unix.SYS_GETSOCKOPT:  "getsockopt",
	unix.SYS_GETSOCKNAME: "getsockname", unix.SYS_GETPEERNAME: "getpeername", unix.SYS_SHUTDOWN: "shutdown",
	unix.SYS_FCNTL:     "fcntl",
	unix.SYS_EPOLL_CTL: "epoll_ctl", unix.SYS_EPOLL_PWAIT: "epoll_pwait", unix.SYS_FUTEX: "futex",
	unix.SYS_NANOSLEEP: "nanosleep",
	unix.SYS_MADVISE:   "madvise", unix.SYS_MMAP: "mmap", unix.SYS_RT_SIGRETURN: "rt_sigreturn",
	unix.SYS_TGKILL: "tgkill",
	unix.SYS_GETPID: "getpid", unix.SYS_SCHED_YIELD: "sched_yield", unix.SYS_RT_SIGPROCMASK: "rt_sigprocmask",
}

// tracer counts the system calls of a child process that it started with ptrace.
type tracer struct {
	mu    sync.Mutex
	count map[string]int
}

// canTrace reports whether system calls can be counted on this platform.
const canTrace = true

const (
	// syscallStopBit marks a SIGTRAP stop as a system call's entry or exit (PTRACE_O_TRACESYSGOOD).
	syscallStopBit = 0x80
	// eventfdWriteBytes is the length of a write to an eventfd.
	eventfdWriteBytes = 8
)

// startTraced starts a command and counts the system calls of all of its threads until it exits.
func startTraced(c *exec.Cmd) (*tracer, error) {
	t := &tracer{count: map[string]int{}}
	started := make(chan error, 1)
	go func() {
		// Only the thread that started the child may trace it. The thread is never unlocked, so it exits with this goroutine.
		runtime.LockOSThread()
		c.SysProcAttr = &syscall.SysProcAttr{Ptrace: true}
		if err := c.Start(); err != nil {
			started <- err
			return
		}
		pid := c.Process.Pid
		var ws unix.WaitStatus
		if _, err := unix.Wait4(pid, &ws, 0, nil); err != nil {
			started <- fmt.Errorf("trace: %w", err)
			return
		}
		if err := unix.PtraceSetOptions(pid, unix.PTRACE_O_TRACESYSGOOD|unix.PTRACE_O_TRACECLONE|unix.PTRACE_O_EXITKILL); err != nil {
			started <- fmt.Errorf("trace: %w", err)
			return
		}
		started <- unix.PtraceSyscall(pid, 0)
		t.follow(pid)
	}()
	return t, <-started
}

// follow resumes the child's threads after each ptrace stop and counts system calls at their entry.
func (t *tracer) follow(pid int) {
	inCall := map[int]bool{}         // threads that have entered a system call
	seen := map[int]bool{pid: false} // the keys are the threads whose initial stop is past
	for {
		var ws unix.WaitStatus
		tid, err := unix.Wait4(-1, &ws, unix.WALL|unix.WNOTHREAD, nil) // children of this thread only
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return // the child has exited and was already waited for
		}
		if ws.Exited() || ws.Signaled() {
			if tid == pid {
				return
			}
			continue
		}
		deliver := 0
		switch sig := ws.StopSignal(); {
		case sig == unix.SIGTRAP|syscallStopBit:
			if inCall[tid] = !inCall[tid]; inCall[tid] {
				var regs unix.PtraceRegs
				if unix.PtraceGetRegs(tid, &regs) == nil {
					if regs.Orig_rax == unix.SYS_WRITE && regs.Rdx == eventfdWriteBytes {
						t.add("wake-up", 0) // of the network poller, through its eventfd; no message of the node is this short
					} else {
						t.add(syscallNames[regs.Orig_rax], regs.Orig_rax)
					}
				}
			}
		case sig == unix.SIGTRAP: // a thread was created
		case sig == unix.SIGSTOP:
			if _, known := seen[tid]; known {
				deliver = int(sig)
			}
			seen[tid] = false // a new thread's first SIGSTOP comes from ptrace and must not be delivered
		default:
			deliver = int(sig)
		}
		unix.PtraceSyscall(tid, deliver)
	}
}

func (t *tracer) add(name string, nr uint64) {
	if name == "" {
		name = fmt.Sprint("call ", nr)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count[name]++
}

// counts returns the number of calls so far by name.
func (t *tracer) counts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.count)
}
