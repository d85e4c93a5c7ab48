package cost

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/node"
	"swiftdeal/internal/platform"
)

// Counters are the resource counters that the child process reports about itself.
type Counters struct {
	Mallocs    uint64 `json:"Mallocs"`  // objects allocated since the process started
	Bytes      uint64 `json:"Bytes"`    // bytes allocated since the process started
	HeapLive   uint64 `json:"HeapLive"` // bytes of heap in use
	Stacks     uint64 `json:"Stacks"`   // bytes of stacks in use
	Goroutines int    `json:"Goroutines"`
	UserUs     int64  `json:"UserUs"`   // CPU time in user mode, in microseconds
	SystemUs   int64  `json:"SystemUs"` // CPU time in the kernel, in microseconds
}

// ChildCommand is the hidden subcommand with which the program runs the node to be measured.
const ChildCommand = "cost-node"

// Limits of the child process.
const (
	memoryLimit     = 1 << 40 // bytes; never reached, so that no collection starts by itself
	shutdownTimeout = 10 * time.Second
)

// Child runs a node with the configuration that the environment names. It answers each line of in with the counters as JSON:
// "read" returns them at once, "collect" after a garbage collection. It returns at the end of in.
//
// It runs on one processor and without automatic garbage collection, so that counts repeat from run to run.
func Child(getenv func(string) string, in io.Reader, out io.Writer) error {
	c, err := config.Load(getenv, os.ReadFile)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(-1)
	debug.SetMemoryLimit(memoryLimit)
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- node.Serve(ctx, platform.Real(), c, node.Listeners{Clients: ln}, slog.New(slog.DiscardHandler))
	}()
	commands, enc := bufio.NewScanner(in), json.NewEncoder(out)
	var m runtime.MemStats
	var ru syscall.Rusage
	for commands.Scan() {
		if commands.Text() == "collect" {
			runtime.GC()
			runtime.GC() // a sync.Pool keeps its objects through one collection
		}
		runtime.ReadMemStats(&m)
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
			return err
		}
		if err := enc.Encode(Counters{
			Mallocs: m.Mallocs, Bytes: m.TotalAlloc, HeapLive: m.HeapAlloc, Stacks: m.StackInuse,
			Goroutines: runtime.NumGoroutine(),
			UserUs:     ru.Utime.Nano() / 1000, SystemUs: ru.Stime.Nano() / 1000,
		}); err != nil {
			return err
		}
	}
	stop()
	select {
	case err := <-serveErr:
		return err
	case <-time.After(shutdownTimeout):
		return fmt.Errorf("the node does not end")
	}
}
