package soak

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/loopback"
	"swiftdeal/internal/testing/tracecheck"
)

// Options are the options of a run.
type Options struct {
	Bin   string  // program, built by Build
	Dir   string  // folder for logs and the trace
	Slack float64 // seconds added to each time bound, for busy machines
	Log   func(text string)
}

// Stats are the counts of a run.
type Stats struct {
	Asked, Served, Lost       int // jobs of conforming clients: submitted, served, failed after all attempts
	Refused, Failed, Attempts int
	FailedEarly               int     // failures answered more than earlyMargin before the client's deadline
	Starts, Kills             int     // of node processes
	WorstLagMs                float64 // longest delay of the harness itself
}

// Cluster is a run: the node processes, the fakes and the findings.
type Cluster struct {
	plan    *Plan
	options Options
	start   time.Time
	host    *fake.Sockets
	block   *loopback.Block
	workload
	verdict

	mu         sync.Mutex // guards the following fields, and others where noted
	nodes      []*node
	ended      bool
	stop       chan struct{} // closed when the run is over
	background sync.WaitGroup
}

// workload holds the fakes: workers, discovery and clients. It is guarded by the host's lock.
type workload struct {
	workerPool      *fake.WorkerPool
	discovery       *fake.Discovery
	fronts          [][2]*fake.Front // by node: its two addresses of discovery
	workers         []*worker
	conns           map[*proxyConn]bool
	clients         *fake.Clients
	arrivingNode    string // node whose bytes are being delivered to a fake
	attempts        int
	workerDelay     time.Duration // added to all data to and from workers
	discoverySilent bool
	earlyLeavers    float64 // share of clients that disconnect early
	behind          int     // bytes that these write behind their requests
	loadEnded       bool    // no further requests are sent
}

// verdict holds the trace and the findings. It is guarded by the host's lock.
type verdict struct {
	checker     *tracecheck.Checker
	trace       []string
	stats       Stats
	broken      []Violation
	unjudged    []Violation
	byRequest   map[string][]string  // recent trace lines of each request
	owedAnswers map[string]bool      // by job: its client waits past its deadline, so it must get an answer
	deadlines   map[string]time.Time // of requests without an answer yet
	accepted    map[string]acceptance
	lastLag     time.Time // when the harness itself was last late
}

// acceptance is where and when a request was written that has no end yet.
type acceptance struct {
	node string
	at   time.Time
}

// Violation is a violation of an invariant.
type Violation struct {
	Invariant string
	Text      string
	Trace     []string // the trace before it
}

// newCluster creates the fakes and listeners of a run; no process is started. On an error it returns the partial cluster as well,
// so that the caller can close it.
func newCluster(p *Plan, opt Options) (f *Cluster, err error) {
	f = &Cluster{
		plan:     p,
		options:  opt,
		start:    time.Now(),
		host:     fake.NewSockets(),
		stop:     make(chan struct{}),
		workload: workload{conns: map[*proxyConn]bool{}},
		verdict: verdict{
			byRequest: map[string][]string{}, owedAnswers: map[string]bool{}, deadlines: map[string]time.Time{},
			accepted: map[string]acceptance{},
		},
	}
	if f.block, err = loopback.Reserve(); err != nil {
		return f, err
	}
	f.checker = tracecheck.New(checkerConfig(opt))
	f.workerPool = fake.NewWorkerPool(f.host, f, fakeClasses())
	f.discovery = &fake.Discovery{Clock: f.host, Delay: 50 * time.Millisecond}
	for w := range p.Workers {
		f.newWorker(w)
	}
	for i := range p.Nodes {
		f.nodes = append(f.nodes, &node{index: i})
		if err := f.listenForNode(i); err != nil {
			return f, err
		}
	}
	f.clients = fake.NewClients(f.host, f, f, p.Seed)
	f.setStartFaults()
	return f, nil
}

// setStartFaults sets the faults that processes have from their start: failing system calls and small clock steps.
func (f *Cluster) setStartFaults() {
	for _, t := range f.plan.Faults {
		if t.Kind == Calls {
			f.nodes[t.Target].syscallFault = t.Syscall
		}
		if t.Kind == Clock && t.Amount > -3600 && t.Amount < 3600 {
			f.nodes[t.Target].clockStep = t.Amount
		}
	}
}

// checkerConfig returns the parameters of the trace checker. Slack extends each time bound.
func checkerConfig(opt Options) tracecheck.Config {
	slack := time.Duration(opt.Slack * float64(time.Second))
	return tracecheck.Config{
		Classes:          balanceClasses(),
		AnswerGrace:      550*time.Millisecond + slack,
		DrainGrace:       550*time.Millisecond + slack,
		WindowSlack:      200*time.Millisecond + slack,
		MaxAttempts:      4,
		Hedges:           true,
		Unordered:        true,
		ClientGoneGrace:  100*time.Millisecond + 50*time.Millisecond + slack,
		DeadlineSlack:    150*time.Millisecond + slack,
		ColdFrom:         coldFrom,
		ColdFor:          coldFor,
		OverloadMultiple: fallMultiple,
		OverloadWindow:   fallAfter,
		NotifiedAfter:    0,
	}
}

// milliseconds converts a time in ms.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (f *Cluster) name(i int) string { return fmt.Sprintf("n%d", i) }

// Ports of the nodes and the fakes.
const (
	clientsPort = 7001
	controlPort = 7010
	discoPort   = 7100
	workerPort  = 7200
)

func (f *Cluster) clientAddr(i int) string { return f.block.Addr(10+i, clientsPort) }

func (f *Cluster) controlAddr(i, life int) string { return f.block.Addr(10+i, controlPort+life%50) }

// ignoreConn is the handler of a hung worker: it discards all data.
type ignoreConn struct{}

// Data implements fake.Handler.
func (ignoreConn) Data([]byte) {}

// Closed implements fake.Handler.
func (ignoreConn) Closed(bool) {}

// watchLag records when the harness itself is late: violations of time bounds are then not judged.
func (f *Cluster) watchLag() {
	f.background.Go(func() {
		for previous := time.Now(); ; {
			select {
			case <-f.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			f.host.Do(func() {
				now := time.Now()
				lag := now.Sub(previous) - 5*time.Millisecond
				previous = now
				f.stats.WorstLagMs = max(f.stats.WorstLagMs, float64(lag.Microseconds())/1000)
				if lag > maxJudgedLag {
					f.lastLag = now
				}
			})
		}
	})
}

// With the harness later than maxJudgedLag, violations of time bounds go unjudged for lagWindow.
const (
	maxJudgedLag = 40 * time.Millisecond
	lagWindow    = time.Second
)

// close ends all processes, goroutines and listeners of a run, whatever its state.
func (f *Cluster) close() {
	f.mu.Lock()
	f.ended = true
	nodes := slices.Clone(f.nodes)
	f.mu.Unlock()
	close(f.stop)
	for _, n := range nodes {
		if n.process.running() {
			n.process.Kill()
		}
	}
	f.background.Wait()
	f.host.Close()
	if f.block != nil {
		f.block.Release()
	}
}

// metrics reads the metrics of a node's current process.
func (f *Cluster) metrics(n *node) (map[string]float64, error) {
	f.mu.Lock()
	at := f.controlAddr(n.index, n.starts-1)
	f.mu.Unlock()
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + at + "/-/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	list := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		v := 0.0
		if n, _ := fmt.Sscan(value, &v); ok && n == 1 && !strings.HasPrefix(line, "#") {
			list[name] = v
		}
	}
	return list, nil
}
