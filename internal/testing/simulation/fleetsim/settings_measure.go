package fleetsim

// SettingsFigures are what is measured of changes on a quiet fleet.
type SettingsFigures struct {
	First, All       []float64 // periods from the operator's question until the yes, and until it is in force everywhere
	Idle             float64   // datagrams of the kind a node sends in a period without changes
	IdleBytes        float64
	Datagrams, Bytes float64 // of the kind beyond that, for one change, of all nodes together
}

// MeasureSettings has settings changed one time after the other on a quiet fleet; size is in KiB of what cannot be packed.
func MeasureSettings(n, times int, size, loss float64, seed uint64) (f SettingsFigures, o *Outcome) {
	p := with(
		agreed(n, 1, 1e6),
		func(p *Plan) { p.Loss, p.Seed, p.MaxMembers, p.Forget, p.Settings = loss, seed, n+1, 1e6, true },
	)
	w := build(&p, false)
	for i := range n {
		w.start(i, addr(i), false, false)
	}
	w.until(periods(40+float64(n)/10), nil)
	c := w.truth.changes
	span := 20.0
	d, b := w.outcome.Revisions, w.outcome.RevisionBytes
	w.until(w.now+periods(span), nil)
	f.Idle, f.IdleBytes = float64(w.outcome.Revisions-d)/span/float64(n), float64(
		w.outcome.RevisionBytes-b,
	)/span/float64(n)
	r := source(seed, 5)
	for range times {
		at, yes := w.now, c.acceptedCount
		d, b = w.outcome.Revisions, w.outcome.RevisionBytes
		c.ask(&Fault{Kind: "set", Amount: size * 12.8}, r.IntN(n))
		if !w.until(w.now+periods(60), func() bool { return c.acceptedCount > yes }) {
			continue
		}
		f.First = append(f.First, (w.now-at).Seconds()/Period.Seconds())
		id := c.order[len(c.order)-1]
		left := n
		w.until(w.now+periods(60), func() bool {
			for left > 0 && w.processes[left-1].replica.core.Distributor().ActiveID() == id {
				left--
			}
			return left == 0
		})
		if left == 0 {
			f.All = append(f.All, (w.now-at).Seconds()/Period.Seconds())
		}
		w.until(at+periods(span), nil)
		f.Datagrams += (float64(w.outcome.Revisions-d) - f.Idle*float64(n)*span) / float64(times)
		f.Bytes += (float64(w.outcome.RevisionBytes-b) - f.IdleBytes*float64(n)*span) / float64(times)
	}
	return f, w.outcome
}
