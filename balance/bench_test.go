package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// size is what a world of the benchmarks holds. The target is a site of 670 workers with 2,500 jobs running.
type size struct{ workers, queue, running, tenants, nodes int }

var target = size{workers: 670, running: 2500, tenants: 160, nodes: 1}

// idle is a host that only remembers where the last job went.
type idle struct{ worker string }

func (h *idle) Send(_, worker string)        { h.worker = worker }
func (h *idle) Refuse(string, time.Duration) {}
func (h *idle) Fail(string)                  {}
func (h *idle) Cancel(string, int)           {}
func (h *idle) Probe(string)                 {}
func (h *idle) Watch()                       {}
func (h *idle) Fetch()                       {}
func (h *idle) After(time.Duration, string)  {}

// tuned is the settings of a site with one class for each tenant. Reports tell what is held, and starts are told.
func tuned(z size) Settings {
	s := Settings{
		Balancers: z.nodes, Zone: "z0", MaxAttempts: 4, MayCancel: true, MayProbe: true, SecondCopies: true, DialTimeout: 250 * time.Millisecond,
		Step: time.Millisecond, TellsStart: true, InOrder: true, TellsQueue: true, Progress: time.Second, RetryAfter: 2 * time.Second,
		ColdFrom: 0.13, ColdFor: 20 * time.Second, FallMultiple: 3, FallAfter: 3 * time.Second,
		PriceWaste: 0.04, PriceLateFail: 0.08, PriceProbe: 0.002,
	}
	for i := range z.tenants {
		s.Classes = append(s.Classes, Class{Name: fmt.Sprint("tenant", i), Aim: 2 * time.Minute, Deadline: time.Hour, Stretch: 2, Worth: 1, LateWorth: 0.5})
	}
	return s
}

func entries(n int) []Worker {
	list := make([]Worker, n)
	for i := range list {
		list[i] = Worker{ID: fmt.Sprint("w", i), Zone: fmt.Sprint("z", i%3), Kind: "k", State: Ready}
	}
	return list
}

// still is a balancer with a site's state, on a clock that hardly moves: all reports are fresh, and where jobs are queued
// no worker has room.
type still struct {
	*Balancer
	h    *idle
	z    size
	list []Worker
	at   time.Duration
	n    int
	jobs []Outcome // that run
}

func (w *still) tick() time.Duration { w.at += time.Microsecond; return w.at }

func (w *still) accept() Outcome {
	w.n++
	q := Request{ID: fmt.Sprint("r", w.n), Class: w.n % w.z.tenants, Slots: 1, Patience: time.Hour, Work: 20 * time.Second}
	w.h.worker = ""
	w.Accept(w.tick(), q)
	return Outcome{Request: q.ID, Worker: w.h.worker, Result: OK, Final: true}
}

// tell brings a worker's report, a new one each time.
func (w *still) tell(id string, free float64) {
	w.n++
	if k := w.byID[id]; len(k.marks) >= 30 { // one a second for as long as they are kept
		clear(k.marks)
	}
	w.Probed(w.tick(), id, OK, &Report{FreeSlots: free, FreeMemory: -1, Queue: -1, InHand: float64(w.Charged(id)), Mark: uint64(w.n)})
}

func settle(tb testing.TB, z size) *still {
	w := &still{h: &idle{}, z: z, list: entries(z.workers), at: time.Hour}
	var err error
	if w.Balancer, err = New(tuned(z), 1, w.h); err != nil {
		tb.Fatal(err)
	}
	w.Members(w.tick(), ListFull, w.list)
	slots := float64((z.running+z.workers-1)/z.workers + 4)
	for _, m := range w.list {
		w.tell(m.ID, slots)
	}
	for range z.running {
		o := w.accept()
		if o.Worker == "" {
			tb.Fatal("a job was not placed")
		}
		w.Note(w.tick(), o.Request, 0, Started, 0)
		w.jobs = append(w.jobs, o)
	}
	w.at += 4 * time.Second // what was sent is past the window of reports
	for _, o := range w.jobs {
		w.Note(w.tick(), o.Request, 0, Advancing, 0.2)
	}
	for _, m := range w.list {
		free := slots - float64(w.Charged(m.ID))
		if z.queue > 0 {
			free = 0
		}
		w.tell(m.ID, free)
	}
	fresh := w.fresh
	w.fresh = nil // else each job would be offered to all workers while the queue is filled
	for range z.queue {
		w.accept()
	}
	w.fresh = fresh
	if len(w.held) != z.queue || len(w.fresh) != z.workers {
		tb.Fatalf("%+v: %d held, %d fresh", z, len(w.held), len(w.fresh))
	}
	return w
}

// events are the events that are measured, each with what brings the state back where that is needed.
var events = []struct {
	name string
	do   func(w *still, i int)
}{
	{"report", func(w *still, i int) { // one that changes nothing
		m := w.list[i%len(w.list)].ID
		w.tell(m, w.byID[m].rep.FreeSlots)
	}},
	{"list", func(w *still, _ int) { w.Members(w.tick(), ListFull, w.list) }},
	{"change", func(w *still, i int) { i %= len(w.list); w.Members(w.tick(), ListChanges, w.list[i:i+1]) }},
	{"note", func(w *still, i int) { // of a job that runs
		if len(w.jobs) > 0 {
			w.Note(w.tick(), w.jobs[i%len(w.jobs)].Request, 0, Advancing, 0.3)
		}
	}},
	{"timer", func(w *still, _ int) { w.Timer(w.tick(), "") }},
	{"know", func(w *still, _ int) { w.Know() }},
	{"rooms", func(w *still, _ int) { w.Rooms(w.at) }},
}

// measure measures all events at one size. A decision is a job's taking, and its placing unless the queue keeps it.
func measure(b *testing.B, axis string, n int, z size) {
	b.Run(fmt.Sprintf("%s=%d", axis, n), func(b *testing.B) {
		w := settle(b, z)
		b.Run("decide", func(b *testing.B) {
			b.ReportAllocs()
			var taken []Outcome
			for range b.N {
				if taken = append(taken, w.accept()); len(taken) < 32 {
					continue
				}
				b.StopTimer()
				for _, o := range taken {
					w.undo(o)
				}
				taken = taken[:0]
				b.StartTimer()
			}
			b.StopTimer()
			for _, o := range taken {
				w.undo(o)
			}
		})
		for _, e := range events {
			b.Run(e.name, func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					e.do(w, i)
				}
			})
		}
	})
}

// undo ends a job that was taken for a measurement, at no cost that grows: nobody is fresh meanwhile.
func (w *still) undo(o Outcome) {
	fresh := w.fresh
	w.fresh = nil
	if o.Worker == "" {
		w.Vanished(w.tick(), o.Request)
	} else {
		w.Done(w.tick(), o)
		k := w.byID[o.Worker]
		k.events = k.events[:max(0, len(k.events)-2)]
	}
	w.fresh = fresh
}

func BenchmarkWorkers(b *testing.B) {
	for _, n := range []int{20, 80, 200, 335, 670, 1000} {
		z := target
		z.workers, z.running = n, n*target.running/target.workers
		measure(b, "workers", n, z)
	}
}

func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{0, 100, 500, 1000, 2500} {
		z := target
		z.queue = n
		measure(b, "queue", n, z)
	}
}

func BenchmarkRunning(b *testing.B) {
	for _, n := range []int{0, 250, 500, 1000, 2500} {
		z := target
		z.running = n
		measure(b, "running", n, z)
	}
}

func BenchmarkTenants(b *testing.B) {
	for _, n := range []int{10, 40, 80, 160} {
		z := target
		z.tenants = n
		measure(b, "tenants", n, z)
	}
}

// moment is something that is to happen.
type moment struct {
	at  time.Duration
	seq int
	run func()
}

type moments []moment

func (q moments) Len() int { return len(q) }
func (q moments) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q moments) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *moments) Push(x any)   { *q = append(*q, x.(moment)) }
func (q *moments) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// site is a host on virtual time: one node's share of the target, with all the events that it brings. The other nodes'
// jobs stand in the reports.
type site struct {
	b       *Balancer
	z       size
	rnd     *rand.Rand
	now     time.Duration
	seq     int
	queue   moments
	own     map[string]int
	others  map[string]int
	spent   time.Duration // in the balancer
	counts  struct{ reports, sends, notes, timers, refused int }
	seconds float64 // that a job runs
}

const (
	startsASecond = 110
	slotsEach     = 8
	renewedEvery  = time.Second // workers make a new report so often
)

func (s *site) at(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, moment{s.now + max(d, 0), s.seq, run})
}

// call enters the balancer, and counts the time that it takes.
func (s *site) call(f func()) {
	start := time.Now()
	f()
	s.spent += time.Since(start)
}

func (s *site) report(id string) *Report {
	held := s.own[id] + s.others[id]
	free := max(0, slotsEach-held)
	return &Report{FreeSlots: float64(free), FreeMemory: -1, Queue: -1, InHand: float64(held),
		Mark: uint64(s.now/renewedEvery)<<16 | uint64(held)}
}

func (s *site) Send(id, worker string) {
	s.counts.sends++
	s.own[worker]++
	run := time.Duration(s.seconds * s.rnd.ExpFloat64() * float64(time.Second))
	note := func(d time.Duration, kind NoteKind) {
		s.at(2*time.Millisecond+d, func() {
			s.counts.notes++
			s.call(func() { s.b.Note(s.now, id, 0, kind, min(1, float64(d)/float64(run+1))) })
		})
	}
	note(0, Started)
	for d := time.Second; d < run; d += time.Second {
		note(d, Advancing)
	}
	s.at(2*time.Millisecond+run, func() {
		s.own[worker]--
		s.call(func() {
			s.b.Done(s.now, Outcome{Request: id, Worker: worker, Result: OK, Took: run, Final: true, Report: s.report(worker)})
		})
	})
}
func (s *site) Refuse(string, time.Duration) { s.counts.refused++ }
func (s *site) Fail(string)                  { s.counts.refused++ }
func (s *site) Cancel(string, int)           { s.counts.refused++ }
func (s *site) Watch()                       {}
func (s *site) Fetch()                       {}
func (s *site) Probe(worker string) {
	s.at(time.Millisecond, func() {
		s.counts.reports++
		s.call(func() { s.b.Probed(s.now, worker, OK, s.report(worker)) })
	})
}
func (s *site) After(d time.Duration, id string) {
	if id != "" && d > time.Hour/2 { // patience, which no job here outlasts
		return
	}
	s.at(d, func() {
		s.counts.timers++
		s.call(func() { s.b.Timer(s.now, id) })
	})
}

func (s *site) until(t time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= t {
		m := heap.Pop(&s.queue).(moment)
		s.now = m.at
		m.run()
	}
	s.now = t
}

func (s *site) arrive(n int) {
	s.at(time.Duration(s.rnd.ExpFloat64()/startsASecond*float64(s.z.nodes)*float64(time.Second)), func() {
		q := Request{ID: fmt.Sprint("r", n), Class: s.rnd.IntN(s.z.tenants), Slots: 1, Patience: time.Hour, Work: time.Duration(s.seconds * float64(time.Second))}
		s.call(func() { s.b.Accept(s.now, q) })
		s.arrive(n + 1)
	})
}

// BenchmarkSecond is what one second of the target costs a node, by how many nodes share the work.
func BenchmarkSecond(b *testing.B) {
	for _, nodes := range []int{1, 10, 100} {
		z := target
		z.nodes = nodes
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			s := &site{z: z, rnd: rand.New(rand.NewPCG(1, 2)), now: time.Hour, own: map[string]int{}, others: map[string]int{},
				seconds: float64(z.running) / startsASecond}
			var err error
			if s.b, err = New(tuned(z), 1, s); err != nil {
				b.Fatal(err)
			}
			list := entries(z.workers)
			for range z.running - z.running/nodes {
				s.others[list[s.rnd.IntN(len(list))].ID]++
			}
			s.call(func() { s.b.Members(s.now, ListFull, list) })
			s.b.Learn(s.now, Knowledge{Slots: map[string]float64{"k": slotsEach}}) // what an idle worker has is known
			s.arrive(0)
			s.until(s.now + time.Minute)
			b.Run("all", func(b *testing.B) {
				b.ReportAllocs()
				s.spent = 0
				before := s.counts
				for range b.N {
					s.until(s.now + time.Second)
				}
				n := float64(b.N)
				b.ReportMetric(float64(s.spent)/n, "module-ns/op")
				b.ReportMetric(float64(s.counts.reports-before.reports)/n, "reports/op")
				b.ReportMetric(float64(s.counts.notes-before.notes)/n, "notes/op")
				b.ReportMetric(float64(s.counts.timers-before.timers)/n, "timers/op")
				b.ReportMetric(float64(s.counts.sends-before.sends)/n, "sends/op")
				b.ReportMetric(float64(s.counts.refused-before.refused)/n, "refused/op")
			})
		})
	}
}
