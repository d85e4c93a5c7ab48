package chaos

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/membership/gossip"
	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/loopback"
	"swiftdeal/internal/testing/tracecheck"
)

// fleetName is the fleet's name in all plans. A datagram of another fleet carries a different tag.
const fleetName = "proving"

// Options configures a run.
type Options struct {
	Versions   map[string]string // paths of further builds, by version
	Bin, Other string            // paths of the program, and of another build of it
	Dir        string            // existing folder for logs and configurations
	Progress   func(Step)        // optional: receives the run's progress
	Started    Check             // optional: called once views and control plane have settled for the first time
	Extra      []string          // TOML tables appended to each node's fleet file
	Until      time.Duration     // 0: ten minutes; Run only sets this default and does not enforce the limit
}

// Step is the progress of a run.
type Step struct {
	Done, Of time.Duration // elapsed time, and the plan's length
	What     string
}

// Cluster holds the real processes, the fakes around them and the state of one run.
type Cluster struct {
	plan    *Plan
	options Options
	dir     string
	block   addressBlock
	relay   *relay
	host    *fake.Sockets
	client  http.Client // of control addresses
	start   time.Time
	random  *rand.Rand

	eventLog
	workload
	exitWatch

	nodes      []*node // mu guards their processes
	duplicates []*node
	ended      bool          // the run is over and no process is started any more; guarded by mu
	ending     bool          // supervisors restart nothing any more; guarded by mu
	endAt      time.Time     // when the checks ended: later exits are not judged; guarded by mu
	stop       chan struct{} // closed when the run is over
	background sync.WaitGroup

	logStates map[string]*logState
	settings  settingsHistory
}

// eventLog holds the run's events and the failures found. mu guards it and those fields of Cluster that say so.
type eventLog struct {
	mu       sync.Mutex
	seq      int64
	log      *os.File
	events   []Event // the most recent ones, for the timeline
	failures []string
	notes    []string
}

// workload holds the fake workers, discovery and clients around the nodes, and the checker of their traces. The host's lock
// guards it.
type workload struct {
	fleet           *fake.WorkerPool
	discovery       *fake.Discovery
	fronts          []*fake.Front // each node's access to discovery
	workers         []*workerState
	clients         []*fake.Clients       // by site
	links           map[[2]int]*linkState // by node and worker; worker -1 is discovery
	checker         *tracecheck.Checker
	violations      []tracecheck.Violation
	attempts        int
	jobs            int
	arrivingNode    string // node whose bytes the fakes are handling
	loadEnded       bool   // no further jobs are submitted
	stats           Stats
	priorityWeights map[string]float64 // weights of jobs that have not been served, by job
	sentTo          map[string]int     // attempts, by worker
	ownJobs         map[string]bool    // the harness's own jobs that have arrived at a worker, by request ID
	eventCounts     map[string]int     // membership events in processes' logs; see checkMembershipChange for the keys
}

// exitWatch holds what was observed of planned exits and of the control plane.
type exitWatch struct {
	traps      []*trap
	exitLog    []exitEvent
	replies    []string          // answers to operators
	firstGroup consensus.GroupID // the control plane's group at the start of the run
}

// newCluster prepares everything that a plan needs except the processes. On an error it may return a cluster that the caller
// has to close.
func newCluster(p *Plan, opt Options) (f *Cluster, err error) {
	f = &Cluster{
		plan:      p,
		options:   opt,
		dir:       opt.Dir,
		start:     time.Now(),
		host:      fake.NewSockets(),
		random:    rand.New(rand.NewPCG(p.Seed, 3)),
		stop:      make(chan struct{}),
		logStates: map[string]*logState{},
		workload: workload{
			links:           map[[2]int]*linkState{},
			eventCounts:     map[string]int{},
			priorityWeights: map[string]float64{},
			sentTo:          map[string]int{},
			ownJobs:         map[string]bool{},
		},
	}
	f.settings.reset()
	f.client.Timeout = 2 * time.Second
	f.client.Transport = &http.Transport{DisableKeepAlives: true}
	if f.block.Block, err = loopback.Reserve(); err != nil {
		return nil, err
	}
	if f.log, err = os.Create(filepath.Join(f.dir, "events.jsonl")); err != nil {
		return f, err
	}
	total := p.Nodes + 2 // one more for a duplicate process, and one address that belongs to no node
	if f.relay, err = newRelay(f, total); err != nil {
		return f, err
	}
	for i := range p.Nodes {
		f.nodes = append(f.nodes, &node{index: i, site: siteName(i % p.Sites), bin: opt.Bin})
	}
	f.checker = tracecheck.New(tracecheck.Config{
		Classes: balanceClasses(), AnswerGrace: failureTimeout, DrainGrace: time.Hour, WindowSlack: 2 * time.Second,
		MaxAttempts: 4, Hedges: true, Unordered: true,
	})
	f.fleet = fake.NewWorkerPool(f.host, f, fakeClasses())
	f.discovery = &fake.Discovery{Clock: f.host, Delay: 100 * time.Millisecond}
	for w := range p.Workers {
		f.newWorker(w)
	}
	for i := range total - 1 {
		if err := f.listenForNode(i); err != nil {
			return f, err
		}
	}
	for s := range p.Sites {
		f.clients = append(f.clients, fake.NewClients(f.host, f, loadBalancer{f, siteName(s)}, p.Seed+uint64(s)))
	}
	return f, nil
}

// nodeName returns the name of a node by its index.
func (f *Cluster) nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// getControl sends a GET request to a node's control address.
func (f *Cluster) getControl(i int, path string) ([]byte, int, error) {
	resp, err := f.client.Get("http://" + f.Control(i) + path)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return text, resp.StatusCode, err
}

// Control returns the control address of a node's current process.
func (f *Cluster) Control(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.block.controlAddr(i, f.nodes[i].starts-1)
}

// View fetches a node's membership view; nil if the node does not answer.
func (f *Cluster) View(i int) *gossip.Report {
	text, code, err := f.getControl(i, "/-/fleet")
	if err != nil || code != http.StatusOK {
		return nil
	}
	var r gossip.Report
	if json.Unmarshal(text, &r) != nil {
		return nil
	}
	return &r
}

// watchReady polls each node's readiness as the load balancers of the sites do.
func (f *Cluster) watchReady() {
	for _, n := range f.nodes {
		f.background.Add(1)
		go func() {
			defer f.background.Done()
			every := time.NewTicker(100 * time.Millisecond)
			defer every.Stop()
			misses := 0
			for {
				select {
				case <-f.stop:
					return
				case <-every.C:
				}
				c := http.Client{Timeout: 500 * time.Millisecond, Transport: f.client.Transport}
				resp, err := c.Get("http://" + f.block.clientsAddr(n.index) + "/ready")
				ready := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					resp.Body.Close()
				}
				if err != nil {
					if misses++; misses < 3 { // like a real load balancer, it takes several failed probes to notice a crash
						continue
					}
				} else {
					misses = 0
				}
				f.host.Do(func() { n.ready = ready })
			}
		}()
	}
}

// close stops everything that a run has started, also after a failure.
func (f *Cluster) close() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	close(f.stop)
	for _, n := range append(slices.Clone(f.nodes), f.duplicates...) {
		for _, p := range append(slices.Clone(n.replaced), n.process) {
			if p != nil {
				p.Kill()
			}
		}
	}
	f.background.Wait()
	f.host.Close()
	if f.relay != nil {
		f.relay.close()
	}
	if f.log != nil {
		f.log.Close()
	}
	if f.block.Block != nil {
		f.block.Release()
	}
}
