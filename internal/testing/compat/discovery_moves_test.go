package compat

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// hearTimeout is the time within which a process must know a change of the endpoint list; see the operators' protocol.
const hearTimeout = 6 * time.Second

// nobody is an address at which nothing listens.
const nobody = "127.0.0.1:1"

// movingNode is a node whose discovery moves from address to address. Each of its processes gets the variable of the first start
// and the configuration file as it is then.
type movingNode struct {
	*testing.T
	program, listen, folder string
	variable                string           // GW_DISCOVERY
	file                    string           // the address in the configuration file
	server                  *httptest.Server // of discovery
	workers                 *atomic.Int64    // in discovery's list; none of them is ever called
	crowded                 atomic.Bool      // discovery refuses new calls, but goes on with open ones
	processes               []*process
}

func newMovingNode(t *testing.T, program string) *movingNode {
	folder, err := os.MkdirTemp("", "c") // a short path, since the length of a Unix socket's path is limited
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(folder) })
	n := &movingNode{T: t, program: program, listen: freeAddress(t), folder: folder, workers: &atomic.Int64{}}
	n.workers.Store(1)
	n.serveDiscovery()
	n.variable, n.file = n.address(), n.address()
	return n
}

func (n *movingNode) address() string { return n.server.Listener.Addr().String() }

// serveDiscovery starts discovery at a new address.
func (n *movingNode) serveDiscovery() {
	listed := n.workers
	n.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if n.crowded.Load() {
			http.Error(rw, "too many callers", http.StatusServiceUnavailable)
			return
		}
		for told := int64(0); r.Context().Err() == nil; time.Sleep(10 * time.Millisecond) {
			if workers := listed.Load(); workers != told {
				told = workers
				fmt.Fprint(rw, endpointList(workers))
				http.NewResponseController(rw).Flush()
			}
		}
	}))
	n.Cleanup(n.server.Close)
	n.Cleanup(n.server.CloseClientConnections)
}

// endpointList returns a list of so many workers.
func endpointList(workers int64) string {
	var entries []string
	for i := range workers {
		entries = append(entries, fmt.Sprintf(`{"id":"w%d","addr":%q,"zone":"a","cell":1,"state":"in_service"}`, i, nobody))
	}
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`+"\n", workers, strings.Join(entries, ","))
}

// launch starts a process, which replaces the one before if that still runs.
func (n *movingNode) launch() *process {
	path := filepath.Join(n.folder, "config.json")
	text := fmt.Sprintf(`{"listen":%q,"discovery":%q,"seed":"1","known":%s,"settings":{"az":"a","discovery":"on_request",
		"profiles":[{"name":"job","aimMs":1000,"deadlineMs":3000,"effect":"retryable","worth":1}]}}`, n.listen, n.file, endpointList(1))
	n.replaceFile(path, text)
	p := launchProcess(n.T, fmt.Sprint("process ", len(n.processes)), n.program, path, n.folder, "GW_DISCOVERY="+n.variable)
	n.processes = append(n.processes, p)
	return p
}

// replaceFile replaces a file in one step, as a process may be reading it.
func (n *movingNode) replaceFile(path, text string) {
	err := os.WriteFile(path+".new", []byte(text), 0o600)
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		n.Fatal(err)
	}
}

// start is launch, and waits until the process is ready.
func (n *movingNode) start() *process {
	p := n.launch()
	eventually(n.T, p.name+" is ready", p.ready)
	return p
}

// reload has processes reload the configuration file with an address of discovery.
func (n *movingNode) reload(address string, processes ...*process) {
	n.file = address
	path := filepath.Join(n.folder, "config.json")
	text, err := os.ReadFile(path)
	if err != nil {
		n.Fatal(err)
	}
	before, rest, _ := strings.Cut(string(text), `"discovery":"`)
	_, after, _ := strings.Cut(rest, `"`)
	n.replaceFile(path, before+`"discovery":"`+address+`"`+after)
	for _, p := range processes {
		p.command.Process.Signal(syscall.SIGHUP)
	}
}

// move moves discovery to a new address, of which only the given processes are told.
func (n *movingNode) move(told ...*process) {
	old := n.server
	n.abandon(told...)
	old.Listener.Close()
	old.CloseClientConnections()
}

// abandon moves discovery to a new address, of which only the given processes are told. The old one goes on to answer, but
// hears of no more changes.
func (n *movingNode) abandon(told ...*process) {
	frozen := n.workers.Load()
	n.workers = &atomic.Int64{}
	n.workers.Store(frozen)
	n.serveDiscovery()
	n.reload(n.address(), told...)
}

// kill ends a process with SIGKILL.
func (n *movingNode) kill(p *process) {
	p.command.Process.Kill()
	p.ended <- <-p.ended
}

// expectHears changes the list and expects that the process knows the change in time.
func (n *movingNode) expectHears(p *process) {
	n.Helper()
	count, end := n.workers.Add(1), time.Now().Add(hearTimeout)
	p.expectMetrics(n.T, fmt.Sprint("gw_workers_known ", count))
	if late := time.Since(end); late > 0 {
		n.Errorf("%s has heard of the change %v late", p.name, late)
	}
}

// TestStartAfterDiscoveryMoved guards against a process that calls an address which discovery has left: a reload told only the
// processes before it of the move, and its GW_DISCOVERY is that of the first start.
func TestStartAfterDiscoveryMoved(t *testing.T) {
	program := buildProgram(t, repositoryRoot(t), "present")
	for name, play := range map[string]func(n *movingNode){
		"replaced": func(n *movingNode) {
			first := n.start()
			n.move(first)
			next := n.start()
			first.shutDown(n.T)
			n.expectHears(next)
		},
		"replaced after each of three moves": func(n *movingNode) {
			p := n.start()
			for range 3 {
				n.move(p)
				old := p
				p = n.start()
				old.shutDown(n.T)
				n.expectHears(p)
			}
		},
		"replaced twice at once": func(n *movingNode) {
			first := n.start()
			n.move(first)
			second := n.start()
			third := n.start()
			second.shutDown(n.T)
			first.shutDown(n.T)
			n.expectHears(third)
		},
		"replaced after a replacement that failed": func(n *movingNode) {
			first := n.start()
			n.move(first)
			n.kill(n.launch())
			failed := n.start()
			n.kill(failed)
			eventually(n.T, "the first process serves again", first.ready)
			next := n.start()
			first.shutDown(n.T)
			n.expectHears(next)
		},
		"started anew after SIGTERM": func(n *movingNode) {
			first := n.start()
			n.move(first)
			n.move(first)
			first.shutDown(n.T)
			n.expectHears(n.start())
		},
		"started anew after a kill": func(n *movingNode) {
			first := n.start()
			n.move(first)
			next := n.start()
			first.shutDown(n.T)
			n.kill(next)
			again := n.start()
			n.expectHears(again)
			n.move(again)
			n.expectHears(again)
		},
		"replaced while the old address still answers": func(n *movingNode) {
			p := n.start()
			for range 2 {
				n.abandon(p)
				n.expectHears(p)
				old := p
				p = n.start()
				old.shutDown(n.T)
				n.expectHears(p)
			}
		},
		"the old process is told of the move, after the new one has taken over": func(n *movingNode) {
			first := n.start()
			next := n.start()
			n.abandon(first)
			n.expectHears(next)
			first.shutDown(n.T)
			n.expectHears(next)
		},
		"the new process is told of the move, and dies": func(n *movingNode) {
			first := n.start()
			next := n.start()
			n.abandon(next)
			n.expectHears(next)
			n.kill(next)
			eventually(n.T, "the first process serves again", first.ready)
			n.expectHears(first)
			again := n.start()
			first.shutDown(n.T)
			n.expectHears(again)
		},
		"a file with a wrong address, where nothing moved": func(n *movingNode) {
			n.file = nobody
			first := n.start()
			n.expectHears(first)
			n.reload(nobody, first) // of other keys
			n.expectHears(first)
			next := n.start()
			first.shutDown(n.T)
			n.expectHears(next)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runtime.LockOSThread() // Pdeathsig is sent when the thread that started the process exits
			play(newMovingNode(t, program))
		})
	}
}

// handOverMoved has a process of one build, whose discovery has moved, hand over to one of another build.
func handOverMoved(t *testing.T, from, to string) {
	runtime.LockOSThread() // Pdeathsig is sent when the thread that started the process exits
	n := newMovingNode(t, from)
	first := n.start()
	n.move(first)
	n.expectHears(first)
	n.program = to
	next := n.start()
	first.shutDown(t)
	n.expectHears(next)
}

// TestReplacedWhileDiscoveryIsCrowded guards against a new process that does not know of a change of the list, because discovery
// answers the old process alone.
func TestReplacedWhileDiscoveryIsCrowded(t *testing.T) {
	runtime.LockOSThread() // Pdeathsig is sent when the thread that started the process exits
	n := newMovingNode(t, buildProgram(t, repositoryRoot(t), "present"))
	first := n.start()
	n.expectHears(first)
	n.crowded.Store(true)
	second := n.start()
	n.expectHears(second)
	third := n.start() // hears from the second process, which hears from the first one
	n.expectHears(third)
	n.crowded.Store(false)
	second.shutDown(t)
	first.shutDown(t)
	n.expectHears(third)
}
