package simulation

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/tracecheck"
)

// Outcome is the result of a simulation.
type Outcome struct {
	Hash                          uint64 // hash of the trace
	Lines, Steps                  int
	Virtual                       time.Duration
	Served, Refused, Failed       int // answers by kind
	Probes                        int
	Dials, DialsRefused           int // connections that nodes requested from workers, and those that a worker refused
	DiscoveryCalls                int // connections that nodes requested from discovery, one per call for the list
	MostConns                     int // peak number of connections of one worker
	MostOpen                      int // peak number of open requests of one node, except those that have just arrived
	Rejected                      int // attempts that a worker rejected because it was full
	MetricsChecked                int // nodes whose metrics were read and compared with their clients' results
	Datagrams                     int // datagrams sent between nodes
	ConnsPassed, RequestsMigrated int // client connections, and worker connections with an attempt on them, that were handed over
	Violations                    []tracecheck.Violation

	Fault   string // the first failure; "" if there was none
	Text    string
	At      time.Duration
	Node    string
	Request string
	Workers []string
	Last    []string // the last lines of the trace
}

// String describes the result on one line.
func (o *Outcome) String() string {
	if o.Fault == "" {
		return fmt.Sprintf(
			"%d served, %d refused, %d failed in %v, trace %016x",
			o.Served,
			o.Refused,
			o.Failed,
			o.Virtual,
			o.Hash,
		)
	}
	return fmt.Sprintf(
		"%s at %v: %s (node %s, request %s, peers %v)", o.Fault, o.At, o.Text, o.Node, o.Request, o.Workers,
	)
}

// Options configures a run.
type Options struct {
	Trace io.Writer // receives the whole trace; may be nil
	Nodes io.Writer // receives the nodes' logs; may be nil
	Keep  int       // number of trace lines kept in the outcome
}

// Run runs a plan in its own synctest bubble. A panic of the node's code is recorded in the outcome, except for a panic in a goroutine
// that the node started, which ends the test process just as it would end the node.
func Run(t *testing.T, p *Plan, opt Options) (out *Outcome) {
	out = &Outcome{}
	defer func() {
		if e := recover(); e != nil && out.Fault == "" {
			out.Fault, out.Text = "leak", fmt.Sprint(e)
		}
	}()
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(p, out, opt)
		sim.runPlan()
		out.Hash, out.Lines, out.Steps = sim.recorder.hash.Sum64(), sim.recorder.lines, sim.steps
		for _, e := range sim.recorder.last[max(0, len(sim.recorder.last)-sim.recorder.keep):] {
			out.Last = append(out.Last, e.String())
		}
	})
	return out
}

// newSimulation creates the simulation of a plan: the fakes, the nodes' settings and the checker.
func newSimulation(p *Plan, out *Outcome, opt Options) *Simulation {
	sim := &Simulation{
		plan: p, outcome: out, network: newNetwork(),
		scheduler:     scheduler{start: time.Now(), random: fake.Random(p.Seed, "world"), wake: make(chan struct{}, 1)},
		nodeProcesses: nodeProcesses{successors: map[string]*successorListener{}, requestOwners: map[string]*process{}},
		environment:   environment{closeUndetected: map[string]bool{}, classes: map[string]int{}},
		recorder:      recorder{hash: xxhash.New(), keep: max(opt.Keep, 1), all: opt.Trace, nodes: opt.Nodes},
	}
	sim.discovery = &fake.Discovery{Clock: sim, History: p.DiscoveryHistory}
	classes := map[string]fake.Class{}
	for i, c := range classPlans {
		sim.classes[c.name] = i
		classes[c.name] = fake.Class{
			Keyed: c.effect == "dedup", Scope: c.scope, Window: ms(c.window * p.Scale * p.Windows),
		}
	}
	sim.fleet = fake.NewWorkerPool(sim, sim, classes)
	for i := range p.Workers {
		sim.addWorker(i)
	}
	front := sim.newFront()
	for i := range p.Nodes {
		n := &process{simulation: sim, nodeIdentity: nodeIdentity{
			index: i, name: fmt.Sprintf("n%d", i), zone: zoneName(i % 2),
			listen: fmt.Sprintf("10.0.0.%d:8080", i+1), discovery: front.addr,
		}}
		sim.nodes = append(sim.nodes, n)
		sim.settings = append(sim.settings, sim.config(n))
	}
	sim.checker = tracecheck.New(sim.rules())
	sim.clients = fake.NewClients(sim, sim, sim, p.Seed)
	return sim
}

// addWorker creates the machine of the plan's i-th worker. The worker's process is started later.
func (sim *Simulation) addWorker(i int) {
	p, r := sim.plan, &sim.plan.Workers[i]
	m := &machine{
		name:  fmt.Sprintf("p%d", i),
		zone:  zoneName(r.Zone),
		addr:  fmt.Sprintf("10.1.0.%d:8080", i+1),
		links: map[*link]bool{},
	}
	m.worker = &fake.Worker{
		Pool: sim.fleet, ID: m.name, Zone: m.zone, Cell: fmt.Sprint(r.Cell), Kind: "std", Cores: r.Cores,
		Slots:  r.Slots,
		Memory: r.Slots, Speed: r.Speed, Queue: r.Queue, Refresh: ms(r.Refresh), ColdFrom: slowStartMinFactor, ColdFor: sim.coldFor(),
		Idle: ms(connIdleMs), MostConns: 500, Returns: r.Returns, ReportsQueue: p.Queue,
	}
	if p.ReportsProgress {
		m.worker.Progress = ms(progressIntervalMs)
	}
	m.open = m.worker.Open
	m.entry = fake.Entry{
		ID: m.name, Addr: m.addr, Zone: m.zone, Kind: "std", Cell: r.Cell, State: "in_service", Weight: 1,
	}
	m.worker.Seed(p.Seed)
	sim.machines = append(sim.machines, m)
	sim.machineByAddress[m.addr] = m
}

// runPlan runs the plan from its start until all nodes have terminated.
func (sim *Simulation) runPlan() {
	p := sim.plan
	sim.startWorkers()
	for i := range sim.nodes {
		sim.startNode(sim.nodes[i])
	}
	for i := range p.Faults {
		sim.scheduleFault(&p.Faults[i])
	}
	for i := range p.Jobs {
		sim.scheduleJob(i)
	}
	lastFault, lastJob, lastDeadline := 0.0, 0.0, 0.0
	for _, f := range p.Faults {
		lastFault = max(lastFault, f.At+f.Length)
	}
	for _, j := range p.Jobs {
		lastJob = max(lastJob, j.At)
		lastDeadline = max(lastDeadline, j.At+p.class(j.Class).deadline*p.Scale)
	}
	settledAt := ms(max(lastFault, lastJob) + p.DiscoveryDelay + 1000)
	sim.run(ms(max(lastDeadline, lastFault)+10500), func() bool {
		return sim.now() > settledAt && sim.clients.Open == 0 && sim.checker.Open() == 0
	})
	if n := sim.checker.Open(); n > 0 && sim.outcome.Fault == "" {
		sim.fail("rule 1", fmt.Sprintf("%d requests have no answer at the end", n), "", "")
	}
	sim.finish()
}

// startWorkers starts all workers and returns once the discovery list holds them.
func (sim *Simulation) startWorkers() {
	for i, r := range sim.plan.Workers {
		m := sim.machines[i]
		sim.startWorker(m, r.Cold)
		if r.Cold {
			m.entry.Started = time.Now().UnixMilli()
		}
		sim.publish(m, "in_service")
	}
	sim.run(sim.now()+time.Millisecond, nil)
	sim.discovery.Delay = ms(sim.plan.DiscoveryDelay)
	sim.discovery.OnChange = sim.observeList
	sim.listComplete = true
}

// scheduleJob schedules the i-th job of the plan to be sent by a client.
func (sim *Simulation) scheduleJob(i int) {
	p, j := sim.plan, &sim.plan.Jobs[i]
	c := p.class(j.Class)
	name := j.name(i)
	job := &fake.Job{
		Name: name, Class: j.Class, Repeat: c.effect == "retryable" || c.scope == "all", Refused: true,
		Work: j.Work / 1000,
		Hint: ms(j.Hint), Slots: j.Slots, Memory: j.Memory, Timeout: ms(c.deadline * p.Scale), GiveUp: ms(j.GiveUp),
		Body: j.Body, Shape: j.Shape, Retries: j.Retries, Pause: ms(j.Pause), RequestID: j.ID,
	}
	if c.effect == "dedup" {
		job.Key = j.key(i)
		if c.scope == "all" { // clients retry for as long as all workers deduplicate
			job.RetryWindow = ms(c.window * p.Scale * p.Windows)
		}
	}
	if j.Shape == fake.Pipelined {
		sim.closeUndetected[name+"-0"], sim.closeUndetected[name+"-0p"] = true, true
	}
	sim.schedule(ms(j.At), func() {
		sim.applyHeavyTail(job)
		sim.clients.Submit(job)
	})
}

// finish terminates all nodes and checks the state they leave behind.
func (sim *Simulation) finish() {
	if sim.outcome.Fault == "" && sim.plan.hasControl() { // by now a node's metrics must count every request it took
		for _, n := range sim.nodes {
			sim.checkMetrics(n)
		}
		sim.run(sim.now()+500*time.Millisecond, nil)
	}
	if sim.outcome.Fault == "" {
		for _, n := range sim.nodes {
			sim.terminate(n, nil)
		}
		sim.run(sim.now()+8*time.Second, func() bool {
			return !slices.ContainsFunc(sim.processes(), func(n *process) bool { return n.running })
		})
	}
	for key, n := range sim.effects() {
		if n > 1 && sim.outcome.Fault == "" {
			sim.fail("effects", fmt.Sprintf("the work behind key %s was done %d times", key, n), "", "")
		}
	}
	sim.outcome.Virtual = sim.now()
	for _, n := range sim.processes() { // after a failure they were not terminated
		if n.running {
			sim.processGone(n, forever)
		}
	}
	for range 3 { // goroutines of killed processes are still exiting; a drain may still be sleeping
		for synctest.Wait(); sim.applyActions() || sim.grantTurn(); synctest.Wait() {
		}
		time.Sleep(time.Minute)
	}
}

// name is the prefix of the request IDs of the i-th job.
func (j *Job) name(i int) string {
	if j.Name > 0 {
		i = j.Name - 1
	}
	return fmt.Sprintf("r%d", i)
}

// key is the idempotency key of the i-th job.
func (j *Job) key(i int) string { return cmp.Or(j.Key, "k"+j.name(i)) }

// effects counts by key how often work was done that its class allows only once.
func (sim *Simulation) effects() map[string]int {
	n := map[string]int{}
	for i := range sim.plan.Jobs {
		j := &sim.plan.Jobs[i]
		key := j.Class + "/" + j.key(i)
		n[key] = sim.fleet.Effects(key)
	}
	return n
}
