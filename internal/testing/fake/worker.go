package fake

import (
	"math/rand/v2"
	"time"
)

// WorkerFaults is the set of faults injected into a worker; the zero value is a healthy worker.
type WorkerFaults struct {
	Slow           float64       // factor by which jobs take longer; below 1 counts as 1
	StolenCPU      float64       // share of the CPU used by another program
	Fail           float64       // share of jobs that fail immediately
	Reset          float64       // share of jobs whose connection is reset when they complete
	WrongID        float64       // share of answers that carry the id of no request
	ReportsAllFree bool          // load reports state that all slots and memory are free
	FrozenReports  bool          // load reports are not renewed
	ReportDelay    time.Duration // additional age of load reports
	Pieces         bool          // answers are written in pieces of a few bytes, after an interim response
	CloseIdle      bool          // idle connections are closed after a millisecond
	RefuseConns    bool          // new connections are refused; open ones stay open
}

// Worker is a fake worker.
type Worker struct {
	Pool                 *WorkerPool
	ID, Zone, Cell, Kind string
	Cores, Slots         float64
	Memory               float64
	Speed                float64       // of one core, relative to a standard core
	Queue                int           // maximum number of queued jobs
	Refresh              time.Duration // interval between load reports
	Progress             time.Duration // interval between progress lines; 0: the worker reports neither start nor progress
	ColdFrom             float64
	ColdFor              time.Duration
	Idle                 time.Duration // idle connections are closed after this time; 0: never
	MostConns            int
	ReportsQueue         bool // load reports include the number of queued jobs
	Returns              bool // queued jobs are returned when the worker drains
	Faults               WorkerFaults
	Result               int // bytes added to each result; 0: some results are padded, depending on the job's work; below 0: none

	random *rand.Rand
	workerProcess
	jobTable
	reports []loadReport
	conns   map[*workerConn]bool
}

// workerProcess is the state of the current process, or of the last one.
type workerProcess struct {
	running     bool
	draining    bool
	cold        bool
	started     time.Time
	incarnation int // number of starts; events of connections to an earlier process are ignored
}

// jobTable holds the jobs of a process.
type jobTable struct {
	jobs          []*workerJob // running
	queue         []*workerJob
	usedSlots     float64
	usedMemory    float64   // in use by running jobs
	updatedAt     time.Time // time up to which the jobs' progress is accounted for
	cancelNextEnd func()    // stops the timer for the next job that finishes
}

// Seed sets the worker's random source.
func (p *Worker) Seed(seed uint64) { p.random = Random(seed, "peer/"+p.ID) }

// Up reports whether the worker's process is running.
func (p *Worker) Up() bool { return p.running }

// Conns returns the number of open connections.
func (p *Worker) Conns() int { return len(p.conns) }

// Capacity returns the slot seconds of work that the worker completes per second when it is warm.
func (p *Worker) Capacity() float64 { return min(p.Cores, p.Slots) * p.Speed }

// Started returns the time at which the worker's process started.
func (p *Worker) Started() time.Time { return p.started }

// Start starts the worker's process; cold starts it at reduced capacity (ColdFrom, for ColdFor).
func (p *Worker) Start(cold bool) {
	p.incarnation++
	p.running, p.draining, p.cold, p.started = true, false, cold, p.Pool.Clock.Now()
	p.jobs, p.queue, p.usedSlots, p.usedMemory, p.updatedAt = nil, nil, 0, 0, p.started
	p.conns, p.reports = map[*workerConn]bool{}, nil
	if !cold {
		p.started = p.started.Add(-p.ColdFor)
		p.recordReport()
	}
}

// Stop ends the worker's process; the host must break its connections.
func (p *Worker) Stop() {
	p.incarnation++
	p.running = false
	for _, j := range p.jobs {
		j.stop()
	}
	p.jobs, p.queue = nil, nil
	p.scheduleNextEnd()
}

// Drain makes the worker refuse new jobs.
func (p *Worker) Drain() {
	p.draining = true
	if p.Returns {
		for _, j := range p.queue {
			j.conn.writeLine(j, "returned", "")
			j.conn.finishAnswer(j, true)
		}
		p.queue = nil
	}
}

// Open accepts a new connection; nil means that it is refused.
func (p *Worker) Open(c Conn) Handler {
	if !p.running || p.Faults.RefuseConns || p.MostConns > 0 && len(p.conns) >= p.MostConns {
		return nil
	}
	pc := &workerConn{worker: p, conn: c, incarnation: p.incarnation}
	p.conns[pc] = true
	pc.startIdleTimer()
	return pc
}

// SlowStartFactor returns the share of its full capacity that the worker has now.
func (p *Worker) SlowStartFactor() float64 {
	if !p.cold || p.ColdFor <= 0 {
		return 1
	}
	return p.ColdFrom + (1-p.ColdFrom)*min(1, p.Pool.Clock.Now().Sub(p.started).Seconds()/p.ColdFor.Seconds())
}

// SetFaults changes the worker's faults. The progress that jobs have made so far is accounted for at the previous rate.
func (p *Worker) SetFaults(f func(*WorkerFaults)) {
	p.advance()
	f(&p.Faults)
	p.scheduleNextEnd()
}
