package simulation

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat/distuv"

	"swiftdeal/internal/testing/fake"
)

// interpolate maps u in [0, 1) to the range from low to high.
func interpolate(u, low, high float64) float64 { return low + u*(high-low) }

// Draw generates a random plan from a seed.
func Draw(seed uint64) *Plan {
	r := fake.Random(seed, "plan")
	p := &Plan{
		Seed: seed, Nodes: 1 + r.IntN(4), Sockets: []int{128, 256, 1024}[r.IntN(3)],
		MemoryMB: []int{32, 64, 192}[r.IntN(3)],
		Net: Net{
			Near:   interpolate(r.Float64(), 0.05, 0.4),
			Far:    interpolate(r.Float64(), 1.4, 2.6),
			Jitter: interpolate(r.Float64(), 0.01, 0.5),
		},
		Scale: interpolate(
			r.Float64(),
			0.1,
			0.5,
		), Hedges: r.Float64() < 0.8, ReportsProgress: r.Float64() < 0.85, Queue: r.Float64() < 0.3,
		DiscoveryDelay: interpolate(r.Float64(), 100, 4000), Windows: 1,
	}
	if r.IntN(3) == 0 {
		p.Windows = interpolate(r.Float64(), 0.02, 0.3)
	}
	if r.IntN(2) == 0 {
		p.DiscoveryHistory = 1 + r.IntN(6)
	}
	n := 3 + r.IntN(10)
	if r.IntN(8) == 0 {
		n += r.IntN(12)
	}
	cells := 1 + r.IntN(4)
	capacity := 0.0
	for range n {
		cores := float64(3 + r.IntN(3))
		s := Worker{
			Zone: r.IntN(2), Cell: r.IntN(cells), Cores: cores, Slots: cores, Speed: interpolate(r.Float64(), 0.5, 1.1),
			Queue: r.IntN(6), Refresh: interpolate(r.Float64(), 200, 1400), Returns: r.IntN(3) > 0, Cold: r.IntN(12) == 0,
		}
		capacity += s.Cores * s.Speed
		p.Workers = append(p.Workers, s)
	}
	length := interpolate(r.Float64(), 4000, 9000)
	p.drawJobs(seed, length, capacity)
	p.drawFaults(seed, length)
	return p
}

// drawJobs generates a stream of jobs at a load between light and overload, varied by a sine wave.
func (p *Plan) drawJobs(seed uint64, length, capacity float64) {
	r := fake.Random(seed, "jobs")
	load, wave := interpolate(r.Float64(), 0.2, 1.4), interpolate(r.Float64(), 0, 0.8)
	mix := []float64{0.33, 0.28, 0.2, 0.12, 0.07}
	mean := 0.0
	for i, c := range classPlans {
		s := 0.0
		for k, share := range c.slots {
			s += share * float64(int(1)<<k)
		}
		mean += mix[i] * c.mean * s * p.Scale / 1000
	}
	rate := min(load*capacity/mean, 60) // jobs per second
	gap := distuv.Exponential{Rate: rate, Src: r}
	misbehaving := r.Float64() < 0.35
	for at := 200.0; at < length && len(p.Jobs) < 400; {
		at += gap.Rand() * 1000 / (1 + wave*math.Sin(at/500))
		c := classPlans[pickWeighted(r.Float64(), mix)]
		j := Job{
			At:     math.Round(at*1000) / 1000,
			Class:  c.name,
			Slots:  float64(int(1) << pickWeighted(r.Float64(), c.slots)),
			Memory: interpolate(r.Float64(), 0.1, 0.9),
		}
		j.Work = math.Round(
			min(distuv.Gamma{Alpha: 2, Beta: 2 / (c.mean * p.Scale), Src: r}.Rand()+5, 4*c.mean*p.Scale)*100,
		) / 100
		if r.IntN(10) > 0 {
			j.Hint = math.Round(j.Work*distuv.LogNormal{Mu: 0, Sigma: 0.2, Src: r}.Rand()*100) / 100
		}
		if r.IntN(6) == 0 {
			j.Body = r.IntN(50000)
		}
		j.Retries, j.Pause = r.IntN(4), interpolate(r.Float64(), 0, 300)
		if r.IntN(14) == 0 {
			j.Shape = []fake.Shape{fake.Pieces, fake.Chunked, fake.SlowRead, fake.Impatient}[r.IntN(4)]
			j.GiveUp = interpolate(r.Float64(), 1, j.Work*3)
		} else if misbehaving && r.IntN(8) == 0 {
			j.Shape = fake.Shapes[6+r.IntN(len(fake.Shapes)-6)]
			if j.Shape == fake.Borrowed {
				j.ID = fmt.Sprintf("r%d-0", r.IntN(len(p.Jobs)+1))
			}
		}
		p.Jobs = append(p.Jobs, j)
	}
}

func pickWeighted(u float64, shares []float64) int {
	for i, s := range shares {
		if u -= s; u < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// drawFaults generates faults, which usually overlap.
func (p *Plan) drawFaults(seed uint64, length float64) {
	r := fake.Random(seed, "faults")
	names := faultNames()
	for range r.IntN(9) {
		k := names[r.IntN(len(names))]
		f := Fault{
			Kind:   k,
			At:     math.Round(interpolate(r.Float64(), 50, length)*1000) / 1000,
			Length: math.Round(interpolate(math.Pow(r.Float64(), 2), 20, 5000)),
			Amount: math.Round(r.Float64()*1000) / 1000,
		}
		switch faults[k].target {
		case targetWorker:
			f.Target = r.IntN(len(p.Workers))
		case targetNode:
			f.Target = r.IntN(p.Nodes)
		}
		p.Faults = append(p.Faults, f)
		if r.IntN(5) == 0 { // a second fault begins at the same instant or 1 µs before or after it
			g := Fault{
				Kind:   names[r.IntN(len(names))],
				At:     f.At + float64(r.IntN(3)-1)/1000,
				Length: f.Length,
				Target: f.Target,
				Amount: f.Amount,
			}
			if on := faults[g.Kind].target; on == targetNode {
				g.Target %= p.Nodes
			} else {
				g.Target %= len(p.Workers)
			}
			p.Faults = append(p.Faults, g)
		}
	}
}
