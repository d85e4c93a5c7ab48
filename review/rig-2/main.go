// Command rig2 plays the cases of the second review: stand-ins of clients, workers, discovery and the platform around real processes
// of the program.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// bench is what every case has.
type bench struct {
	record  *record
	folder  string // temporary
	trouble bool
	closers []func()

	mu    sync.Mutex
	nodes []*node
}

// verdict of a case: the exit code of its script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(*bench) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(play func(*bench) int, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return notRun
	}
	defer os.RemoveAll(folder)
	b := &bench{record: r, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	r.printf("trouble: %v", b.trouble)
	done := make(chan int, 1)
	go func() { done <- b.finish(play) }()
	code := notRun
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code = <-done:
	case <-signals:
		r.printf("called off")
	case <-time.After(110 * time.Second):
		r.printf("out of time")
	}
	b.mu.Lock()
	for _, n := range b.nodes {
		n.kill()
	}
	b.mu.Unlock()
	for _, end := range b.closers {
		end()
	}
	r.printf("verdict: %d", code)
	fmt.Println(map[int]string{held: "held", broken: "broken", notRun: "could not run"}[code])
	return code
}

// start starts a process of the node.
func (b *bench) start(s nodeSetup) *node {
	n, err := startNode(b.record, s)
	if err != nil {
		b.record.printf("cannot start: %v", err)
		return nil
	}
	b.mu.Lock()
	b.nodes = append(b.nodes, n)
	b.mu.Unlock()
	return n
}

func (b *bench) worker(id string, slots int) *worker {
	w, err := startWorker(b.record, id, slots)
	if err != nil {
		panic(err)
	}
	b.closers = append(b.closers, w.close)
	return w
}

func (b *bench) front(d *discovery, name string) *front {
	f, err := d.serveAt(name)
	if err != nil {
		panic(err)
	}
	b.closers = append(b.closers, f.close)
	return f
}

// setup returns what a node is told, with a temporary folder that its processes share.
func (b *bench) setup(name, discovery string) nodeSetup {
	tmp := filepath.Join(b.folder, name)
	os.MkdirAll(tmp, 0o700)
	return nodeSetup{
		name: name, listen: freeAddress(), control: freeAddress(), discovery: discovery,
		config: filepath.Join(b.folder, name+".json"), tmp: tmp,
	}
}
