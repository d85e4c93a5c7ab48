package scale

import (
	"fmt"
	"math/rand/v2"
	"time"

	"swiftdeal/internal/testing/fake"
)

// nodeDialer is how the tool's clients reach the real nodes: each in turn.
type nodeDialer struct {
	cluster *cluster
	next    int
}

// PickNode implements fake.Dialer.
func (r *nodeDialer) PickNode(*fake.Job, int, func(string) bool) string {
	r.next++
	return r.cluster.addresses.member(r.cluster.plan.Replicas+r.next%r.cluster.plan.Real, clientsPort)
}

// Dial implements fake.Dialer.
func (r *nodeDialer) Dial(to string, _ int, h fake.Opener) { r.cluster.host.Dial(to, h) }

// clients asks the real nodes for the plan's jobs until the run ends.
func (f *cluster) clients() {
	if f.plan.Rate == 0 {
		return
	}
	f.host = fake.NewSockets()
	f.crowd = fake.NewClients(f.host, ignoreEvents{}, &nodeDialer{cluster: f}, f.plan.Seed)
	rnd := rand.New(rand.NewPCG(f.plan.Seed, 11))
	f.asked.Go(func() {
		for k := 0; ; k++ {
			pace := time.NewTimer(time.Duration(rnd.ExpFloat64() / f.plan.Rate * float64(time.Second)))
			select {
			case <-f.asking:
				pace.Stop()
				return
			case <-pace.C:
			}
			work := f.plan.WorkMs * (0.5 + rnd.Float64())
			j := &fake.Job{
				Name:    fmt.Sprintf("j%d", k),
				Class:   tenantName(rnd.IntN(f.plan.Tenants)),
				Repeat:  true,
				Refused: true,
				Work:    work / 1000,
				Hint: time.Duration(
					work * float64(time.Millisecond),
				),
				Slots:   1,
				Memory:  0.1,
				Timeout: 20 * time.Second,
				Retries: 3,
				Pause:   50 * time.Millisecond,
			}
			f.host.Do(func() { f.crowd.Submit(j) })
		}
	})
}
