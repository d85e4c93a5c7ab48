package balance

import (
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

// recorder is a host that hashes each action in order, and generates random behavior of workers, clients and
// discovery. The words that it hashes must not change, as the recorded hashes contain them.
type recorder struct {
	*Balancer
	settings     Settings
	random       *rand.Rand
	digest       hash.Hash64
	now          time.Duration
	actions      int
	list         []Worker
	requests     []string
	attempts     []pending
	timers       []pending
	healthChecks []pending
}

// pending is an attempt, a timer or a health check that is due at a time.
type pending struct {
	time     time.Duration
	request  string
	worker   string
	number   int
	progress float64
}

// hashAction adds an action, or another observation, to the hash.
func (r *recorder) hashAction(kind string, values ...any) {
	r.actions++
	fmt.Fprintln(r.digest, r.now, kind, values)
}

func (r *recorder) SendAttempt(request, worker string) {
	r.hashAction("send", request, worker)
	number := 0
	for _, a := range r.attempts {
		if a.request == request {
			number = a.number + 1
		}
	}
	r.attempts = append(r.attempts, pending{r.now + r.randomSpan(3000), request, worker, number, 0})
}

func (r *recorder) Reject(request string, wait time.Duration) { r.hashAction("refuse", request, wait) }
func (r *recorder) Fail(request string)                       { r.hashAction("fail", request) }
func (r *recorder) CancelAttempt(request string, attempt int) {
	r.hashAction("cancel", request, attempt)
}
func (r *recorder) WatchEndpoints() { r.hashAction("watch") }
func (r *recorder) FetchEndpoints() { r.hashAction("fetch") }

func (r *recorder) CheckHealth(worker string) {
	r.hashAction("probe", worker)
	r.healthChecks = append(r.healthChecks, pending{time: r.now + r.randomSpan(20), worker: worker})
}

func (r *recorder) SetTimer(d time.Duration, request string) {
	r.hashAction("after", d, request)
	r.timers = append(r.timers, pending{time: r.now + max(d, time.Millisecond), request: request})
}

// randomSpan returns a random duration of 1 to ms milliseconds.
func (r *recorder) randomSpan(ms int) time.Duration {
	return time.Duration(r.random.IntN(ms)+1) * time.Millisecond
}

// oneIn returns true with probability 1/n.
func (r *recorder) oneIn(n int) bool { return r.random.IntN(n) == 0 }

// due removes the entries that are due from a list, and returns them.
func (r *recorder) due(list *[]pending) (due []pending) {
	*list = slices.DeleteFunc(*list, func(x pending) bool {
		if x.time <= r.now {
			due = append(due, x)
		}
		return x.time <= r.now
	})
	return due
}

// report returns a random load report of a worker. Some values are missing or out of range.
func (r *recorder) report(worker string) *LoadReport {
	slots := 2 + int(worker[1]-'0')%4
	running := 0
	for _, a := range r.attempts {
		if a.worker == worker {
			running++
		}
	}
	rep := &LoadReport{
		FreeSlots: float64(slots - running + r.random.IntN(2)), FreeMemory: 4 - float64(running)/2, QueueLength: -1, InFlight: -1,
	}
	if r.settings.ReportsQueue {
		rep.QueueLength, rep.InFlight = float64(max(0, running-slots)), float64(running)
	}
	if r.oneIn(8) {
		rep.QueueLength = -1
	}
	rep.Fingerprint = uint64(r.now/(200*time.Millisecond))<<8 | uint64(running)
	if r.oneIn(40) {
		rep.Fingerprint = uint64(r.random.IntN(4))
	}
	return rep
}

// finish ends an attempt with a random result.
func (r *recorder) finish(a pending) {
	result := OK
	if r.oneIn(4) {
		result = Result(r.random.IntN(int(InvalidRequest) + 1))
	}
	o := Outcome{Request: a.request, Attempt: a.number, Worker: a.worker, Result: result, Elapsed: r.randomSpan(900)}
	o.Final = result == OK || result == InvalidRequest
	if r.oneIn(3) {
		o.Report = r.report(a.worker)
	}
	r.AttemptDone(r.now, o)
}

// answerHealthCheck reports a random result of a health check.
func (r *recorder) answerHealthCheck(worker string) {
	switch r.random.IntN(12) {
	case 0:
		r.HealthCheckDone(r.now, worker, Result(r.random.IntN(int(Suppressed))), nil)
	case 1, 2:
		r.HealthCheckDone(r.now, worker, TimedOut, nil)
	default:
		r.HealthCheckDone(r.now, worker, OK, r.report(worker))
	}
}

// changeEndpoints sends a random update of the endpoint list.
func (r *recorder) changeEndpoints() {
	w := &r.list[r.random.IntN(len(r.list))]
	switch r.random.IntN(8) {
	case 0:
		r.UpdateEndpoints(r.now, FailedUpdate, nil)
	case 1:
		r.UpdateEndpoints(r.now, MovedUpdate, nil)
	case 2, 3:
		w.Status = WorkerStatus(r.random.IntN(3))
		r.UpdateEndpoints(r.now, []EndpointUpdate{DeltaUpdate, ObservedUpdate}[r.random.IntN(2)], []Worker{*w})
	case 4:
		w.Status, w.StartedAt, w.MaxStartAge = Ready, r.now-r.randomSpan(2000), r.randomSpan(1000)*time.Duration(r.random.IntN(2))
		r.UpdateEndpoints(r.now, DeltaUpdate, []Worker{*w})
	default:
		for i := range r.list {
			r.list[i].Status = Ready
		}
		r.UpdateEndpoints(r.now, []EndpointUpdate{FullUpdate, FullUpdate, CachedUpdate}[r.random.IntN(3)], slices.Clone(r.list))
	}
}

// submitRequest submits a random request.
func (r *recorder) submitRequest() {
	q := Request{
		ID: fmt.Sprint("r", len(r.requests)), Class: r.random.IntN(len(r.settings.Classes)),
		Slots: float64(r.random.IntN(5)) / 2, Memory: float64(r.random.IntN(3)) / 2, ClientTimeout: r.randomSpan(4000),
	}
	if r.oneIn(2) {
		q.RunTimeHint = r.randomSpan(1500)
	}
	r.requests = append(r.requests, q.ID)
	r.Submit(r.now, q)
}

// replaceBalancer replaces the balancer by a new one, which imports the old one's learned state and open requests.
func (r *recorder) replaceBalancer(t *testing.T, seed uint64) {
	predecessor, offset := r.Balancer, r.randomSpan(1000)
	r.standby(true)
	var moved []RequestState
	for _, id := range r.requests {
		if out, last, open := predecessor.AttemptsInFlight(id); open {
			r.hashAction("out", out, last)
			m, ok := predecessor.ExportRequest(r.now, id)
			m.Shift(offset)
			m.Shift(-offset)
			r.hash(t, m)
			moved = append(moved, m)
			r.hashAction("released", ok)
		}
	}
	state := predecessor.ExportState()
	state.Shift(offset)
	state.Shift(-offset)
	r.hash(t, state)
	var err error
	if r.Balancer, err = New(r.settings, seed, r); err != nil {
		t.Fatal(err)
	}
	r.UpdateEndpoints(r.now, CachedUpdate, slices.Clone(r.list))
	r.ImportState(r.now, state)
	for _, m := range moved {
		r.hashAction("adopted", r.ImportRequest(r.now, m, func() { r.hashAction("ready") }))
	}
}

// hash adds a value's JSON form, which contains all digits, to the hash.
func (r *recorder) hash(t *testing.T, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	r.digest.Write(text)
}

// hashState adds all state that the balancer exposes to the hash.
func (r *recorder) hashState(t *testing.T) {
	listed, excluded := r.WorkerCounts()
	r.hashAction("view", listed, excluded, r.SlowStartViolations(), r.CapacityByClass(r.now))
	for _, w := range r.list {
		r.hashAction("charged", r.Reservations(w.ID))
	}
	for _, id := range r.requests[max(0, len(r.requests)-20):] {
		until, bound := r.RetryDeadline(id)
		r.hashAction("repeat", until, bound)
	}
	r.hash(t, r.ExportState())
}

// standby sets whether the balancer is in standby. Requests are not held: the recorded revision sent them, and what it decided must not
// have changed otherwise. TestStandbyHoldsNewRequests has those that are held.
func (r *recorder) standby(standby bool) {
	r.Standby(r.now, standby)
	r.holdsNew = false
}

// changeSettings reconfigures the balancer with random settings, some of them invalid.
func (r *recorder) changeSettings() {
	s := r.settings
	s.Classes = append(slices.Clone(s.Classes), s.Classes[r.random.IntN(len(s.Classes))])
	s.MaxAttempts, s.HealthCheckCost = r.random.IntN(5), float64(r.random.IntN(4))/1000
	if r.oneIn(3) {
		s.SlowStartMinFactor = -1
	}
	if err := r.Reconfigure(r.now, s); err == nil {
		r.settings = s
	} else {
		r.hashAction("retune", err)
	}
}

// step runs all events of one point in time.
func (r *recorder) step(t *testing.T) {
	for _, x := range r.due(&r.timers) {
		r.TimerFired(r.now, x.request)
	}
	for _, x := range r.due(&r.healthChecks) {
		r.answerHealthCheck(x.worker)
	}
	for _, x := range r.due(&r.attempts) {
		r.finish(x)
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.progress == 0 && r.oneIn(3) {
			a.progress = 0.01
			r.AttemptProgress(r.now, a.request, a.number, JobStarted, 0)
		} else if r.oneIn(20) {
			a.progress += 0.1
			r.AttemptProgress(r.now, a.request, a.number, JobAdvanced, a.progress)
		}
	}
	if r.oneIn(4) {
		r.submitRequest()
	}
	if r.oneIn(60) {
		r.changeEndpoints()
	}
	if len(r.requests) > 0 && r.oneIn(80) {
		r.ClientGone(r.now, r.requests[max(0, len(r.requests)-1-r.random.IntN(10))])
	}
	if r.oneIn(200) {
		r.hashState(t)
	}
	if r.oneIn(900) {
		r.changeSettings()
	}
	if r.oneIn(900) {
		r.standby(r.oneIn(2))
	}
	if r.oneIn(1500) {
		r.ShutdownAt(r.now, r.now+r.randomSpan(3000))
	}
	if r.oneIn(1200) {
		r.replaceBalancer(t, r.random.Uint64())
	}
}

// hashRun simulates the random site of a seed and returns the number of actions and their hash.
func hashRun(t *testing.T, seed uint64) string {
	r := &recorder{random: rand.New(rand.NewPCG(seed, 7)), digest: fnv.New64a(), now: time.Hour}
	randomBool := func() bool { return r.oneIn(2) }
	r.settings = Settings{
		Balancers: []int{1, 2, 5, 40}[r.random.IntN(4)], Zone: "a", MaxAttempts: r.random.IntN(5),
		AllowCancel: !r.oneIn(4), AllowHealthChecks: !r.oneIn(5), AllowHedging: !r.oneIn(4), PollEndpoints: randomBool(),
		DialTimeout:      []time.Duration{0, 150 * time.Millisecond, time.Second}[r.random.IntN(3)],
		MinEventInterval: time.Millisecond, ReportsJobStart: !r.oneIn(4), FIFOWorkers: randomBool(), ReportsQueue: randomBool(),
		ProgressInterval:   r.randomSpan(500) * time.Duration(r.random.IntN(2)),
		MaxRetryAfter:      r.randomSpan(2000) * time.Duration(r.random.IntN(2)),
		SlowStartMinFactor: 0.2, SlowStartDuration: r.randomSpan(10000),
		OverloadMultiple: float64(r.random.IntN(4)), OverloadWindow: r.randomSpan(2000),
		CrossZoneCost: 0.01 * float64(r.random.IntN(2)), HealthCheckCost: 0.002 * float64(r.random.IntN(2)),
	}
	for i := range 3 + r.random.IntN(4) {
		r.settings.Classes = append(r.settings.Classes, Class{
			Name: fmt.Sprint("c", i), LatencyObjective: r.randomSpan(1500), Deadline: r.randomSpan(4000),
			ObjectiveStretch: float64(r.random.IntN(3)), PriorityWeight: 1, LateWeight: 0.5 * float64(r.random.IntN(2)),
			Idempotency: Idempotency(r.random.IntN(3)), KeyScope: KeyScope(r.random.IntN(3)), KeyWindow: r.randomSpan(2000),
			WorkerKind: []string{"", "", "k0"}[r.random.IntN(3)],
		})
	}
	for i := range 3 + r.random.IntN(8) {
		r.list = append(r.list, Worker{
			ID: fmt.Sprint("w", i), Zone: string(rune('a' + i%2)), Cell: fmt.Sprint(i % 3), Kind: fmt.Sprint("k", i%2),
			Weight: float64(r.random.IntN(3)), Status: Ready, StartedAt: r.now * time.Duration(r.random.IntN(2)),
		})
	}
	var err error
	if r.Balancer, err = New(r.settings, seed, r); err != nil {
		t.Fatal(err)
	}
	r.UpdateEndpoints(r.now, FullUpdate, slices.Clone(r.list))
	for end := r.now + 30*time.Second; r.now < end; r.now += r.randomSpan(10) {
		r.step(t)
	}
	r.hashState(t)
	return fmt.Sprintf("seed %d: %d actions, %016x", seed, r.actions, r.digest.Sum64())
}

// TestDecisionsAreThoseRecorded simulates random sites that use all methods of a Balancer. It compares all actions, in
// order, and all exported state with a recording made by revision 33b4d57, to the last digit.
func TestDecisionsAreThoseRecorded(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("recorded on amd64: other processors may fuse a multiplication with an addition")
	}
	text, err := os.ReadFile("testdata/decisions.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for seed, want := range lines {
		if got := hashRun(t, uint64(seed)); got != want {
			t.Errorf("got %s, recorded %s", got, want)
		}
	}
	if len(lines) != 24 {
		t.Errorf("%d recorded runs, want 24", len(lines))
	}
}
