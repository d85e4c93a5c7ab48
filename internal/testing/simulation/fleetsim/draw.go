package fleetsim

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Draw draws a plan by a seed.
func Draw(seed uint64) *Plan {
	r := source(seed, 1)
	p := &Plan{
		Seed: seed, Members: 1 + r.IntN(12), SeedTopology: []string{"first", "ring", "some", "all"}[r.IntN(4)],
		Delay: 0.001 + 0.05*r.Float64(), Jitter: 0.05 * r.Float64(), Length: 20 + 60*r.Float64(), Forget: 400,
	}
	switch r.IntN(20) {
	case 0:
		p.Members = 100 + r.IntN(200)
	case 1, 2, 3:
		p.Members = 13 + r.IntN(60)
	}
	if r.IntN(3) == 0 {
		p.Loss = 0.1 * r.Float64()
	}
	if r.IntN(4) == 0 {
		p.Duplicates = 0.2 * r.Float64()
	}
	if r.IntN(6) == 0 {
		p.Damage = 0.05 * r.Float64()
	}
	if r.IntN(5) == 0 {
		p.Forget = 10 + 30*r.Float64()
	}
	names := slices.DeleteFunc(
		slices.Sorted(maps.Keys(faultKinds)), func(k string) bool { return controlPlaneKinds[k] },
	)
	for range r.IntN(8) {
		f := Fault{Kind: names[r.IntN(len(names))], At: p.Length * r.Float64(), Target: r.IntN(p.Members)}
		f.Length = min(p.Length-f.At, 0.2+40*r.Float64()*r.Float64())
		switch f.Kind {
		case "split":
			f.Amount = float64(2 + r.IntN(2))
		case "loss", "damage":
			f.Amount = 0.4 * r.Float64()
		case "jitter":
			f.Amount = 0.5 * r.Float64()
		default:
			f.Amount = r.Float64()
		}
		if (f.Kind == "kill" || f.Kind == "leave") && r.IntN(3) == 0 {
			f.Length = 0
		}
		p.Faults = append(p.Faults, f)
	}
	p.SettleBound = settleBound(p)
	return p
}

// DrawControlPlane draws a plan with a council by a seed: what strikes views strikes it too, while operators drain and call back,
// and in half of the plans a release runs.
func DrawControlPlane(seed uint64) *Plan {
	p := Draw(seed)
	r := source(seed, 31)
	p.Members = 3 + r.IntN(12)
	if r.IntN(25) == 0 {
		p.Members = 30 + r.IntN(60)
	}
	p.Replicas, p.Budget = 3, 1+r.IntN(3)
	if p.Members >= 5 && r.IntN(3) == 0 {
		p.Replicas = 5
	}
	if r.IntN(3) == 0 {
		p.SiteBudget = 1
	}
	p.Disk = r.IntN(4) == 0
	p.Length += 30
	p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool { return f.Kind == "twin" })
	for i := range p.Faults {
		p.Faults[i].Target = r.IntN(p.Members)
	}
	calls := []string{"drain", "drain", "drain", "resume", "resume", "write-off"}
	for range 2 + r.IntN(12) {
		f := Fault{
			Kind:   calls[r.IntN(len(calls))],
			At:     8 + (p.Length-8)*r.Float64(),
			Target: r.IntN(p.Members),
			Amount: float64(r.IntN(p.Members)),
		}
		if f.Kind == "write-off" && r.IntN(4) != 0 {
			f.Kind = "drain"
		}
		p.Faults = append(p.Faults, f)
	}
	if r.IntN(2) == 0 {
		p.Length += 60
		p.Faults = append(
			p.Faults,
			Fault{
				Kind:   "release",
				At:     10 + 20*r.Float64(),
				Target: r.IntN(p.Members),
				Amount: float64(r.IntN(len(kindsOfVersion))),
				Length: 3 + 5*r.Float64(),
			},
		)
		if r.IntN(3) == 0 {
			p.Faults = append(
				p.Faults,
				Fault{
					Kind:   []string{"halt", "go", "way-back"}[r.IntN(3)],
					At:     30 + (p.Length-30)*r.Float64(),
					Target: r.IntN(p.Members),
				},
			)
		}
	}
	p.Forget = max(p.Forget, 100)
	p.SettleBound = settleBound(p) + 120
	return p
}

// settleBound is the bound after which views have to be right and equal.
func settleBound(p *Plan) float64 {
	q := 120 + float64(p.Members)/2
	if p.Loss > 0 {
		q += 60
	}
	return q
}

// source returns random numbers of their own for what is named by n.
func source(seed, n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
