package fleetsim

import (
	"math/rand/v2"
	"time"

	"swiftdeal/internal/membership"
)

// Figures are what is measured of a fleet of a size.
type Figures struct {
	Members                    int
	Loss                       float64
	First, Known               []float64 // periods from a crash until somebody suspects it, and until all hold it for dead
	Healed                     []float64 // periods from the end of a split in two until all views are right and equal
	Bytes, Datagrams           float64   // a second for each node, with nothing going on
	FalsePerMillion, Suspected float64   // deaths of the living, and suspicions, for a million periods of members
	MemberPeriods              float64
}

// Measure plays crashes, a split, and a calm stretch.
func Measure(n int, loss float64, crashes int, calm float64, seed uint64) (f Figures) {
	f.Members, f.Loss = n, loss
	p := with(calmPlan(n, 1e5), func(p *Plan) { p.Loss, p.Seed, p.MaxMembers, p.Forget = loss, seed, n+1, 1e5 })
	w := build(&p, false)
	for i := range n {
		w.start(i, addr(i), false, false)
	}
	for _, p := range w.processes { // each tells its load, which changes all the time
		w.digests(p)
	}
	w.until(periods(30+float64(n)/20), nil)
	f.measureCalm(w, calm)
	r := source(seed, 5)
	for range crashes {
		f.measureCrash(w, r)
	}
	if n > 1 && loss == 0 {
		f.measureSplit(w)
	}
	return f
}

// measureCalm measures traffic and wrong suspicions for so many periods in which nothing goes on.
func (f *Figures) measureCalm(w *Simulation, calm float64) {
	members := float64(f.Members)
	bytes, datagrams, begin := w.outcome.Bytes, w.outcome.Datagrams, w.now
	falseDeaths, suspicions := w.outcome.FalseDeaths, 0
	w.onView = func(p *process, c membership.Change) {
		if c.Event == "suspected" && c.ReportedBy == p.name {
			suspicions++
		}
	}
	w.until(w.now+periods(calm), nil)
	took := (w.now - begin).Seconds()
	f.Bytes = float64(w.outcome.Bytes-bytes) / took / members
	f.Datagrams = float64(w.outcome.Datagrams-datagrams) / took / members
	f.MemberPeriods = calm * members
	f.FalsePerMillion = float64(w.outcome.FalseDeaths-falseDeaths) / f.MemberPeriods * 1e6
	f.Suspected = float64(suspicions) / f.MemberPeriods * 1e6
}

// measureCrash ends a process, measures until it is suspected and until all know of its death, and starts it again.
func (f *Figures) measureCrash(w *Simulation, r *rand.Rand) {
	dead := w.processes[r.IntN(f.Members)]
	for !dead.running {
		dead = w.processes[r.IntN(f.Members)]
	}
	w.until(w.now+time.Duration(r.Float64()*float64(Period)), nil)
	w.end(dead)
	at, first, left := w.now, time.Duration(-1), 0
	for _, p := range w.processes {
		if p.running {
			left++
		}
	}
	w.onView = func(p *process, c membership.Change) {
		if c.Name == dead.name && c.Event == "suspected" && first < 0 {
			first = w.now - at
		}
		if c.Name == dead.name && c.Event == "died" {
			left--
		}
	}
	w.until(w.now+periods(200), func() bool { return left <= 0 })
	f.First = append(f.First, first.Seconds()/Period.Seconds())
	f.Known = append(f.Known, (w.now-at).Seconds()/Period.Seconds())
	w.onView = nil
	w.digests(w.start(dead.index, dead.addr, false, false))
	w.until(w.now+periods(20), nil)
}

// measureSplit splits the fleet in two, and measures from the end of the split until all views are right and equal.
func (f *Figures) measureSplit(w *Simulation) {
	w.cut(periods(60), func(a, b int) bool { return a%2 != b%2 })
	w.until(w.now+periods(60), nil)
	at := w.now
	for w.divergence() != "" && w.now < at+periods(300) {
		w.until(w.now+Period/2, nil)
	}
	f.Healed = append(f.Healed, (w.now-at).Seconds()/Period.Seconds())
}

// ControlPlaneFigures are what is measured of a council.
type ControlPlaneFigures struct {
	Waits            []float64  // periods from a wish to the exit, with nothing else out
	Leader           []float64  // periods from a leader's end to the next one
	Datagrams, Bytes [2]float64 // a second, sent by a seat and by another node
}

// MeasureControlPlane has nodes drained and called back one after the other, and the leader killed now and then.
func MeasureControlPlane(n int, loss float64, times int, seed uint64) (f ControlPlaneFigures) {
	p := with(agreed(n, 1, 1e6), func(p *Plan) { p.Loss, p.Seed, p.MaxMembers, p.Forget = loss, seed, n+1, 1e6 })
	w := build(&p, false)
	for i := range n {
		w.start(i, addr(i), false, false)
	}
	w.until(periods(40+float64(n)/10), nil)
	sent := func() (d, b [2]float64) {
		for _, q := range w.processes {
			k := 1
			if q.index < p.Replicas {
				k = 0
			}
			d[k] += float64(q.datagrams)
			b[k] += float64(q.bytes)
		}
		return d, b
	}
	d0, b0 := sent()
	at := w.now
	w.until(w.now+periods(60), nil)
	d1, b1 := sent()
	for k, of := range []int{p.Replicas, n - p.Replicas} {
		span := (w.now - at).Seconds() * float64(max(of, 1))
		f.Datagrams[k], f.Bytes[k] = (d1[k]-d0[k])/span, (b1[k]-b0[k])/span
	}
	r := source(seed, 3)
	for i := range times {
		t := p.Replicas + r.IntN(n-p.Replicas)
		w.truth.operatorCall(&Fault{Kind: "drain", Target: t, Amount: float64(r.IntN(n))}, t)
		before := len(w.truth.waits)
		w.until(w.now+periods(60), func() bool { return len(w.truth.waits) > before })
		w.until(w.now+periods(2), nil)
		for range 5 {
			w.truth.operatorCall(&Fault{Kind: "resume", Target: t}, t)
			w.until(w.now+periods(20), func() bool { return !w.truth.exits[name(t)] })
		}
		w.until(w.now+periods(5), nil)
		if i%10 != 9 {
			continue
		}
		for _, q := range w.processes {
			if q.running && q.replica.core.MayBeReplica() && q.replica.core.Consensus().IsLeader() {
				end := w.now
				w.end(q)
				leads := func() bool { s, _ := w.truth.leader(); return s != nil }
				if w.until(w.now+periods(60), leads) {
					f.Leader = append(f.Leader, (w.now-end).Seconds()/Period.Seconds())
				}
				w.start(q.index, q.addr, false, false)
				w.until(w.now+periods(20), nil)
				break
			}
		}
	}
	f.Waits = w.truth.waits
	return f
}
