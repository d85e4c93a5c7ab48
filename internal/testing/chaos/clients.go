package chaos

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"swiftdeal/internal/testing/fake"
)

// loadBalancer stands in for the load balancer through which the clients of a site reach nodes.
type loadBalancer struct {
	cluster *Cluster
	site    string
}

// PickNode implements fake.Dialer.
func (r loadBalancer) PickNode(j *fake.Job, attempt int, _ func(string) bool) string {
	var candidates []*node
	for _, n := range r.cluster.nodes {
		if n.ready && n.site == r.site {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 { // no node of the site is ready: fall back to all other sites
		for _, n := range r.cluster.nodes {
			if n.ready {
				candidates = append(candidates, n)
			}
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return r.cluster.nodeName(candidates[fake.Random(r.cluster.plan.Seed, fmt.Sprint(j.Name, attempt)).IntN(len(candidates))].index)
}

// Dial implements fake.Dialer.
func (r loadBalancer) Dial(to string, _ int, h fake.Opener) {
	i := 0
	fmt.Sscanf(to, "n%d", &i)
	r.cluster.host.Dial(r.cluster.block.clientsAddr(i), h)
}

// submitLoad schedules the plan's jobs. All of them are drawn from the plan's seed.
func (f *Cluster) submitLoad() {
	p := f.plan
	if p.Rate <= 0 {
		return
	}
	r := rand.New(rand.NewPCG(p.Seed, 11))
	interval := distuv.Exponential{Rate: p.Rate, Src: r}
	work := distuv.Gamma{Alpha: 2, Beta: 2 / p.WorkMs, Src: r}
	i := 0
	for at := 0.0; at < max(p.LengthMs, p.LoadMs); i++ {
		at += interval.Rand() * 1000
		c, u := classes[0], r.Float64()
		for _, k := range classes {
			if c = k; u < k.share {
				break
			}
			u -= k.share
		}
		workMs := max(5, work.Rand())
		job := &fake.Job{
			Name:    fmt.Sprintf("j%d", i),
			Class:   c.name,
			Repeat:  c.effect == "retryable" || c.scope == "all",
			Refused: true,
			Work:    workMs / 1000,
			Hint:    time.Duration(workMs * float64(time.Millisecond)),
			Slots:   float64(1 + r.IntN(2)),
			Memory:  0.2,
			Timeout: time.Duration(c.deadline) * time.Millisecond,
			Retries: 3,
			Pause:   50 * time.Millisecond,
		}
		if c.effect == "dedup" {
			job.Key = "k" + job.Name
			if c.scope == "all" {
				job.RetryWindow = time.Duration(c.window) * time.Millisecond
			}
		}
		siteClients := f.clients[i%p.Sites]
		f.jobs++
		f.host.After(time.Duration(at*float64(time.Millisecond)), func() {
			if f.loadEnded {
				return
			}
			f.stats.Worth += c.priorityWeight * job.Work
			f.priorityWeights[job.Name] = c.priorityWeight * job.Work
			siteClients.Submit(job)
		})
	}
}
