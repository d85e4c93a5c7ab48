package scale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"swiftdeal/internal/testing/scale/record"
)

// Faults are the faults that a plan may have, with what each is.
var Faults = map[string]string{
	"region": "the last region is cut off from the others, and the cut heals: " +
		"datagrams between hollow nodes of both sides, and between them and real ones, are dropped",
	"zone": "all hollow nodes of one zone of the last region crash at once, and are started again",
	"rack": "all hollow nodes of one rack of that zone crash at once, and are started again",
	"day":  "an ordinary day in short: 3 hollow nodes crash and are started again, 47 are restarted, at times that the seed draws",
}

// An ordinary day has so many.
const (
	dayFailures = 3
	dayRestarts = 47
)

// applyFault are the light nodes that a fault strikes.
func (p *Plan) applyFault() (list []int) {
	last := p.Regions - 1
	for i := p.Replicas + p.Real; i < p.Members; i++ {
		switch p.Fault {
		case "region":
			if p.region(i) == last {
				list = append(list, i)
			}
		case "zone":
			if p.region(i) == last && p.zone(i) == p.Zones-1 {
				list = append(list, i)
			}
		case "rack":
			if p.region(i) == last && p.zone(i) == p.Zones-1 && p.rack(i) == p.Racks-1 {
				list = append(list, i)
			}
		}
	}
	return list
}

// command has each process do something with those of its members that are listed; processes with none are left alone.
func (f *cluster) command(cmd Command, list []int) error {
	return f.each(func(g int) error {
		c := cmd
		c.Members = slices.DeleteFunc(slices.Clone(f.members[g]), func(i int) bool { return !slices.Contains(list, i) })
		if len(c.Members) == 0 {
			return nil
		}
		_, err := f.children[g].do(c)
		return err
	})
}

// strike begins or ends a fault, and says what members are to see then.
func (f *cluster) strike(begin bool) (view, error) {
	hit := f.plan.applyFault()
	if len(hit) == 0 {
		return nil, fmt.Errorf(
			"members: %d have no hollow node that fault %q would strike", f.plan.Members, f.plan.Fault,
		)
	}
	switch {
	case f.plan.Fault == "region":
		region := -1
		if begin {
			region = f.plan.Regions - 1
		}
		side := 0
		for i := range f.plan.Members {
			if f.plan.region(i) == f.plan.Regions-1 {
				side++
			}
		}
		err := f.each(func(g int) error {
			_, err := f.children[g].do(Command{Action: "cut", Region: region})
			return err
		})
		if !begin {
			return f.all, err
		}
		return func(i int) int {
			if f.plan.region(i) == f.plan.Regions-1 {
				return side
			}
			return f.plan.Members - side
		}, err
	case begin:
		return func(i int) int {
			if slices.Contains(hit, i) {
				return -1
			}
			return f.plan.Members - len(hit)
		}, f.command(Command{Action: "end", Abrupt: true}, hit)
	}
	return f.all, f.command(Command{Action: "start", Gap: gap.Seconds()}, hit)
}

// Sizes of a fault's points are its phases.
const (
	phaseBefore = iota
	phaseDuring
	phaseAfter
)

// setPhase makes a point one of a phase, with how long it took until all had one view.
func setPhase(p *record.Point, phase int, took time.Duration) {
	p.Size = float64(phase)
	one(p, "tool", "one_view_s", "s", took.Seconds())
}

// fault measures before, during and after a fault: a point for each. What has been measured is returned with an error too.
func (f *cluster) fault(whole time.Duration) ([]record.Point, error) {
	before, err := f.measure(f.plan.seconds())
	if err != nil {
		return nil, err
	}
	setPhase(&before, phaseBefore, whole)
	play := f.playFault
	if f.plan.Fault == "day" {
		play = f.playDay
	}
	points, err := play()
	return append([]record.Point{before}, points...), err
}

// playFault begins and ends a fault, and measures during and after it.
func (f *cluster) playFault() (points []record.Point, err error) {
	want, err := f.strike(true)
	if err != nil {
		return nil, err
	}
	during, err := f.measurePhase(phaseDuring, "all have noticed", f.plan.faultLong(), want)
	if err != nil {
		return nil, err
	}
	points = append(points, during)
	if want, err = f.strike(false); err != nil {
		return points, err
	}
	after, err := f.measurePhase(phaseAfter, "one view again", f.plan.seconds(), want)
	if err != nil {
		return points, err
	}
	return append(points, after), nil
}

// measurePhase measures for a while, and how long it takes until all members have the view that they are to have.
func (f *cluster) measurePhase(phase int, what string, length time.Duration, want view) (record.Point, error) {
	type result struct {
		took time.Duration
		err  error
	}
	seen := make(chan result, 1)
	go func() {
		took, err := f.until(what, f.wrong(want))
		seen <- result{took, err}
	}()
	point, err := f.measure(length)
	observed := <-seen
	if err == nil {
		err = observed.err
	}
	if err != nil {
		return record.Point{}, err
	}
	setPhase(&point, phase, observed.took)
	return point, nil
}

// playDay plays an ordinary day, and measures during and after it.
func (f *cluster) playDay() (points []record.Point, err error) {
	day := make(chan error, 1)
	go func() { day <- f.day() }()
	during, err := f.measure(f.plan.faultLong())
	if late := <-day; err == nil {
		err = late
	}
	if err != nil {
		return nil, err
	}
	took, err := f.until("one view after the day", f.wrong(f.all))
	if err != nil {
		return nil, err
	}
	setPhase(&during, phaseDuring, took)
	points = append(points, during)
	after, err := f.measure(f.plan.seconds())
	if err != nil {
		return points, err
	}
	after.Size = phaseAfter
	return append(points, after), nil
}

// day plays an ordinary day's failures and restarts.
func (f *cluster) day() error {
	rnd := rand.New(rand.NewPCG(f.plan.Seed, 17))
	var hollow []int
	for i := f.plan.Replicas + f.plan.Real; i < f.plan.Members; i++ {
		hollow = append(hollow, i)
	}
	type event struct {
		at    time.Duration
		node  int
		crash bool
	}
	var list []event
	for k := range dayFailures + dayRestarts {
		list = append(
			list,
			event{
				time.Duration(rnd.Float64() * float64(f.plan.faultLong())),
				hollow[rnd.IntN(len(hollow))],
				k < dayFailures,
			},
		)
	}
	slices.SortFunc(list, func(a, b event) int { return int(a.at - b.at) })
	begin := time.Now()
	for _, e := range list {
		if left := e.at - time.Since(begin); left > 0 {
			timer := time.NewTimer(left)
			select {
			case <-f.ctx.Done():
				timer.Stop()
				return f.ctx.Err()
			case <-timer.C:
			}
		}
		if err := f.command(Command{Action: "end", Abrupt: e.crash}, []int{e.node}); err != nil {
			return err
		}
		if err := f.command(Command{Action: "start"}, []int{e.node}); err != nil {
			return err
		}
	}
	return nil
}
