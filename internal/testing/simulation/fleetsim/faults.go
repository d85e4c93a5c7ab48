package fleetsim

import (
	"time"
)

// scheduleFault plans one fault.
func (w *Simulation) scheduleFault(f *Fault) {
	w.schedule(periods(f.At), func() {
		w.record("fault %s on n%d for %.2f (%.2f)", f.Kind, f.Target, f.Length, f.Amount)
		w.inject(f, f.Target, periods(f.Length))
	})
}

// inject lets a fault happen. What a kind does stands in faultActions.
func (w *Simulation) inject(f *Fault, target int, length time.Duration) {
	if w.truth != nil && w.truth.changes != nil {
		w.truth.changes.inject(f, target, length)
	}
	if act := faultActions[f.Kind]; act != nil {
		act(w, f, target, length)
	}
}

// faultAction is what a fault does to its target, a member's number.
type faultAction func(w *Simulation, f *Fault, target int, length time.Duration)

var faultActions = map[string]faultAction{
	"kill": func(w *Simulation, f *Fault, target int, length time.Duration) {
		w.end(w.processes[target])
		w.startLater(target, length)
	},
	"leave": func(w *Simulation, f *Fault, target int, length time.Duration) {
		w.leave(w.processes[target])
		if length > 0 {
			w.startLater(target, max(length, periods(2)))
		}
	},
	"stop":    func(w *Simulation, f *Fault, target int, length time.Duration) { w.pause(w.processes[target], length) },
	"slow":    (*Simulation).pauseInTurn,
	"many":    (*Simulation).killMany,
	"rolling": (*Simulation).restartAll,
	"replace": (*Simulation).replaceProcess,
	"twin": func(w *Simulation, f *Fault, target int, length time.Duration) {
		address := "10.9." + addr(target)[5:]
		if w.processByAddress[address] == nil {
			duplicate := w.start(target, address, false, true)
			w.schedule(w.now+length, func() { w.end(duplicate) })
		}
	},

	"split": func(w *Simulation, f *Fault, target int, length time.Duration) {
		parts := max(int(f.Amount), 2)
		w.cut(length, func(a, b int) bool { return a%parts != b%parts })
	},
	"alone": func(w *Simulation, f *Fault, target int, length time.Duration) { w.isolate(target, length) },
	"half": func(w *Simulation, f *Fault, t int, length time.Duration) {
		w.cut(length, func(a, b int) bool { return a == t && b%2 == 0 && b != t || b == t && a%2 == 0 && a != t })
	},
	"deaf-to": func(w *Simulation, f *Fault, target int, length time.Duration) {
		next := (target + 1) % w.plan.Members
		w.cut(length, func(a, b int) bool { return a == next && b == target && next != target })
	},
	"flap": func(w *Simulation, f *Fault, target int, length time.Duration) {
		for at := time.Duration(0); at < length; at += periods(4) {
			w.schedule(w.now+at, func() { w.isolate(target, min(periods(2), length)) })
		}
	},
	"loss": func(w *Simulation, f *Fault, target int, length time.Duration) {
		w.loss = f.Amount
		w.schedule(w.now+length, func() { w.loss = w.plan.Loss })
	},
	"jitter": func(w *Simulation, f *Fault, target int, length time.Duration) {
		w.jitter = f.Amount
		w.schedule(w.now+length, func() { w.jitter = w.plan.Jitter })
	},
	"damage": func(w *Simulation, f *Fault, target int, length time.Duration) {
		w.damage = f.Amount
		w.schedule(w.now+length, func() { w.damage = w.plan.Damage })
	},
	"overflow": func(w *Simulation, f *Fault, target int, length time.Duration) {
		p := w.processes[target]
		p.readShare = f.Amount
		w.schedule(w.now+length, func() { p.readShare = 1 })
	},
	"again": (*Simulation).replayDatagrams,
	"liar": func(w *Simulation, f *Fault, target int, length time.Duration) {
		w.liars[target] = source(w.plan.Seed, 99+uint64(target))
		w.schedule(w.now+length, func() { delete(w.liars, target) })
	},

	"drain":     operatorAction,
	"resume":    operatorAction,
	"write-off": operatorAction,
	"release":   operatorAction,
	"halt":      operatorAction,
	"go":        operatorAction,
	"way-back":  operatorAction,
	"wrong":     func(w *Simulation, f *Fault, target int, length time.Duration) { w.truth.wrong[name(target)] = true },
	"bad":       func(w *Simulation, f *Fault, target int, length time.Duration) { w.truth.bad(target, length) },
}

func operatorAction(w *Simulation, f *Fault, target int, _ time.Duration) {
	w.truth.operatorCall(f, target)
}

// startLater starts a member's process after a while, unless one runs by then; not at all if that is zero.
func (w *Simulation) startLater(i int, after time.Duration) {
	if after <= 0 {
		return
	}
	w.schedule(w.now+after, func() {
		if !w.processes[i].running && w.processByAddress[addr(i)] == nil {
			w.start(i, addr(i), false, false)
		}
	})
}

// isolate cuts a member off from all others.
func (w *Simulation) isolate(target int, length time.Duration) {
	w.cut(length, func(a, b int) bool { return (a == target) != (b == target) })
}

func (w *Simulation) pauseInTurn(f *Fault, target int, length time.Duration) {
	p := w.processes[target]
	for at := time.Duration(0); at < length; at += periods(1) {
		w.schedule(w.now+at, func() { w.pause(p, periods(0.2+0.6*f.Amount)) })
	}
}

func (w *Simulation) killMany(f *Fault, _ int, length time.Duration) {
	random := source(w.plan.Seed, 77)
	for i, p := range w.processes {
		if random.Float64() < f.Amount {
			w.end(p)
			w.startLater(i, max(length, time.Millisecond))
		}
	}
}

func (w *Simulation) restartAll(_ *Fault, _ int, length time.Duration) {
	for i := range w.processes {
		w.schedule(w.now+length*time.Duration(i)/time.Duration(len(w.processes)), func() {
			w.leave(w.processes[i])
			w.startLater(i, periods(2.5))
		})
	}
}

// replaceProcess ends a member's process and starts one that takes its place, without a gap that others notice.
func (w *Simulation) replaceProcess(_ *Fault, target int, _ time.Duration) {
	p := w.processes[target]
	if !p.running || p.paused {
		return
	}
	w.end(p)
	w.schedule(w.now+periods(0.05), func() {
		if w.processByAddress[addr(target)] == nil {
			w.start(target, addr(target), true, false)
		}
	})
}

// replayDatagrams sends again what a member has sent, also under an earlier life or by another process of its name.
func (w *Simulation) replayDatagrams(_ *Fault, target int, length time.Duration) {
	for range 20 {
		w.schedule(w.now+time.Duration(w.random.Float64()*float64(length)), func() {
			from := w.processes[target]
			for _, p := range append(w.twins, w.processes...) {
				if p.index == target && len(p.sent) > 0 && w.random.IntN(2) == 0 {
					from = p
				}
			}
			if len(from.sent) > 0 {
				w.deliver(addr(w.random.IntN(w.plan.Members)), delivery{from.addr, from.sent[w.random.IntN(len(from.sent))]})
			}
		})
	}
}
