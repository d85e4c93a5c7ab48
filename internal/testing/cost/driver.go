package cost

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"swiftdeal/internal/testing/fake"
)

// Figures are the counts of one case, per request.
type Figures struct {
	Case   string  `json:"case"`
	Allocs float64 `json:"allocs"`
	Bytes  float64 `json:"bytes"`
	// System calls. Calls are those that write and those that open and close connections. Reads, and Waits (calls that wait or
	// wake a thread), depend on when data arrives, so they are reported but not compared with the baseline.
	Calls float64            `json:"calls"`
	Reads float64            `json:"reads"`
	Waits float64            `json:"waits"`
	Names map[string]float64 `json:"names,omitempty"`
}

// harness runs a node in a child process, with fake clients, a fake worker and fake discovery in this process.
type harness struct {
	sockets  *fake.Sockets
	clients  *fake.Clients
	worker   *fake.Worker
	node     *exec.Cmd
	tracer   *tracer
	stdin    io.WriteCloser
	stdout   *bufio.Scanner
	addr     string
	dir      string
	requests int
	statuses chan string
}

// statusObserver is a fake.Observer that passes on the status of each answer and ignores all other events.
type statusObserver struct{ harness *harness }

// JobArrived implements fake.Observer.
func (statusObserver) JobArrived(string, string, float64) {}

// ResultProduced implements fake.Observer.
func (statusObserver) ResultProduced(string, string, string) {}

// RequestStarted implements fake.Observer.
func (statusObserver) RequestStarted(string, string, time.Time, string) bool { return true }

// ClientGone implements fake.Observer.
func (statusObserver) ClientGone(string, string) {}

// RequestEnded implements fake.Observer.
func (o statusObserver) RequestEnded(_, id string, status int, body string) {
	o.harness.statuses <- fmt.Sprint(status)
}

// PickNode implements fake.Dialer.
func (b *harness) PickNode(*fake.Job, int, func(string) bool) string { return "n" }

// Dial implements fake.Dialer.
func (b *harness) Dial(_ string, _ int, h fake.Opener) { b.sockets.Dial(b.addr, h) }

// start starts the fakes and the child process.
func start(program string, traced bool) (b *harness, err error) {
	b = &harness{sockets: fake.NewSockets(), statuses: make(chan string, statusBuffer)}
	defer func() {
		if err != nil {
			b.stop()
		}
	}()
	worker, err := b.startWorker()
	if err != nil {
		return b, err
	}
	discovery := &fake.Discovery{Clock: b.sockets}
	b.sockets.Do(func() {
		discovery.Set(fake.Entry{ID: "p", Addr: worker, Zone: "a", Cell: 1, State: "in_service"})
	})
	discoveryAddr, err := b.sockets.Listen(discovery.Front().Open)
	if err != nil {
		return b, err
	}
	if b.addr, err = b.sockets.FreeAddr(); err != nil { // the child listens on it
		return b, err
	}
	if b.dir, err = os.MkdirTemp("", "swiftdeal-cost-"); err != nil {
		return b, err
	}
	text, err := childConfig(b.addr, discoveryAddr, worker)
	if err != nil {
		return b, err
	}
	path := filepath.Join(b.dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return b, err
	}
	if err := b.startChild(program, path, traced); err != nil {
		return b, err
	}
	b.clients = fake.NewClients(b.sockets, statusObserver{b}, b, 1)
	_, err = b.read("read") // the child answers only once it listens
	return b, err
}

// startWorker starts the only worker and returns its address.
func (b *harness) startWorker() (addr string, err error) {
	pool := fake.NewWorkerPool(b.sockets, statusObserver{b}, map[string]fake.Class{})
	for _, c := range classes {
		pool.Classes[c] = fake.Class{}
	}
	b.worker = &fake.Worker{
		Pool: pool, ID: "p", Zone: "a", Cell: "1", Cores: 8, Slots: 8, Memory: 8, Speed: 1, Queue: 9,
		Refresh: time.Hour, Progress: time.Hour, Result: -1,
	}
	b.worker.Seed(1)
	b.sockets.Do(func() { b.worker.Start(false) })
	return b.sockets.Listen(b.worker.Open)
}

// childConfig returns the child's configuration file.
func childConfig(listen, discovery, worker string) ([]byte, error) {
	var profiles []any
	for _, c := range classes {
		effect := "dedup"
		if c == "slot-check" {
			effect = "retryable"
		}
		profiles = append(profiles, map[string]any{
			"name": c, "aimMs": 3600000, "deadlineMs": 3600000, "effect": effect, "dedupScope": "all",
			"repeatWindowMs": 25000, "worth": 1,
		})
	}
	return json.Marshal(map[string]any{
		"listen": listen, "discovery": discovery, "seed": "1",
		"known": map[string]any{
			"version": 1, "full": true,
			"servers": []any{map[string]any{"id": "p", "addr": worker, "zone": "a", "cell": 1, "state": "in_service"}},
		},
		"settings": map[string]any{
			"az": "a", "discovery": "on_request",
			"familyInfo": map[string]any{"reportX0": "free slots", "reportX1": "free memory", "tellsStart": true},
			"limits":     map[string]any{"cancelling": true, "probing": false, "maxAttempts": 4, "dialTimeoutMs": 60000},
			"loadReport": map[string]any{"fields": []string{"x0", "x1"}, "how": "pull"}, "profiles": profiles,
		},
	})
}

// startChild starts the child process that runs the node.
func (b *harness) startChild(program, config string, traced bool) (err error) {
	affectsNode := func(v string) bool { return strings.HasPrefix(v, "GW_") || strings.HasPrefix(v, "GO") }
	b.node = exec.Command(program, ChildCommand)
	b.node.Env = append(slices.DeleteFunc(os.Environ(), affectsNode), "GW_CONFIG="+config)
	b.node.Stderr = os.Stderr
	if b.stdin, err = b.node.StdinPipe(); err != nil {
		return err
	}
	out, err := b.node.StdoutPipe()
	if err != nil {
		return err
	}
	b.stdout = bufio.NewScanner(out)
	if !traced {
		return b.node.Start()
	}
	b.node.Env = append(b.node.Env, "GODEBUG=asyncpreemptoff=1")
	b.tracer, err = startTraced(b.node)
	return err
}

// stop stops the child and the fakes and removes the child's files.
func (b *harness) stop() {
	if b.node != nil && b.node.Process != nil {
		b.stdin.Close()
		b.node.Wait()
	}
	b.sockets.Close()
	os.RemoveAll(b.dir)
}

// read sends the child a command of Child and returns the counters that it answers.
func (b *harness) read(command string) (c Counters, err error) {
	if _, err := fmt.Fprintln(b.stdin, command); err != nil {
		return c, err
	}
	if !b.stdout.Scan() {
		return c, fmt.Errorf("the node has ended: %w", b.stdout.Err())
	}
	return c, json.Unmarshal(b.stdout.Bytes(), &c)
}

// waitUntilIdle reads the counters until the node is idle, and returns the last reading. A reading itself allocates, so two
// readings never agree; the node counts as idle once two successive differences between readings are equal.
func (b *harness) waitUntilIdle(command string) (c Counters, err error) {
	var before Counters
	var step uint64
	for i := 0; ; i++ {
		if c, err = b.read(command); err != nil {
			return c, err
		}
		if d := c.Mallocs - before.Mallocs; i > 1 && d == step || i > maxReadings {
			return c, nil
		} else {
			step = d
		}
		before = c
		time.Sleep(time.Millisecond)
	}
}

// sendRequests sends n requests of a case one after the other and checks the status of each answer.
func (b *harness) sendRequests(c *Case, n int) error {
	want := "200"
	if c.Outcome == Refused {
		want = "404"
	}
	for range n {
		b.requests++
		j := c.job(b.requests)
		b.sockets.Do(func() { b.clients.Submit(j) })
		if got := <-b.statuses; got != want {
			return fmt.Errorf("%s: answered %s", c.Name, got)
		}
	}
	return nil
}

// Numbers of requests, batches and readings.
const (
	warmUp       = 60  // requests of a case before its first batch
	traceWarmUp  = 20  // requests of a case before its system calls are counted
	poolRefill   = 10  // requests that refill the pools after a garbage collection
	batches      = 5   // batches per case, of which the median counts
	batch        = 60  // requests per batch
	maxReadings  = 200 // readings after which a node that is not idle is taken as it is
	statusBuffer = 16  // statuses of answers that wait to be read
)

// Measure measures one case after the other with the given program, which must run Child as its subcommand ChildCommand.
// onCase, if not nil, is called with the figures of each case as soon as they are known.
func Measure(program string, cases []Case, onCase func(Figures)) (list []Figures, err error) {
	var calls []Figures
	if !skipTracing {
		calls, err = traceAll(program, cases)
	}
	if err != nil {
		return nil, err
	}
	b, err := start(program, false)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	for i := range cases {
		c := &cases[i]
		b.setResultSize(c)
		if err := b.sendRequests(c, warmUp); err != nil {
			return list, err
		}
		var allocs, bytes []float64
		for range batches {
			if _, err := b.waitUntilIdle("collect"); err != nil {
				return list, err
			}
			if err := b.sendRequests(c, poolRefill); err != nil {
				return list, err
			}
			from, err := b.waitUntilIdle("read")
			if err != nil {
				return list, err
			}
			if err := b.sendRequests(c, batch); err != nil {
				return list, err
			}
			to, err := b.waitUntilIdle("read")
			if err != nil {
				return list, err
			}
			allocs = append(allocs, float64(to.Mallocs-from.Mallocs)/batch)
			bytes = append(bytes, float64(to.Bytes-from.Bytes)/batch)
		}
		slices.Sort(allocs)
		slices.Sort(bytes)
		f := Figures{Case: c.Name, Allocs: round(allocs[batches/2]), Bytes: round(bytes[batches/2])}
		if calls != nil {
			f.Calls, f.Reads, f.Waits, f.Names = calls[i].Calls, calls[i].Reads, calls[i].Waits, calls[i].Names
		}
		list = append(list, f)
		if onCase != nil {
			onCase(f)
		}
	}
	return list, nil
}

// setResultSize sets the size of the worker's results to that of the case.
func (b *harness) setResultSize(c *Case) {
	b.sockets.Do(func() {
		if b.worker.Result = c.Result; b.worker.Result == 0 {
			b.worker.Result = -1
		}
	})
}

// waitCalls names the system calls that wait or wake a thread, and those of the runtime's memory management and signals.
var waitCalls = map[string]bool{
	"epoll_pwait":    true,
	"futex":          true,
	"nanosleep":      true,
	"madvise":        true,
	"mmap":           true,
	"rt_sigreturn":   true,
	"tgkill":         true,
	"getpid":         true,
	"sched_yield":    true,
	"wake-up":        true,
	"rt_sigprocmask": true,
}

// traceAll counts the system calls of each case in a traced child. It returns nil on platforms without tracing.
func traceAll(program string, cases []Case) ([]Figures, error) {
	if !canTrace {
		return nil, nil
	}
	b, err := start(program, true)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	list := make([]Figures, len(cases))
	for i := range cases {
		c := &cases[i]
		b.setResultSize(c)
		if err := b.sendRequests(c, traceWarmUp); err != nil {
			return nil, err
		}
		from := b.waitUntilQuiet()
		if err := b.sendRequests(c, batch); err != nil {
			return nil, err
		}
		list[i].Names = map[string]float64{}
		for name, n := range b.waitUntilQuiet() {
			per := round(float64(n-from[name]) / batch)
			switch {
			case waitCalls[name]:
				list[i].Waits = round(list[i].Waits + per)
			case name == "read":
				list[i].Reads = per
			default:
				list[i].Calls = round(list[i].Calls + per)
			}
			if per > 0 {
				list[i].Names[name] = per
			}
		}
	}
	return list, nil
}

// waitUntilQuiet waits until the traced child makes no system calls other than waitCalls, and returns the counts.
func (b *harness) waitUntilQuiet() map[string]int {
	before := -1
	for {
		now, sum := b.tracer.counts(), 0
		for name, n := range now {
			if !waitCalls[name] {
				sum += n
			}
		}
		if sum == before {
			return now
		}
		before = sum
		time.Sleep(5 * time.Millisecond)
	}
}

// skipTracing has Measure leave out the counting of system calls.
var skipTracing bool

func round(v float64) float64 { return float64(int(v*10+0.5)) / 10 }
