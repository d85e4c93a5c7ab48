package balance

// State that the decisions in balance.go keep, and its upkeep. Nothing here decides.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// attempt is one send; it is a charge on its worker until its outcome arrives.
type attempt struct {
	r       *request
	w       *worker
	sent    time.Duration
	started time.Duration // when the worker told that it runs; 0 if it has not
	out     bool
	never   bool          // known not to have run
	heard   time.Duration // when its last note came
	left    bool          // given up on: another attempt may replace it
	share   float64       // done, by its last note ...
	shareAt time.Duration // ... and when that came
}

// event is a send (slots and memory below zero) or the end of one (above zero) at a worker.
type event struct {
	at            time.Duration
	slots, memory float64
	work          float64 // expected running time of a send, times its slots
}

type worker struct {
	Worker
	marks            map[uint64]time.Duration // when each mark of late came first
	told             bool                     // named by the list and not gone since
	reported         bool
	rep              Report
	measured         time.Duration // the latest time at which rep can have been taken
	capSlots, capMem float64       // the most ever reported free: the capacity learned
	guess            float64       // room where no report has come: jobs at once
	out              []*attempt
	events           []event       // own sends and ends, as far back as a report may not contain
	fails            int           // bad signs in a row
	until            time.Duration // backed off until then
	probed           time.Duration // when last asked for a report
	jitter           float64       // the next probe follows after this times the usual gap
	probing          bool
	probeFails       int
	mute             bool          // its last probe brought no answer
	toldStart        time.Duration // its last start as the list tells it
	warmFrom         time.Duration // from when on it warms up, by this balancer's clock; 0: it is warm
	shownAt          time.Duration // when a probe has shown a restart of which the list has not told yet; 0: none
	heard            time.Duration // last sign of life
	reach            time.Duration // what a new connection to its zone may take
	turn             int           // this balancer's place among those that may send to it while it is cold
	asked            bool          // a dispatch waits for the answer to its probe
	seenAt           time.Duration // when it last answered a probe
	pace             float64       // work it does in a second on one job, as on a standard core; 0 if not known
	paceAt           time.Duration // when that was last learned
	listed           bool          // among the fresh
	inList           bool          // among the workers
}

type request struct {
	Request
	c        *Class
	aim      time.Duration // when the aim passes for a job that takes no time
	end      time.Duration // the final answer must be out by then
	over     bool
	held     bool
	looks    int     // rounds of probes it has had
	number   int     // counts the requests taken
	sends    int     // that it may have, by the settings under which it was taken; 0 for no limit
	order    float64 // held jobs are sent in this order
	attempts []*attempt
}

// Balancer decides for one dispatching node.
type Balancer struct {
	s        Settings
	act      Actions
	rnd      uint64
	now      time.Duration
	byID     map[string]*worker
	workers  []*worker // those the list names, in its order
	reqs     map[string]*request
	held     []*request
	mute     int             // probes failed in a row, whichever the worker
	okAt     time.Duration   // when a probe was last answered
	yielded  bool            // another process has its place
	endsAt   time.Duration   // when this balancer is stopped; 0 if that is not known
	waits    []*attempt      // sent and not ended
	run      []float64       // learned running time by class, seconds
	ends     []int           // jobs of each class that have ended, as far as it is learned from them
	born     time.Duration   // when this balancer began, or the one whose sends it knows
	patient  []time.Duration // longest patience seen by class: that of a first try
	pace     time.Duration   // between probes of one worker; follows the pace of fresh reports
	wakeAt   time.Duration
	retryAt  time.Duration // when to ask for the list again
	misses   int           // failed calls for the list in a row
	calledAt time.Duration // when the list was last asked for
	lastReq  time.Duration
	behind   time.Duration      // by how much reports repeat the past
	repeats  int                // reports in a row that agree on it
	blindTo  time.Duration      // until then reports are not used as room
	delay    float64            // median seconds from a send to its start note, of late
	tight    float64            // seconds of the tightest aim
	quick    time.Duration      // the shortest time from a send to its start note
	soon     time.Duration      // four in five jobs start sooner; what another zone may take at most
	usual    float64            // pace of the workers that have told it, on average
	taken    int                // requests so far
	rateN    float64            // requests of late, older ones weighing less ...
	rateT    float64            // ... and the seconds in which they came
	tokens   float64            // probes on demand that may be sent
	budget   float64            // jobs that may be called back for another attempt: a retry budget
	queues   float64            // jobs that wait at a worker, by the reports of late
	fresh    []*worker          // those with fresh reports
	asked    int                // probes on demand not answered yet
	askEnd   time.Duration      // until when a dispatch waits for them
	slots    map[string]float64 // the most slots seen free at a worker of each kind
	breaches int                // sends that no slow start allows, whoever else sends
}

// release takes the attempt's charge off.
func (w *worker) release(a *attempt, now time.Duration) {
	w.out = slices.DeleteFunc(w.out, func(x *attempt) bool { return x == a })
	w.events = append(w.events, event{now, a.r.Slots, a.r.Memory, 0})
}

// seen remembers a report's mark and returns how long ago the same mark came, 0 if it is new.
func (w *worker) seen(mark uint64, now time.Duration) time.Duration {
	maps.DeleteFunc(w.marks, func(_ uint64, at time.Duration) bool { return now-at > marksFor })
	if at, ok := w.marks[mark]; ok {
		return now - at
	}
	w.marks[mark] = now
	return 0
}

// View counts the listed workers, and those of them that get no jobs at present: avoided, or not to be probed.
func (b *Balancer) View() (listed, excluded int) {
	for _, w := range b.workers {
		if b.avoids(w) || w.probeFails > 0 {
			excluded++
		}
	}
	return len(b.workers), excluded
}

// Charged is how many attempts a worker is charged with, for hosts that check their books against the balancer's.
func (b *Balancer) Charged(worker string) int {
	if w := b.byID[worker]; w != nil {
		return len(w.out)
	}
	return 0
}

// since sums what own sends and ends after t changed.
func (w *worker) since(t time.Duration) (slots, memory float64) {
	for _, e := range w.events {
		if e.at > t {
			slots, memory = slots+e.slots, memory+e.memory
		}
	}
	return slots, memory
}

// sentSince sums the work of own sends since t.
func (w *worker) sentSince(t time.Duration) (work float64) {
	for _, e := range w.events {
		if e.at >= t {
			work += e.work
		}
	}
	return work
}

// queued is how many jobs waited at a worker by its last report. Where reports do not tell, it is what the worker held
// beyond one job a taken slot. Guards against slots that are free only because a large job at the head of the queue does
// not fit: they look like room to every node, and all send there.
func (b *Balancer) queued(w *worker) float64 {
	if w.rep.Queue >= 0 || w.rep.InHand < 0 {
		return w.rep.Queue
	}
	return w.rep.InHand - max(b.slots[w.Kind]-w.rep.FreeSlots, 0)
}

// forget drops an ended request once nothing is out for it.
func (b *Balancer) forget(r *request) {
	for _, a := range r.attempts {
		if a.out {
			return
		}
	}
	delete(b.reqs, r.ID)
}

// started takes the time from a send to its start note. Guards against notes that come in pieces, and so later than the
// quickest by many times: nearly all jobs would be taken to wait, and be called back.
func (b *Balancer) started(took time.Duration) {
	b.quick = min(b.quick, took)
	step := b.s.DialTimeout / 400
	if took > b.soon {
		step *= -4
	}
	b.soon = min(max(b.soon-step, 0), b.s.DialTimeout/4)
}

// The retry budget: a share of the requests may be called back, and some are saved up. Guards against call-backs that feed
// themselves: where workers go on with what was called off, each one adds work, which makes further jobs wait.
const (
	budgetShare = 0.07
	budgetMost  = 10
)

// take keeps a worker's report.
func (b *Balancer) take(w *worker, rep *Report) {
	w.reported, w.rep = true, *rep
	b.queues += 0.1 * (max(b.queued(w), 0) - b.queues)
}

// How soon the list is asked for again. That hangs on neither the number of balancers nor the time that a dial may take: what
// discovery has to tell counts as told six seconds after it could be reached. A call that is given up on, the pause after it
// and the next call's answer have to fit in there, so that one call begins at most listEvery after the one before.
const (
	firstBackoff = 600 * time.Millisecond // silence may hide a drain
	laterBackoff = 1600 * time.Millisecond
	leastBackoff = 400 * time.Millisecond
	listEvery    = 4400 * time.Millisecond
)

// backoff draws the pause before the list is asked for again, longer with each failure, and asks to be woken then. It is spread
// widely, which guards against balancers that lost their watch together and would call together.
func (b *Balancer) backoff() time.Duration {
	pause := time.Duration(float64(firstBackoff) * b.chance())
	if b.misses > 0 {
		most := max(min(laterBackoff<<min(b.misses-1, 4), listEvery-(b.now-b.calledAt)), leastBackoff)
		pause = time.Duration(float64(most) * (0.25 + 0.75*b.chance()))
	}
	b.act.After(pause, "") // the usual wakes are a dial's time-out apart, which may be long
	return pause
}

// watch asks for the list.
func (b *Balancer) watch() {
	b.calledAt = b.now
	b.act.Watch()
}

// ran learns a class's running time. The aim is its first guess; jobs that run longer teach fast at first, which guards against
// a node that has just started and takes jobs for far smaller than they are: a cold worker would pay for it.
func (b *Balancer) ran(class int, took float64) {
	b.ends[class]++
	share := 0.05
	if took > b.run[class] {
		share = max(share, 1/float64(b.ends[class]+1))
	}
	b.run[class] += share * (took - b.run[class])
}

// credit takes account of a request: it earns probes on demand, two looks with some saved up, and a share of a call-back.
func (b *Balancer) credit() {
	b.tokens = min(b.tokens+4*look, 16*look)
	b.budget = min(b.budget+budgetShare, budgetMost)
}

// begun takes the start of an attempt. One that replaced a called-back one and did not wait has earned what that cost, and
// the share of one more: where call-backs help, they are not held back. They do not help where queues stay long all the same:
// what is called off there runs on, or all workers are jammed.
func (b *Balancer) begun(a *attempt) {
	took, n := b.now-a.sent, len(a.r.attempts)
	if n > 1 && a.r.attempts[n-1] == a && a.r.attempts[n-2].left && took < b.startsBy(a.w) {
		b.budget = min(b.budget+(1+budgetShare)/(1+b.queues/2), budgetMost)
	}
	b.started(took)
}

// recall gives an attempt up: another one is to replace it. One that has not started counts as later than any, unless its
// worker is silent, which says nothing of starts.
func (b *Balancer) recall(a *attempt, silent bool) {
	if !silent { // a silent worker does no work
		// What is known of other workers is as old as their reports: for a job much shorter than that it says little.
		b.budget -= max(1, 1.5*b.pace.Seconds()/max(b.run[a.r.Class], 1e-3))
	}
	if a.left = true; a.started == 0 && !silent {
		b.started(math.MaxInt64)
	}
}

// inOrder lists the open requests in the order in which they came.
func (b *Balancer) inOrder() []*request {
	return slices.SortedFunc(maps.Values(b.reqs), func(x, y *request) int { return cmp.Compare(x.number, y.number) })
}

// maybeRan returns the first attempt that may have run, or nil.
func (r *request) maybeRan() *attempt {
	for _, a := range r.attempts {
		if !a.never {
			return a
		}
	}
	return nil
}

// RepeatUntil is the time by which the last byte of a repeat must be written to its worker: workers drop repeats for the
// class's window only, from the first send that may have run. bound is false where there is no such time.
func (b *Balancer) RepeatUntil(id string) (until time.Duration, bound bool) {
	r := b.reqs[id]
	if r == nil || r.c.Effect != Keyed {
		return 0, false
	}
	first := r.maybeRan()
	if first == nil || first == r.attempts[len(r.attempts)-1] { // it is no repeat
		return 0, false
	}
	return first.sent + r.c.Window, true
}

// waiting reports whether an attempt that is not given up on is out.
func (r *request) waiting() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.out && !a.left })
}

// reqRate is the rate of requests, a second.
func (b *Balancer) reqRate() float64 { return b.rateN / max(b.rateT, 0.1) }

// probe asks a worker for its report.
func (b *Balancer) probe(w *worker) {
	w.probing, w.probed, w.jitter = true, b.now, 0.8+0.4*b.chance()
	b.act.Probe(w.ID)
}

// spent reports whether a request has at most this many sends left.
func (b *Balancer) spent(r *request, left int) bool {
	return r.sends > 0 && len(r.attempts)+left >= r.sends
}

// restarted drops what was known of a worker before its process started anew.
func (w *worker) restarted() {
	w.reported, w.fails, w.until, w.events = false, 0, 0, nil
	w.guess, w.pace, w.paceAt = 1, 0, 0
}

// unlist takes a worker off the list once it is not named any more.
func (w *worker) unlist() bool {
	w.inList = w.told
	return !w.told
}

// byOrder orders held jobs; of equals the earlier request comes first.
func byOrder(x, y *request) int {
	return cmp.Or(cmp.Compare(x.order, y.order), cmp.Compare(x.number, y.number))
}

// unhold takes a job off the held ones, if it is there.
func (b *Balancer) unhold(r *request) {
	if !r.held {
		return
	}
	r.held = false
	if i, ok := slices.BinarySearchFunc(b.held, r, byOrder); ok {
		b.held = slices.Delete(b.held, i, i+1)
	}
}

// chance returns the next of a seeded series of numbers in [0, 1) (splitmix64).
func (b *Balancer) chance() float64 {
	b.rnd += 0x9e3779b97f4a7c15
	z := b.rnd
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return float64((z^(z>>31))>>11) / (1 << 53)
}

// New returns a Balancer, or an error that names the setting that cannot be right.
func New(s Settings, seed uint64, act Actions) (*Balancer, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	s.Balancers = max(s.Balancers, 1)
	if s.DialTimeout == 0 {
		s.DialTimeout = time.Second / 4
	}
	b := &Balancer{
		s: s, act: act, rnd: seed, byID: map[string]*worker{}, reqs: map[string]*request{},
		slots: map[string]float64{}, run: make([]float64, len(s.Classes)), ends: make([]int, len(s.Classes)),
		patient: make([]time.Duration, len(s.Classes)), pace: s.DialTimeout, quick: s.DialTimeout,
		retryAt: -1, usual: 1, budget: 1,
	}
	for i, c := range s.Classes {
		b.run[i] = c.Aim.Seconds()
		if b.tight == 0 || b.run[i] < b.tight {
			b.tight = b.run[i]
		}
	}
	return b, nil
}

// member keeps one entry of the list.
func (b *Balancer) member(m Worker) {
	w := b.byID[m.ID]
	if w == nil {
		w = b.stranger(m)
		w.probed, w.jitter = b.now, b.chance()/4
	} else if m.Started > w.Started && (w.shownAt == 0 || m.Started <= b.now) { // restarted: what was known of it is void
		w.restarted()
		w.probed = 0 // probe at once
	}
	if m.Started > w.toldStart {
		b.warmsUp(w, m)
	}
	if known := m.Started; known <= w.toldStart { // the list has not heard yet of a restart that a probe has shown
		m.Started = max(known, w.Started)
	} else {
		w.toldStart = known
	}
	if !w.inList { // a place drawn by chance, so that balancers ask round in orders of their own
		w.inList = true
		b.workers = append(b.workers, w)
		n := len(b.workers)
		i := int(b.chance() * float64(n))
		b.workers[i], b.workers[n-1] = w, b.workers[i]
	}
	w.Worker, w.told, w.reach = m, m.State != Gone, 0
	if m.Zone != b.s.Zone {
		w.reach = b.s.DialTimeout / 4
	}
}

// Check names the setting that cannot be right.
func (s *Settings) Check() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("balance: Classes: none given")
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"DialTimeout", float64(s.DialTimeout)}, {"Step", float64(s.Step)}, {"Progress", float64(s.Progress)},
		{"ColdFor", float64(s.ColdFor)}, {"FallAfter", float64(s.FallAfter)}, {"ColdFrom", s.ColdFrom},
		{"FallMultiple", s.FallMultiple}, {"PriceProbe", s.PriceProbe}, {"Balancers", float64(s.Balancers)},
		{"MaxAttempts", float64(s.MaxAttempts)}, {"RetryAfter", float64(s.RetryAfter)},
	} {
		if !(f.value >= 0) {
			return fmt.Errorf("balance: %s: %v is out of range", f.name, f.value)
		}
	}
	for i, c := range s.Classes {
		switch {
		case c.Aim < 0:
			return fmt.Errorf("balance: Classes[%d].Aim: negative", i)
		case c.Deadline <= 0:
			return fmt.Errorf("balance: Classes[%d].Deadline: not above zero", i)
		case c.Window < 0:
			return fmt.Errorf("balance: Classes[%d].Window: negative", i)
		case c.Effect < Safe || c.Effect > Unsafe:
			return fmt.Errorf("balance: Classes[%d].Effect: unknown", i)
		case c.Scope < AllWorkers || c.Scope > SameCell:
			return fmt.Errorf("balance: Classes[%d].Scope: unknown", i)
		}
	}
	return nil
}
