package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"swiftdeal/internal/platform"
	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/scale/lightnode"
)

// Child is one process of a run, or its part in the tool's own process. Its commands come one at a time.
type Child struct {
	start     time.Time
	role      string
	plan      *Plan
	addresses addressBlock
	dir       string
	members   []int
	nodes     map[int]*lightnode.Node
	starts    map[int]int // starts
	heap      uint64
	partition *partition

	host  *fake.Sockets
	calls atomic.Int64
	bytes atomic.Int64
	stop  chan struct{}
	once  sync.Once
}

// NewChild returns one that has not begun.
func NewChild() *Child {
	return &Child{
		start:     time.Now(),
		nodes:     map[int]*lightnode.Node{},
		starts:    map[int]int{},
		stop:      make(chan struct{}),
		partition: &partition{},
	}
}

// Serve takes commands until they end: that also means that whoever gave them has ended.
func (c *Child) Serve(in io.Reader, out io.Writer) error {
	defer c.Close()
	lines, words := bufio.NewReader(in), json.NewEncoder(out)
	read := json.NewDecoder(lines)
	for {
		var cmd Command
		if err := read.Decode(&cmd); err != nil {
			return nil
		}
		if err := words.Encode(c.Do(cmd)); err != nil {
			return err
		}
	}
}

// Close ends all that the child has started.
func (c *Child) Close() {
	c.once.Do(func() {
		close(c.stop)
		var all sync.WaitGroup
		for _, n := range c.nodes {
			all.Go(func() { n.Stop(true) })
		}
		all.Wait()
		if c.host != nil {
			c.host.Close()
		}
	})
}

// Do does what is told.
func (c *Child) Do(cmd Command) (r Reply) {
	var err error
	switch cmd.Action {
	case "begin":
		err = c.begin(cmd)
	case "start":
		err = c.startNodes(cmd)
	case "end":
		c.stopNodes(cmd)
	case "cut":
		c.partition.region.Store(int64(cmd.Region))
	case "reload":
		err = c.reload(cmd, &r)
	case "force":
		for _, i := range c.members {
			if n := c.nodes[i]; n != nil {
				id, at := n.InForceSince()
				r.InForce = append(r.InForce, InForce{i, id.Number, at.UnixNano()})
			}
		}
	case "report":
		c.report(&r)
	case "held":
		c.lightNodes(&r)
	default:
		err = fmt.Errorf("%q is no command", cmd.Action)
	}
	if err != nil {
		r.Error = err.Error()
	}
	return r
}

// begin takes what this process is to play, and starts it where that is not light nodes.
func (c *Child) begin(cmd Command) error {
	c.role, c.plan, c.dir, c.members = cmd.Role, cmd.Plan, cmd.Dir, cmd.Members
	c.addresses = addressBlock(cmd.Block)
	c.partition.plan, c.partition.addresses = c.plan, c.addresses
	c.partition.region.Store(-1)
	runtime.GC()
	c.heap, _ = inUse()
	switch c.role {
	case "discovery":
		return c.discovery()
	case "worker":
		return c.workers()
	case "hollow":
		return nil
	}
	return fmt.Errorf("role %q is unknown", c.role)
}

// startNodes starts light nodes one after the other: nobody starts hundreds at one instant.
func (c *Child) startNodes(cmd Command) (err error) {
	for _, i := range c.meant(cmd.Members) {
		if c.nodes[i] != nil {
			continue
		}
		files := c.plan.files(c.addresses, i, c.dir)
		if c.nodes[i], err = lightnode.Start(c.machine(i), files, lightnode.IgnoreEvents(os.Stderr)); err != nil {
			delete(c.nodes, i)
			return err
		}
		c.starts[i]++
		time.Sleep(time.Duration(cmd.Gap * float64(time.Second)))
	}
	return nil
}

// stopNodes stops light nodes, all at once.
func (c *Child) stopNodes(cmd Command) {
	var all sync.WaitGroup
	for _, i := range c.meant(cmd.Members) {
		if n := c.nodes[i]; n != nil {
			delete(c.nodes, i)
			all.Go(func() { n.Stop(cmd.Abrupt) })
		}
	}
	all.Wait()
}

// reload hands light nodes another configuration, and tells how long that took and how much was read.
func (c *Child) reload(cmd Command, r *Reply) (err error) {
	begin := time.Now()
	for _, i := range c.meant(cmd.Members) {
		text := c.plan.config(c.addresses, i, cmd.Number)
		if n := c.nodes[i]; n != nil && err == nil {
			r.Read += len(text)
			err = n.Reload(text)
		}
	}
	r.Duration = time.Since(begin).Seconds()
	return err
}

func (c *Child) meant(list []int) []int {
	if len(list) == 0 {
		return c.members
	}
	return list
}

// report says what the process has used and what its nodes hold. The processor time is read before the heap is looked at: that
// collects garbage, which nobody but the tool asks for.
func (c *Child) report(r *Reply) {
	r.At, r.CPU = time.Since(c.start).Seconds(), processCPU()
	for _, i := range c.members {
		n := NodeReport{Member: i, Starts: c.starts[i]}
		if h := c.nodes[i]; h != nil {
			n.State, n.Up = h.State()
			n.Traffic = h.Traffic()
		}
		r.Nodes = append(r.Nodes, n)
	}
	r.RSS = rss(os.Getpid())
	r.Calls, r.Bytes, r.Dropped = c.calls.Load(), c.bytes.Load(), c.partition.dropped.Load()
	if d, err := os.ReadDir("/proc/self/fd"); err == nil {
		r.Files = len(d)
	}
}

// inUse is what the process's heap and its goroutines' stacks take.
func inUse() (heap, stacks uint64) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc, m.StackInuse
}

// lightNodes looks at the heap, after a collection.
func (c *Child) lightNodes(r *Reply) {
	runtime.GC()
	heap, stacks := inUse()
	r.Heap, r.Stacks = heap-min(heap, c.heap), stacks
}

// processCPU is the processor time of this process, by the operating system.
func processCPU() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// rss is the memory that a process has resident; 0 if it is gone.
func rss(pid int) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	f := strings.Fields(string(text))
	if err != nil || len(f) < 2 {
		return 0
	}
	n, _ := strconv.ParseUint(f[1], 10, 64)
	return n * uint64(os.Getpagesize())
}

// discovery lists the plan's workers.
func (c *Child) discovery() error {
	c.host = fake.NewSockets()
	d := &fake.Discovery{Clock: c.host}
	var f *fake.Front
	listed := make(chan struct{})
	c.host.Do(func() {
		f = d.Front()
		left := c.plan.Workers
		d.OnChange = func() {
			if left--; left == 0 {
				close(listed)
			}
		}
		for _, e := range c.plan.entries(c.addresses) {
			d.Set(e)
		}
	})
	<-listed
	_, err := c.host.ListenAt(c.addresses.discovery(), func(conn fake.Conn) fake.Handler {
		h := f.Open(countingConn{conn, c})
		if h == nil {
			return nil
		}
		c.calls.Add(1) // each call has a connection of its own
		return h
	})
	if err == nil && c.plan.ListChangesPerMinute > 0 {
		go c.churn(d)
	}
	return err
}

// churn changes the list as the plan has it: a worker drains, and comes back with the next change.
func (c *Child) churn(d *fake.Discovery) {
	every := time.NewTicker(time.Duration(float64(time.Minute) / c.plan.ListChangesPerMinute))
	defer every.Stop()
	list := c.plan.entries(c.addresses)
	for k := 0; ; k++ {
		select {
		case <-c.stop:
			return
		case <-every.C:
		}
		e := list[k/2%len(list)]
		if k%2 == 0 {
			e.State = "terminating"
		}
		c.host.Do(func() { d.Set(e) })
	}
}

// countingConn counts what discovery writes.
type countingConn struct {
	fake.Conn
	child *Child
}

// Write implements fake.Conn.
func (k countingConn) Write(p []byte, m *fake.Mark) {
	k.child.bytes.Add(int64(len(p)))
	k.Conn.Write(p, m)
}

// ignoreEvents is a Watcher that nobody asks.
type ignoreEvents struct{}

// JobArrived implements fake.Observer.
func (ignoreEvents) JobArrived(string, string, float64) {}

// ResultProduced implements fake.Observer.
func (ignoreEvents) ResultProduced(string, string, string) {}

// RequestStarted implements fake.Observer.
func (ignoreEvents) RequestStarted(string, string, time.Time, string) bool { return true }

// RequestEnded implements fake.Observer.
func (ignoreEvents) RequestEnded(string, string, int, string) {}

// ClientGone implements fake.Observer.
func (ignoreEvents) ClientGone(string, string) {}

// workers opens the plan's workers.
func (c *Child) workers() error {
	c.host = fake.NewSockets()
	classes := map[string]fake.Class{}
	for t := range c.plan.Tenants {
		classes[tenantName(t)] = fake.Class{}
	}
	fleet := fake.NewWorkerPool(c.host, ignoreEvents{}, classes)
	for w := range c.plan.Workers {
		p := &fake.Worker{
			Pool:     fleet,
			ID:       workerName(w),
			Zone:     c.plan.workerZone(w),
			Cell:     strconv.Itoa(w % 3),
			Kind:     "std",
			Cores:    4,
			Slots:    4,
			Memory:   8,
			Speed:    1,
			Queue:    3,
			Refresh:  300 * time.Millisecond,
			Progress: time.Second,
			ColdFrom: 0.13,
			ColdFor:  8 * time.Second,
			Idle:     time.Minute,
			Returns:  true,
			Result:   -1,
		}
		p.Seed(c.plan.Seed)
		c.host.Do(func() { p.Start(false) })
		if _, err := c.host.ListenAt(c.addresses.worker(w), func(conn fake.Conn) fake.Handler {
			c.calls.Add(1)
			if h := p.Open(conn); h != nil {
				return h
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// machine is the one that a light node runs on: the real one, but that a cut drops its datagrams.
func (c *Child) machine(i int) platform.Machine {
	m := platform.Real()
	open := m.ListenPacket
	m.ListenPacket = func(addr string) (net.PacketConn, error) {
		sock, err := open(addr)
		if err != nil {
			return nil, err
		}
		return &filter{PacketConn: sock, cut: c.partition, member: c.plan.region(i)}, nil
	}
	return m
}
