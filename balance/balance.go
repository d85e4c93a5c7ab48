package balance

// All decisions of the balancer. The interface (types, events, actions) is in api.go.
//
// Ordinary path: set aside the workers that lack a resource the job needs (time is one: see slow), express
// each resource's free room as the number of such jobs that fit (last report less own charges since), and
// push the job to the worker whose smallest figure is largest; never to a full one.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// probeShare is what probes ahead of need may cost, as a share of the worth asked for.
const probeShare = 0.005

// look is how many workers with fresh reports a job is to choose from. Two are best where reports are old:
// the more nodes compare, the more of them choose the same few.
const look = 2

// Members takes a list of workers, or the failure to get one.
func (b *Balancer) Members(now time.Duration, kind List, list []Worker) {
	if b.now = now; b.lastReq == 0 {
		b.lastReq, b.born = now, now // rates count from here
	}
	switch kind {
	case ListFailed: // jittered, and soon: silence may hide a drain
		b.retryAt = now + b.backoff()
		b.misses++
	case ListMoved: // failures so far say nothing of the new place
		b.misses, b.retryAt = 0, -1
		b.watch()
	case ListFull, ListCached:
		for _, w := range b.workers {
			w.told = false
		}
		fallthrough
	default:
		for _, m := range list {
			b.member(m)
		}
		b.workers = slices.DeleteFunc(b.workers, (*worker).unlist)
		if kind == ListFull || kind == ListChanges {
			b.misses, b.retryAt = 0, -1
		} else if kind == ListCached && b.s.MustAsk { // a restarted node knows only a stale list: ask at once
			b.watch()
		}
	}
	b.tend()
}

// Accept takes a request; the balancer now owes it exactly one final answer.
func (b *Balancer) Accept(now time.Duration, q Request) {
	b.now = now
	if q.Class < 0 || q.Class >= len(b.s.Classes) || b.reqs[q.ID] != nil {
		return
	}
	q.Slots = cmp.Or(max(q.Slots, 0), 1)
	c := &b.s.Classes[q.Class]
	b.patient[q.Class] = max(b.patient[q.Class], q.Patience)
	spent := b.patient[q.Class] - q.Patience // by the client's earlier tries
	margin := min(max(2*b.s.Step, 10*time.Millisecond), q.Patience/2)
	r := &request{Request: q, c: c, sends: b.s.MaxAttempts, number: b.taken}
	r.aim, r.end = now-spent+c.Aim, now+q.Patience-margin
	gap := (now - b.lastReq).Seconds()
	keep := math.Exp(-gap / 4) // a plain average at first, later the last seconds weigh most
	b.rateN, b.rateT = b.rateN*keep+1, b.rateT*keep+gap
	b.lastReq, b.taken = now, b.taken+1
	b.credit()
	b.reqs[q.ID] = r
	b.act.After(r.end-now, q.ID)
	if b.hold(r); b.doomed(r) {
		b.answer(r)
	}
	b.tend()
}

// Ends takes the news that this balancer will be stopped. Jobs that cannot end by then are answered at once,
// those that run too where that is harmless, so that their clients ask another in time.
func (b *Balancer) Ends(now, at time.Duration) {
	b.now, b.endsAt = now, at
	for _, r := range b.inOrder() {
		if b.doomed(r) && b.mayRefuse(r) && !b.hopeless(r) {
			b.answer(r)
		}
	}
	b.tend()
}

// doomed reports whether a job will still run when this balancer is stopped, by what it has done so far or,
// if that is not known, by its hint at the usual pace.
func (b *Balancer) doomed(r *request) bool {
	rest := r.Work.Seconds() / b.usual
	for _, a := range r.attempts {
		if a.out && a.share > 0 {
			rest = (a.shareAt-a.started).Seconds()*(1-a.share)/a.share - (b.now - a.shareAt).Seconds()
		}
	}
	return b.endsAt > 0 && r.Work > 0 && rest > (b.endsAt-b.now).Seconds()
}

// Note takes news about an attempt that is still out.
func (b *Balancer) Note(now time.Duration, id string, n int, kind NoteKind, share float64) {
	b.now = now
	if r := b.reqs[id]; r != nil && n >= 0 && n < len(r.attempts) && r.attempts[n].out {
		a := r.attempts[n]
		a.w.heard, a.heard = now, now
		if a.started == 0 {
			a.started, a.shareAt = now, now
			b.begun(a)
			step := math.Copysign(b.quick.Seconds()*8, (now-a.sent).Seconds()-b.delay)
			b.delay = max(0, b.delay+step) // about the median: a few long waits say little of the next
		}
		if kind == Advancing {
			b.learn(a, share)
		}
		a.w.fails = 0
	}
	b.tend()
}

// paceFor is how long a worker's pace is taken to hold: slow spells pass, and one set aside is not heard of.
const paceFor = 5 * time.Second

// learn takes a worker's pace from how far a job has come since its last note.
func (b *Balancer) learn(a *attempt, share float64) {
	span := (b.now - a.shareAt).Seconds()
	if a.started == 0 || a.r.Work == 0 || span < 0.05 || !(share > a.share && share <= 1) {
		return
	}
	v := (share - a.share) * a.r.Work.Seconds() / span
	if a.w.pace == 0 || b.now-a.w.paceAt > paceFor {
		a.w.pace = v
	}
	a.w.pace += 0.5 * (v - a.w.pace)
	if b.warmth(a.w) == 1 {
		b.usual += 0.05 * (v - b.usual)
	}
	a.w.paceAt, a.share, a.shareAt = b.now, share, b.now
}

// slow reports whether a job would miss its aim on a worker: time is one more resource that it lacks. It goes
// by the pace last seen there, and by what the slots of a large job get of a cold worker's capacity.
func (b *Balancer) slow(w *worker, r *request) bool {
	pace, share := b.usual, b.share(w, r)
	if b.now-w.paceAt <= paceFor && w.pace > 0 {
		pace = w.pace
	} else if share == 1 {
		return false
	}
	return r.Work > 0 && r.c.LateWorth == 0 && r.Work.Seconds()/(pace*share) > b.left(r)
}

// left is the time in seconds that a job may still take if it starts now and is to meet its aim.
func (b *Balancer) left(r *request) float64 {
	return (r.aim - b.now).Seconds() + r.c.Stretch*r.Work.Seconds()
}

// Done takes the end of an attempt.
func (b *Balancer) Done(now time.Duration, o Outcome) {
	b.now = now
	if w := b.byID[o.Worker]; w != nil && o.Report != nil {
		b.report(w, o.Report)
	}
	r := b.reqs[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].out {
		return
	}
	a := r.attempts[o.Attempt]
	a.out = false
	a.never = o.Result == Full || o.Result == ConnectFailed || o.Result == Moot
	a.w.release(a, now)
	b.judge(a, o)
	if o.Final && !r.over {
		b.close(r)
	}
	if r.over {
		b.forget(r)
	} else if !r.held && !r.waiting() {
		b.again(r)
	}
	b.tend()
}

// judge learns from an outcome: running times, and the worker's health. A worker that errors frees its
// charges and would keep winning: bad signs back it off, longer each time; then one trial readmits it.
func (b *Balancer) judge(a *attempt, o Outcome) {
	w := a.w
	switch o.Result {
	case OK:
		w.fails, w.heard = 0, b.now
		b.learn(a, 1)
		from := max(a.sent, a.started)
		b.ran(a.r.Class, (b.now - from).Seconds())
		w.guess = max(w.guess, float64(len(w.out)+2))
	case Full:
		w.guess, w.probed = max(1, math.Floor(w.guess/2)), 0
		w.rep.FreeSlots = min(w.rep.FreeSlots, 0) // until the next report
		fallthrough
	case Error, ConnectFailed, Reset, TimedOut:
		if o.Result >= ConnectFailed && b.s.MayProbe {
			// Guards against sends to a process that is gone, or back and cold: a probe tells.
			w.probeFails = max(w.probeFails, 1)
			if !w.probing {
				b.probe(w)
			}
		}
		w.fails++
		wait := float64(b.s.DialTimeout) * float64(int(1)<<min(w.fails-1, 4)) * (0.75 + 0.5*b.chance())
		w.until = b.now + time.Duration(wait)
	}
}

// Probed takes the result of a probe.
func (b *Balancer) Probed(now time.Duration, id string, res Result, rep *Report) {
	b.now = now
	w := b.byID[id]
	if w == nil {
		return
	}
	w.probing = false
	if w.asked {
		w.asked = false
		b.asked--
	}
	w.mute = res == TimedOut || res == ConnectFailed || res == Reset
	if res == OK {
		if rep == nil && w.reported {
			// Guards against a worker that has restarted before the list tells: only a process that has just
			// started has no report yet. Its slots are all free, and it is cold.
			w.restarted()
			w.Started, w.warmFrom, w.shownAt = now, now, now
		}
		w.probeFails, w.heard, b.mute, b.okAt = 0, now, 0, now
		if rep != nil {
			b.report(w, rep)
		}
		if w.seenAt = now; !w.listed {
			w.listed = true
			b.fresh = append(b.fresh, w)
		}
	} else {
		w.probeFails++
		b.mute++
	}
	b.tend()
}

// horizon is how long a report stays fresh: until rivals, taken to send as much as this balancer,
// have sent a worker one job, but no shorter than reports are renewed.
func (b *Balancer) horizon() time.Duration {
	rivals := b.reqRate() * float64(b.s.Balancers-1)
	t := float64(len(b.workers)) / max(rivals, 1e-3)
	return max(time.Duration(min(t, 1e3)*float64(time.Second)), b.pace)
}

// report takes a worker's report; one with values missing or out of range is not used as room.
func (b *Balancer) report(w *worker, rep *Report) {
	if !(rep.FreeSlots >= 0 && rep.FreeSlots < math.MaxInt32) || math.IsNaN(rep.FreeMemory+rep.Queue) {
		return
	}
	fresh := !w.reported || rep.Mark != w.rep.Mark
	// The pace of probes follows that of fresh reports: three in four probes should bring one.
	if !fresh {
		b.pace = min(b.pace*109/100, 8*b.s.DialTimeout)
		return
	}
	if w.reported {
		b.pace = max(b.pace*97/100, b.s.DialTimeout/8)
	}
	if ago := w.seen(rep.Mark, b.now); ago > 0 {
		b.past(ago)
	}
	b.take(w, rep)
	w.measured = b.now - b.pace // a report is older than its arrival, by about as much as renewals are apart
	w.capSlots = max(w.capSlots, math.Round(rep.FreeSlots))
	w.capMem = max(w.capMem, rep.FreeMemory)
	b.slots[w.Kind] = max(b.slots[w.Kind], w.capSlots)
	old := min(w.measured-b.pace, b.now-b.s.FallAfter)
	w.events = slices.DeleteFunc(w.events, func(e event) bool { return e.at < old })
}

// marksFor is how long a worker's reports are remembered by their marks.
const marksFor = 30 * time.Second

// past notes a report that repeats an older one, which guards against reports that come seconds late:
// when three in a row agree on the delay, they are not used as room for twice that time.
func (b *Balancer) past(ago time.Duration) {
	if b.repeats++; (ago - b.behind).Abs() > 4*b.pace {
		b.repeats = 0
	}
	if b.behind = ago; b.repeats >= 3 {
		b.blindTo = b.now + 2*ago
	}
}

// Vanished takes the news that the client has left.
func (b *Balancer) Vanished(now time.Duration, id string) {
	b.now = now
	if r := b.reqs[id]; r != nil && !r.over {
		b.close(r)
	}
	b.tend()
}

// Timer takes a timer's end.
func (b *Balancer) Timer(now time.Duration, id string) {
	b.now = now
	if r := b.reqs[id]; id != "" && r != nil && !r.over && now+b.s.Step >= r.end { // not an earlier one's
		b.answer(r)
	}
	b.move()
	b.tend()
}

// answer gives the final answer to a request that was not served: a refusal where a new try is
// harmless, a failure otherwise.
func (b *Balancer) answer(r *request) {
	if b.mayRefuse(r) {
		b.act.Refuse(r.ID, b.comeBack(r))
	} else {
		b.act.Fail(r.ID)
	}
	b.close(r)
}

// mayRefuse reports whether a new try of the client is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.c.Effect == Safe || (r.c.Effect == Keyed && r.c.Scope == AllWorkers) || r.maybeRan() == nil
}

// comeBack is what a refused client is told to wait. Once its aim is lost a new try earns nothing and only
// takes room from others: as long as may be. Before, until a slot is likely free.
func (b *Balancer) comeBack(r *request) time.Duration {
	if r.c.LateWorth == 0 && b.slack(r) < 0 {
		return b.s.RetryAfter
	}
	return min(b.s.RetryAfter, b.s.DialTimeout+time.Duration(b.delay*float64(time.Second)))
}

// close ends a request; what is still out for it is waste and is called off.
func (b *Balancer) close(r *request) {
	r.over = true
	b.unhold(r)
	for i, a := range r.attempts {
		if a.out && b.s.MayCancel {
			b.act.Cancel(r.ID, i)
		}
	}
	b.forget(r)
}

// again holds a request for another attempt if its class allows one, and ends it otherwise.
func (b *Balancer) again(r *request) {
	a := r.maybeRan()
	barred := a != nil && (r.c.Effect == Unsafe || (r.c.Effect == Keyed && b.now-a.sent >= r.c.Window))
	if b.hold(r); b.spent(r, 0) || barred {
		b.answer(r)
	}
}

// hold keeps a job here until a worker has room, ordered by when it must start.
func (b *Balancer) hold(r *request) {
	r.held = true
	r.order = (b.now).Seconds() + b.slack(r)
	i, _ := slices.BinarySearchFunc(b.held, r, byOrder)
	b.held = slices.Insert(b.held, i, r)
}

// slack is the time left in which a held job must start to meet its aim. Without a hint only the aim's fixed
// part counts: most jobs are far shorter than the mean. What jobs wait at their workers comes off.
func (b *Balancer) slack(r *request) float64 {
	return (r.aim - b.now).Seconds() - b.delay + r.Work.Seconds()*max(r.c.Stretch-1, 0)/2
}

// dispatch sends held jobs while a worker has room for them, the most urgent first and those whose aim is
// lost last. A job that finds too few fresh reports to choose by first has a few more workers probed. Where
// sent jobs cannot be called back, none is sent whose aim is lost, nor any while the usual start comes later
// than the tightest aim: long jobs would keep queues too long for short ones.
func (b *Balancer) dispatch() {
	if !b.s.TellsQueue || b.now >= b.wakeAt {
		b.expire()
	}
	jam := !b.s.TellsQueue && b.delay > b.tight
	if len(b.held) == 0 || len(b.workers) == 0 || jam || (b.asked > 0 && b.now < b.askEnd) {
		return
	}
	old := b.now - b.horizon()
	b.fresh = slices.DeleteFunc(b.fresh, func(w *worker) bool {
		w.listed = w.seenAt >= old && w.told
		return !w.listed
	})
	late := func(r *request, t float64) int { return cmp.Compare(r.order, t) }
	first, _ := slices.BinarySearchFunc(b.held, b.now.Seconds(), late)
	queue := slices.Concat(b.held[first:], b.held[:first])
	misses := 0
	for _, r := range queue {
		w, n := b.pick(r)
		if r.looks == 0 && n < look && b.ask(r, look-n) {
			return
		}
		if w != nil {
			b.unhold(r)
			b.send(r, w)
			continue
		}
		if misses == 0 && b.ask(r, look) {
			return
		}
		if misses++; misses > len(b.fresh) {
			return
		}
	}
}

// ask probes up to n workers that could run r and have no fresh report: first cold ones, at which
// few may look, then round in an order drawn by chance; of the own zone where crossing costs, and any from
// the second look on. It reports whether answers are to be waited for.
func (b *Balancer) ask(r *request, n int) bool {
	r.looks++
	ran, far := r.maybeRan(), r.looks > 1 || len(r.attempts) > 0 || b.s.PriceCross == 0
	look := func(w *worker) {
		if n <= 0 || b.tokens < 1 || w.probing || w.listed || b.now < w.probed+b.rest(w) ||
			(!far && w.Zone != b.s.Zone) || !b.able(w, r, ran) {
			return
		}
		n--
		b.tokens--
		b.probe(w)
		w.asked = true
		b.asked++
		b.askEnd = max(b.askEnd, b.now+b.startsBy(w))
		b.act.After(b.askEnd-b.now, "")
	}
	if b.s.MayProbe {
		for _, w := range b.workers {
			if b.warmth(w) < 1 {
				look(w)
			}
		}
		for _, w := range b.workers {
			look(w)
		}
	}
	return b.asked > 0
}

// hopeless reports whether not even a standard core would end a job in time.
func (b *Balancer) hopeless(r *request) bool { return r.Work > 0 && b.left(r) < r.Work.Seconds() }

// expire answers held jobs whose aim is lost, where a late answer would earn nothing.
func (b *Balancer) expire() {
	for _, r := range slices.Clone(b.held) {
		if r.c.LateWorth == 0 && (b.slack(r) < 0 && r.maybeRan() == nil || b.hopeless(r)) {
			b.answer(r)
		}
	}
}

// pick returns the worker whose smallest figure is largest, or nil if none has room, of those with fresh
// reports; and how many had room where it was looked for. When no probe is answered any more, the judgement
// is in doubt (or this balancer's own network): then all workers are taken as they were last known.
func (b *Balancer) pick(r *request) (best *worker, count int) {
	var most, luck float64
	var near bool
	pool, doubt := b.fresh, !b.s.MayProbe || (b.mute > 4*look && b.now-b.okAt > 4*b.s.DialTimeout)
	if doubt {
		pool = b.workers
	}
	for _, w := range pool {
		if (w.probeFails > 0 && !doubt) || !b.able(w, r, r.maybeRan()) || b.slow(w, r) {
			continue
		}
		n := b.room(w, r)
		zone := w.Zone == b.s.Zone || len(r.attempts) > 0 || b.s.PriceCross == 0
		if n < 1 || (near && !zone) {
			continue
		}
		if zone && !near {
			count, best, near = 0, nil, true
		}
		count++
		l := -math.Log(1-b.chance()) / w.speed()
		if best == nil || n > most || (n == most && l < luck) {
			best, most, luck = w, n, l
		}
	}
	return best, count
}

// avoids reports whether a worker gets no job, whatever it needs: it drains, is gone, or showed bad signs.
func (b *Balancer) avoids(w *worker) bool {
	return b.now < w.until || (w.fails > 1 && len(w.out) > 0) || w.State != Ready || !w.told
}

// able applies the filters: avoided workers, kind, the repeat group, and the budget of a cold worker.
func (b *Balancer) able(w *worker, r *request, ran *attempt) bool {
	if b.avoids(w) || (r.c.Kind != "" && w.Kind != r.c.Kind) {
		return false
	}
	if ran != nil && r.c.Effect == Keyed && (b.now-ran.sent >= r.c.Window ||
		(r.c.Scope == SameZone && w.Zone != ran.w.Zone) || (r.c.Scope == SameCell && w.Cell != ran.w.Cell)) {
		return false
	}
	return b.mayCold(w, r)
}

// room is the number of jobs of r's demand that fit: the smallest over its resources of the last
// report less own charges since, bounded by the capacity learned less all own charges.
func (b *Balancer) room(w *worker, r *request) float64 {
	if !w.reported {
		return w.guess - float64(len(w.out)) // cautious until the first report
	}
	blind := b.now < b.blindTo
	if b.queued(w) >= 0.5 && !blind {
		return 0 // the head of the queue waits for room that it does not find: treat as full
	}
	slots, mem := math.Round(w.rep.FreeSlots), w.rep.FreeMemory
	capS, capM := max(math.Floor(w.capSlots*b.warmth(w)), 1), w.capMem
	if w.rep.InHand >= 0 && w.rep.InHand < 0.5 {
		capS = w.capSlots // alone on a cold worker a large job runs too, if more slowly
	}
	for _, a := range w.out {
		if b.stuck(a) {
			return 0 // a job of ours waits there, whatever the report says
		}
		capS, capM = capS-a.r.Slots, capM-a.r.Memory
	}
	ds, dm := w.since(w.measured)
	slots, mem = slots+ds, mem+dm
	if n := float64(b.s.Balancers); blind { // rivals may hold as much there as we do
		slots, mem = capS-(n-1)*(w.capSlots-capS), capM-(n-1)*(w.capMem-capM)
	}
	n := math.Floor(min(slots, capS) / r.Slots)
	if r.Memory > 0 && w.rep.FreeMemory >= 0 {
		n = min(n, math.Floor(min(mem, capM)/r.Memory))
	}
	return n
}

// stuck reports whether an own job waits at its worker, where workers tell when a job starts.
func (b *Balancer) stuck(a *attempt) bool {
	return b.s.TellsStart && a.started == 0 && b.now-a.sent >= b.startsBy(a.w)
}

// startsBy is how soon a job that does not wait has told of its start, or a probe is answered: a new
// connection to another zone takes several longer round trips, and answers may come in pieces.
func (b *Balancer) startsBy(w *worker) time.Duration {
	return max(4*b.quick+2*b.s.Step, w.reach, b.soon)
}

// rest is how long a worker that did not answer is left alone, longer each time: with a table full of
// connections it would hardly be heard above the dials of many balancers.
func (b *Balancer) rest(w *worker) time.Duration {
	return time.Duration(float64(int(1)<<min(w.probeFails, 3)-1) * w.jitter * float64(b.s.DialTimeout))
}

// stalled reports whether an own job is not heard of any more though its worker lives: its connection has
// fallen silent. A running job tells of its progress, and of two that wait in order the earlier starts first.
func (b *Balancer) stalled(a *attempt) bool {
	if b.s.Progress > 0 && a.started > 0 {
		return b.now-a.heard > 2*(b.s.Progress+b.s.DialTimeout)
	}
	later := func(x *attempt) bool {
		return x.sent > a.sent+b.s.DialTimeout && x.started > 0 && b.now-x.started > b.s.DialTimeout
	}
	return b.s.InOrder && a.started == 0 && slices.ContainsFunc(a.w.out, later)
}

// move calls back jobs that may be repeated: from silence, or where they wait, to another that has room; or
// for good when their aim is lost, as they would take a slot from jobs in time. Where reports do not show the
// queue, one called off may run all the same, so it is not called back for waiting alone.
func (b *Balancer) move() {
	if !b.s.MayCancel || !b.s.SecondCopies {
		return
	}
	b.waits = slices.DeleteFunc(b.waits, func(a *attempt) bool { return !a.out || a.left || a.r.over })
	for _, a := range slices.Clone(b.waits) {
		r, w := a.r, a.w
		silent := w.mute && w.probeFails > 1 && b.now-max(w.heard, a.sent) > 4*b.s.DialTimeout+b.s.Progress
		waits := b.s.TellsQueue && b.stuck(a) || r.c.Effect == Safe && silent
		if r.c.Effect == Unsafe || r.held || !(waits || silent || b.stalled(a)) {
			continue
		}
		left := b.slack(r)
		if len(b.held) == 0 { // nobody needs the slot: it may still be in time if it is a long one
			left += b.run[r.Class] * max(r.c.Stretch-1, 0) / 2
		}
		if r.c.LateWorth == 0 && (waits && a.started == 0 && left < 0 || b.hopeless(r)) {
			b.answer(r)
			continue
		}
		if b.spent(r, 1) || (b.budget < 1 && !silent) {
			continue
		}
		if to, _ := b.pick(r); to != nil {
			b.recall(a, silent)
			w.rep.FreeSlots = min(w.rep.FreeSlots, r.Slots-1) // whatever it reported
			b.act.Cancel(r.ID, slices.Index(r.attempts, a))
			b.hold(r)
		} else if b.asked == 0 {
			b.ask(r, look)
		}
	}
}

func (b *Balancer) send(r *request, w *worker) {
	a := &attempt{r: r, w: w, sent: b.now, out: true}
	r.attempts = append(r.attempts, a)
	w.out, b.waits = append(w.out, a), append(b.waits, a)
	w.events = append(w.events, event{b.now, -r.Slots, -r.Memory, b.work(r)})
	b.checkSlowStart(w, r)
	b.act.Send(r.ID, w.ID)
	if b.s.TellsStart {
		b.act.After(b.startsBy(w), "") // to see whether it waits
	}
}

// tend ends every event: it sends held jobs and does what falls due: the list, probes ahead, the next wake.
// Probes ahead of need are sent only where their price lets every report be renewed before it is stale;
// elsewhere jobs have workers probed on demand.
func (b *Balancer) tend() {
	b.dispatch()
	if b.retryAt >= 0 && b.now >= b.retryAt {
		b.retryAt = -1
		b.watch()
	}
	if b.now < b.wakeAt {
		return
	}
	b.delay *= 0.98 // fades, since it is learned only from sends
	next, gap := b.now+b.s.DialTimeout, b.probeGap()
	if b.s.MayProbe && gap <= 2*b.horizon().Seconds() {
		for _, w := range b.workers {
			due := w.probed + time.Duration(gap*w.jitter*float64(time.Second))
			if w.mute { // that it is back, and whether it has restarted, is to be known soon
				due = min(due, w.probed+b.rest(w))
			}
			if !w.probing && b.now >= due {
				b.probe(w)
			} else if !w.probing {
				next = min(next, due)
			}
		}
	}
	b.wakeAt = max(next, b.now+b.s.Step)
	b.act.After(b.wakeAt-b.now, "")
}

// probeGap is the seconds between probes ahead: the pace of fresh reports, or longer as their price demands.
func (b *Balancer) probeGap() float64 {
	cost := float64(len(b.workers)) * b.s.PriceProbe / max(b.reqRate(), 0.01)
	if len(b.held) > 0 {
		cost /= 2
	}
	return max(b.pace.Seconds(), cost/probeShare)
}

// speed is the listed weight of a slot, relative to other workers'.
func (w *worker) speed() float64 {
	if w.Weight <= 0 || w.capSlots <= 0 {
		return 1
	}
	return w.Weight / w.capSlots
}

// work is the expected running time of a job, its class's or the longer one of its hint, times its slots.
func (b *Balancer) work(r *request) float64 {
	return r.Slots * max(b.run[r.Class], r.Work.Seconds()/b.usual)
}
