package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/testing/fake"
)

// PickNode implements fake.Dialer. It draws among the ready nodes and those to which a connection is kept.
func (f *Cluster) PickNode(j *fake.Job, attempt int, hasIdleConn func(string) bool) string {
	var candidates []string
	for _, n := range f.nodes {
		if name := f.name(n.index); n.ready || hasIdleConn(name) {
			candidates = append(candidates, name)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[fake.Random(f.plan.Seed, fmt.Sprint(j.Name, attempt)).IntN(len(candidates))]
}

// Dial implements fake.Dialer.
func (f *Cluster) Dial(to string, _ int, h fake.Opener) {
	i := 0
	fmt.Sscanf(to, "n%d", &i)
	f.host.Dial(f.clientAddr(i), h)
}

// oddShapes are the shapes of clients that are not Plain.
var oddShapes = []fake.Shape{
	fake.Pieces,
	fake.Chunked,
	fake.Single,
	fake.SlowRead,
	fake.Impatient,
	fake.Broken,
	fake.Half,
	fake.Endless,
	fake.Double,
	fake.Pipelined,
	fake.Silent,
	fake.NoClass,
	fake.Huge,
}

// scheduleRequests schedules the plan's requests. It runs under the host's lock.
func (f *Cluster) scheduleRequests() {
	r := rand.New(rand.NewPCG(f.plan.Seed, 11))
	i := 0
	for at := 0.0; at < f.plan.LengthMs; i++ {
		at += r.ExpFloat64() * 1000 / f.plan.Rate
		j := f.drawJob(r, i)
		leaves, after := r.Float64(), milliseconds(5+300*r.Float64())
		f.host.After(milliseconds(at), func() { f.submit(j, leaves, after) })
	}
}

// drawClass draws a class, weighted by the classes' shares.
func drawClass(r *rand.Rand) class {
	c, u := classes[0], r.Float64()
	for _, k := range classes {
		if c = k; u < k.share {
			break
		}
		u -= k.share
	}
	return c
}

// drawJob draws the request with the given number. The order of the draws must not change: it determines the plan of a seed.
func (f *Cluster) drawJob(r *rand.Rand, number int) *fake.Job {
	c := drawClass(r)
	work := max(5, r.ExpFloat64()*f.plan.WorkMs)
	j := &fake.Job{
		Name:             fmt.Sprintf("j%d", number),
		Class:            c.name,
		Repeat:           c.isRepeatable(),
		Refused:          true,
		Work:             work / 1000,
		Hint:             milliseconds(work),
		Slots:            1,
		Memory:           0.2,
		Timeout:          milliseconds(c.deadline),
		WaitPastDeadline: time.Second + time.Duration(f.options.Slack*float64(time.Second)),
		Retries:          2,
		Pause:            30 * time.Millisecond,
	}
	if c.idempotency == balance.IdempotentWithKey {
		j.Key = "k" + j.Name
		j.RetryWindow = milliseconds(c.window)
	}
	if r.Float64() < 0.1 {
		j.Body = r.IntN(40000)
	}
	if r.Float64() < 0.03 {
		j.Timeout = milliseconds(5 + 60*r.Float64()) // deadlines of a few milliseconds only
	}
	if r.Float64() < f.plan.OddClients {
		j.Shape = oddShapes[r.IntN(len(oddShapes))]
	}
	return j
}

// submit sends a request, unless the load has ended. leaves is a draw from 0 to 1: if it is below the share of early leavers,
// the client disconnects after the given time.
func (f *Cluster) submit(j *fake.Job, leaves float64, after time.Duration) {
	if f.loadEnded {
		return
	}
	if j.Shape == fake.Impatient || leaves < f.earlyLeavers && j.Shape == fake.Plain {
		j.Shape = fake.Impatient
		j.GiveUp = after
		j.Behind = f.behind
	}
	f.owedAnswers[j.Name] = j.Shape.Conforming() && j.Shape != fake.Impatient
	f.clients.Submit(j)
}
