package simulation

import (
	"slices"
)

// Shrink minimizes a failing plan while fails returns true for it: fewer faults, fewer jobs, fewer nodes, simpler jobs. It tries at most
// the given number of plans and returns the smallest one that still fails.
func Shrink(p *Plan, most int, fails func(*Plan) bool) *Plan {
	left := most
	try := func(q *Plan) bool {
		if left <= 0 || q.check() != nil {
			return false
		}
		left--
		return fails(q)
	}
	for {
		size := planSize(p)
		p.Faults = reduceList(p.Faults, func(f []Fault) bool { q := *p; q.Faults = f; return try(&q) })
		p.Jobs = reduceJobs(p, try)
		p = simplifyPlan(p, try)
		if left <= 0 || planSize(p) >= size {
			return p
		}
	}
}

// planSize returns the size of a plan, by which Shrink compares plans.
func planSize(p *Plan) (n int) {
	n = p.Nodes + len(p.Faults)
	for _, j := range p.Jobs {
		n += 4
		if j.Shape != "" {
			n++
		}
		if j.Body > 0 {
			n++
		}
		if j.Retries > 0 {
			n++
		}
	}
	return n
}

// reduceList removes parts of a list, first halves and then ever smaller parts, as long as do accepts the rest.
func reduceList[T any](list []T, do func([]T) bool) []T {
	for size := (len(list) + 1) / 2; size >= 1; {
		dropped := false
		for at := 0; at < len(list); {
			rest := slices.Concat(list[:at], list[min(at+size, len(list)):])
			if do(rest) {
				list, dropped = rest, true
			} else {
				at += size
			}
		}
		if size == 1 && !dropped {
			break
		}
		if !dropped || size > len(list) {
			size = max(1, min(size/2, len(list)))
		}
		if len(list) == 0 {
			break
		}
	}
	return list
}

// reduceJobs removes jobs. The remaining jobs keep their names, and so their request IDs, by their original index in the plan.
func reduceJobs(p *Plan, try func(*Plan) bool) []Job {
	jobs := slices.Clone(p.Jobs)
	for i := range jobs {
		if jobs[i].Name == 0 {
			jobs[i].Name = i + 1
		}
	}
	return reduceList(jobs, func(l []Job) bool { q := *p; q.Jobs = l; return try(&q) })
}

// simplifyPlan removes nodes and one unusual property of a job after the other.
func simplifyPlan(p *Plan, try func(*Plan) bool) *Plan {
	with := func(change func(q *Plan)) {
		q := *p
		q.Jobs, q.Faults, q.Workers = slices.Clone(p.Jobs), slices.Clone(p.Faults), slices.Clone(p.Workers)
		if change(&q); planSize(&q) < planSize(p) && try(&q) {
			p = &q
		}
	}
	for p.Nodes > 1 {
		n := p.Nodes
		if with(func(q *Plan) { q.Nodes-- }); p.Nodes == n {
			break
		}
	}
	with(func(q *Plan) {
		for i := range q.Jobs {
			q.Jobs[i].Body = 0
		}
	})
	for i := range p.Jobs {
		with(func(q *Plan) { q.Jobs[i].Shape = "" })
		with(func(q *Plan) { q.Jobs[i].Retries = 0 })
		with(func(q *Plan) { q.Jobs[i].Body = 0 })
	}
	return p
}
