package fleetsim

import (
	"cmp"
	"strings"
)

// Run plays a plan. With verbose, the outcome's log holds all changes of views.
func Run(p *Plan, verbose bool) *Outcome {
	w := build(p, verbose)
	w.play()
	return w.outcome
}

func (w *Simulation) play() {
	p := w.plan
	for i := range p.Members {
		w.start(i, addr(i), false, false)
	}
	w.lastFaultEnd = 0
	for i := range p.Faults {
		w.scheduleFault(&p.Faults[i])
	}
	w.until(periods(p.Length), nil)
	w.lastFaultEnd = w.now
	end := w.now + periods(p.SettleBound)
	said, since := "", w.now                   // what is not right, and since when it has been the same
	for w.now < end && w.outcome.Fault == "" { // looked at every period: it is what the bound is about
		why := w.problem()
		if why == "" {
			break
		}
		if why != said {
			said, since = why, w.now
		}
		w.until(w.now+Period, nil)
		if w.truth != nil {
			w.truth.operate()
		}
	}
	w.outcome.ConvergedAfter = w.now - w.lastFaultEnd
	// In a large fleet that loses datagrams all the time some suspicion is on its way at any instant; one that stays is a fault.
	if why := w.problem(); why != "" && !(w.lossy() && underWay(why) && w.now-since < periods(20)) {
		w.fail("not settled %.0f periods after the last fault: %s", p.SettleBound, why)
	}
	w.until(w.now+periods(3*10), nil) // and it stays so
	if why := w.divergence(); why != "" && !(w.lossy() && underWay(why)) && (w.truth == nil || !w.truth.crashing()) {
		w.fail("unsettled again: %s", why)
	}
	w.outcome.MemberPeriods = float64(p.Members) * w.now.Seconds() / Period.Seconds()
	w.outcome.Trace, w.outcome.Sent = w.hash.Sum64(), w.sent.Sum64()
}

// problem says what is not right in the views, or in the council where there is one.
func (w *Simulation) problem() string {
	why := w.divergence()
	if w.truth == nil {
		return why
	}
	if w.lossy() && underWay(why) || w.truth.crashing() {
		return ""
	}
	return cmp.Or(why, w.truth.unsettled())
}

// underWay reports whether what is not right is a suspicion, or a refutation of one, on its way: where datagrams are lost
// there is one at almost any instant.
func underWay(why string) bool {
	return strings.Contains(why, "for suspect") || strings.HasPrefix(why, "the views of")
}

// lossy reports whether datagrams are lost also in quiet times: then members are suspected now and then.
func (w *Simulation) lossy() bool { return w.plan.Loss > 0 || w.plan.Damage > 0 }
