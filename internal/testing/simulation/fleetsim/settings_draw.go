package fleetsim

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// settingsDraw draws what happens to a plan in which settings are changed. All draws are of one source, in a fixed order.
type settingsDraw struct {
	plan   *Plan
	random *rand.Rand
}

// DrawSettings draws a plan in which operators change the settings, by a seed, while much goes wrong.
func DrawSettings(seed uint64) *Plan {
	p := DrawControlPlane(seed)
	d := settingsDraw{plan: p, random: source(seed, 43)}
	p.Settings = true
	p.Members = min(p.Members, 40)
	d.dropFaults()
	d.drawUnusualMembers()
	d.drawChanges()
	d.drawNetworkFaults()
	d.drawEmptyReplicas()
	d.drawUpgrades()
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	p.SettleBound += 60
	return p
}

// dropFaults leaves out releases and forced removals, and what strikes members that the plan no longer has.
func (d settingsDraw) dropFaults() {
	p := d.plan
	excluded := []string{"release", "halt", "go", "way-back", "write-off"}
	p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool {
		return f.Target >= p.Members || slices.Contains(excluded, f.Kind)
	})
}

// drawMembers draws from one to so many members; one may be drawn more than once.
func (d settingsDraw) drawMembers(most int) (list []int) {
	for range 1 + d.random.IntN(most) {
		list = append(list, d.random.IntN(d.plan.Members))
	}
	return list
}

// drawUnusualMembers draws who runs the older program, and who refuses settings.
func (d settingsDraw) drawUnusualMembers() {
	if d.random.IntN(5) == 0 {
		d.plan.Older = d.drawMembers(3)
	}
	if d.random.IntN(4) == 0 {
		d.plan.Refuses = d.drawMembers(2)
	}
}

// drawChanges draws the operators' changes, some of them at once.
func (d settingsDraw) drawChanges() {
	r, members := d.random, d.plan.Members
	for range 2 + r.IntN(8) {
		at := 8 + (d.plan.Length-8)*r.Float64()
		kind, size := "set", 2*r.Float64()
		switch r.IntN(12) {
		case 0:
			kind = "set-back"
		case 1, 2:
			size = 700 * r.Float64()
		}
		d.add(kind, at, 0, r.IntN(members), size)
		for range r.IntN(3) { // others at once
			d.add("set", at+0.3*r.Float64(), 0, r.IntN(members), 2*r.Float64())
		}
	}
}

// drawNetworkFaults draws a region that is cut off, damaged content, and a member that dies while it applies settings.
func (d settingsDraw) drawNetworkFaults() {
	r, members := d.random, d.plan.Members
	if r.IntN(3) == 0 {
		d.add("region", d.drawTime(), 5+40*r.Float64(), r.IntN(3), 0)
	}
	if r.IntN(4) == 0 {
		d.add("garbles", d.drawTime(), 30, r.IntN(members), 0)
	}
	if r.IntN(3) == 0 {
		d.add("dies-applying", d.drawTime(), 3*r.Float64(), r.IntN(members), 0)
	}
}

// drawEmptyReplicas has a minority, a majority or all of the replicas come back empty, or stay away for a while.
func (d settingsDraw) drawEmptyReplicas() {
	r := d.random
	if r.IntN(2) != 0 {
		return
	}
	at, length, count := d.drawTime(), 0.5+20*r.Float64()*r.Float64(), 1+r.IntN(d.plan.Replicas)
	for i := range min(count, d.plan.Members) {
		d.add("kill", at+0.5*r.Float64(), max(length, 0.5), i, 0)
	}
}

// drawUpgrades draws who of the older members is upgraded.
func (d settingsDraw) drawUpgrades() {
	for _, i := range d.plan.Older {
		if d.random.IntN(2) == 0 {
			d.add("upgrade", d.drawTime(), 0, i, 0)
		}
	}
}

// drawTime draws a time after the founding.
func (d settingsDraw) drawTime() float64 { return 12 + (d.plan.Length-12)*d.random.Float64() }

// add puts a fault into the plan, within its length.
func (d settingsDraw) add(kind string, at, length float64, target int, amount float64) {
	at = min(at, d.plan.Length)
	d.plan.Faults = append(
		d.plan.Faults,
		Fault{Kind: kind, At: at, Length: min(length, d.plan.Length-at), Target: target, Amount: amount},
	)
}
