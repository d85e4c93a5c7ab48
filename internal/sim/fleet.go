package sim

import "fmt"

// Sizes of the fleet's scenarios: each node sees few requests, and what one node does is harmless alone.
const (
	fleetNodes = 24
	fleetPeers = 20
	fleetJobs  = 480
	mostNodes  = 128
)

// fleet is a plan of many nodes and peers, of which the jobs fill about half.
func fleet() *Plan {
	p := calm(fleetNodes, fleetPeers, fleetJobs, 8, "slot-check")
	p.Scale, p.Late = 0.5, 300
	for k := range p.Jobs {
		p.Jobs[k].Class = []string{"slot-check", "book-visit", "visit-summary", "send-reminder"}[k%4]
		p.Jobs[k].Work = []float64{200, 300, 700, 500}[k%4]
		p.Jobs[k].Hint, p.Jobs[k].Slots = p.Jobs[k].Work, float64(1+k%7/6)
	}
	return p
}

// mostServed wants at least this share of the answers to be served ones.
func mostServed(share float64) func(*Outcome) string {
	return func(o *Outcome) string {
		if all := o.Served + o.Refused + o.Failed; float64(o.Served) < share*float64(all) {
			return fmt.Sprintf("%d of %d answers served, %.0f%% wanted", o.Served, all, 100*share)
		}
		return ""
	}
}

func init() {
	Scenarios = append(Scenarios,
		Scenario{
			Name: "fleet-killed-at-once", About: "most of a fleet's nodes are killed at one instant and start with old lists, while peers are replaced and discovery is slow",
			Plans: sweep(3, fleet, func(p *Plan, i int) {
				p.Faults = []Fault{{Kind: "list-slow", At: 2400, For: 3000, Amount: 0.25 * float64(i)}}
				for n := range fleetNodes * 7 / 10 {
					p.Faults = append(p.Faults, Fault{Kind: "kill", At: 2500, For: 400, Target: n})
				}
				for n := range fleetPeers / 4 {
					p.Faults = append(p.Faults, Fault{Kind: "drain", At: 2300 + 100*float64(n), For: 500, Target: n})
				}
			}),
			Want: mostServed(0.6), // what killed nodes had taken is lost
		},
		Scenario{
			Name: "fleet-zone-returns-cold", About: "all peers of one zone die, and return cold within a second",
			Plans: sweep(3, fleet, func(p *Plan, i int) {
				for n := 1; n < fleetPeers; n += 2 {
					p.Faults = append(p.Faults, Fault{Kind: "die", At: 2000, For: 1000 + 30*float64(n) + 300*float64(i), Target: n})
				}
			}),
			Want: mostServed(0.6),
		},
		Scenario{
			Name: "fleet-peers-replaced", About: "six in ten peers are replaced by cold ones one after the other",
			Plans: sweep(3, fleet, func(p *Plan, i int) {
				for n := range fleetPeers * 6 / 10 {
					p.Faults = append(p.Faults, Fault{Kind: "drain", At: 1500 + 150*float64(n), For: 400 + 200*float64(i), Target: n, Amount: 0.1})
				}
			}),
			Want: mostServed(0.75),
		},
	)
}
