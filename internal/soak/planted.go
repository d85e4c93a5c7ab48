package soak

import "swiftdeal/internal/sim/mutants"

// Planted is a fault to be planted in the program, with a plan under which the soak has to find that an invariant is broken.
type Planted struct {
	Name      string
	Invariant string
	Plan      Plan
	Changes   []mutants.Change
}

// Files in which faults are planted.
const (
	transportFile = "internal/transport/transport.go"
	dispatchFile  = "internal/dispatch/dispatch.go"
	admissionFile = "internal/admission/admission.go"
	ingressFile   = "internal/ingress/conn.go"
	listenFile    = "internal/listen/listen.go"
	balanceFile   = "balance/balance.go"
	slowStartFile = "balance/slowstart.go"
	exchangeFile  = "internal/transport/exchange.go"
)

// load returns a plan with usual load and some troubles.
func load(workMs, rate float64, troubles ...Trouble) Plan {
	return Plan{Seed: 7, Nodes: 3, Workers: 5, Rate: rate, WorkMs: workMs, LengthMs: 7000, Troubles: troubles}
}

// The guard's last check, made to let all pass: a fault in the decisions shows then.
var (
	guardAsleep = mutants.Change{File: transportFile, Old: "	g.s.guard.Violated(guard.RepeatAllowed, \"id\", g.c.ID, \"attempt\", g.number, \"worker\", g.peer, \"why\", refusal)\n	return false\n", New: "	return true\n"}
	resetIsSafe = mutants.Change{File: balanceFile, Old: "	a.never = o.Result == Full ||", New: "	a.never = o.Result == Reset || o.Result == Full ||"}
)

// AllPlanted lists the faults: one for each invariant at least.
var AllPlanted = []Planted{
	{"nobody-answers", "answer", load(100, 40, Trouble{Kind: WorkerHang, At: 1500, For: 7000, Amount: 1}), []mutants.Change{
		{File: dispatchFile, Old: "		e.c.Finish(a)\n		r.close(e)\n", New: "		r.close(e)\n"},
		{File: admissionFile, Old: "		if c.Finish(request.Answer{Verdict: request.Failed, Reason: \"out of time\"}) {\n", New: "		if false {\n"}}},
	{"unsafe-repeated", "repeat", load(150, 40, Trouble{Kind: WorkerReset, At: 1000, For: 5000, Amount: 1}), []mutants.Change{guardAsleep, resetIsSafe}},
	{"unsafe-repeat-decided", "own-check", load(150, 40, Trouble{Kind: WorkerReset, At: 1000, For: 5000, Amount: 1}), []mutants.Change{resetIsSafe}},
	{"drain-unheard", "drain", load(150, 60, Trouble{Kind: WorkerDrain, At: 1500, For: 5000, Amount: 0.6}), []mutants.Change{
		{File: balanceFile, Old: "|| w.State != Ready || !w.told\n", New: "|| !w.told\n"},
		{File: transportFile, Old: "	return guard.WorkerDrains, g.s.pool.serves(g.peer)\n", New: "	return guard.WorkerDrains, true\n"}}},
	{"slow-start-ignored", "slow-start", load(1100, 40, Trouble{Kind: WorkerKill, At: 1000, For: 500, Amount: 0.8}), []mutants.Change{
		{File: slowStartFile, Old: "	if f >= 1 || b.s.FallMultiple <= 0 {\n", New: "	if f >= 0 {\n"},
		{File: balanceFile, Old: "	b.checkSlowStart(w, r)\n", New: ""}}},
	{"whole-deadline-told", "deadline", load(200, 40, Trouble{Kind: WorkerFail, At: 1000, For: 5000, Amount: 0.9}), []mutants.Change{
		{File: transportFile, Old: "	left = max(time.Until(c.Deadline), time.Millisecond)\n", New: "	left = c.Deadline.Sub(c.Arrived)\n"}}},
	{"left-unheard", "left", load(300, 120, Trouble{Kind: WorkerHang, At: 1000, For: 2500, Amount: 0.8}, Trouble{Kind: ClientsLeave, At: 800, For: 5000, Amount: 0.7}), []mutants.Change{
		{File: dispatchFile, Old: "		if e := r.open[c.ID]; e != nil && e.c == c && !e.over {\n			r.b.Vanished", New: "		if e := r.open[c.ID]; e != nil && false {\n			r.b.Vanished"},
		{File: dispatchFile, Old: "	case <-e.c.Ended():\n		// Guards", New: "	case <-make(chan int):\n		// Guards"},
		{File: transportFile, Old: "	case <-g.c.Ended():\n		return guard.RequestEnded, false\n	default:\n	}\n	if g.c.Client != nil && !g.c.Client.Present() {", New: "	default:\n	}\n	if false {"}}},
	{"heads-for-ever", "rude-client", load(100, 20, Trouble{Kind: ClientsStop, At: 500, For: 2500, Amount: 30}), []mutants.Change{
		{File: ingressFile, Old: "	if c.resting && c.headWait > 0 &&", New: "	if false && c.resting && c.headWait > 0 &&"}}},
	{"accept-ends", "process", load(100, 40, Trouble{Kind: Calls, Call: "accept4:error=ENOBUFS:when=8+9"}), []mutants.Change{
		{File: listenFile, Old: "	return number == syscall.EBADF || ", New: "	return number == syscall.ENOBUFS || number == syscall.EBADF || "}}},
	{"requests-never-leave", "settled", load(100, 40), []mutants.Change{
		{File: admissionFile, Old: "		t.Stop()\n		delete(s.open, c.ID)\n", New: "		t.Stop()\n"}}},
}
