package scale

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"swiftdeal/internal/membership/codec"
)

// snapshot is what all processes say at about one time.
type snapshot struct {
	children           []Reply
	discovery, workers Reply
	nodes              []nodeReport
	tool               float64
	time               time.Time
	asked              [3]int // jobs asked, served and lost
}

type nodeReport struct {
	time    time.Time
	cpu     float64
	rss     uint64
	metrics map[string]float64
}

func (f *cluster) snapshot() (s *snapshot, err error) {
	s = &snapshot{children: make([]Reply, len(f.children)), nodes: make([]nodeReport, len(f.nodes))}
	for i, r := range f.nodes {
		x := &s.nodes[i]
		x.cpu, x.rss, x.time = used(r.cmd.Process.Pid), rss(r.cmd.Process.Pid), time.Now()
		if x.metrics, err = r.metrics(); err != nil {
			return nil, fmt.Errorf("%s: %w", memberName(r.member), err)
		}
	}
	if err := f.each(func(g int) (err error) { s.children[g], err = f.children[g].do(Command{Action: "report"}); return err }); err != nil {
		return nil, err
	}
	if s.discovery, err = f.discovery.do(Command{Action: "report"}); err != nil {
		return nil, err
	}
	if s.workers, err = f.workers.do(Command{Action: "report"}); err != nil {
		return nil, err
	}
	s.tool, s.time = processCPU(), time.Now()
	if f.host != nil {
		f.host.Do(func() { s.asked = [3]int{f.crowd.Asked, f.crowd.Served, f.crowd.Lost} })
	}
	return s, nil
}

// all has every member see all.
func (f *cluster) all(int) int { return f.plan.Members }

// view is what members are to hold: how many living ones each, by member; below 0 for members that are not asked.
type view func(member int) int

// wrong says who does not hold that yet.
func (f *cluster) wrong(want view) func() (string, error) {
	return func() (string, error) {
		s, err := f.snapshot()
		if err != nil {
			if errors.Is(err, context.Canceled) || f.ctx.Err() != nil {
				return "", f.ctx.Err()
			}
			if strings.HasPrefix(err.Error(), "hollow") {
				return "", err
			}
			return err.Error(), nil // a real one may not have opened its doors
		}
		why, n := "", 0
		not := func(format string, a ...any) {
			if n++; why == "" {
				why = fmt.Sprintf(format, a...)
			}
		}
		for _, k := range s.children {
			for _, r := range k.Nodes {
				w := want(r.Member)
				switch {
				case w < 0:
				case !r.Up:
					not("%s is not up", memberName(r.Member))
				case r.State.Members[codec.Alive] != w || r.State.Members[codec.Suspect] != 0:
					not(
						"%s sees %d living members and %d suspects, not %d",
						memberName(r.Member),
						r.State.Members[codec.Alive],
						r.State.Members[codec.Suspect],
						w,
					)
				case r.State.Workers != f.plan.Workers:
					not("%s has %d workers, not %d", memberName(r.Member), r.State.Workers, f.plan.Workers)
				}
			}
		}
		for i, r := range f.nodes {
			m := s.nodes[i].metrics
			alive, suspect := m[`gw_fleet_members{status="alive"}`], m[`gw_fleet_members{status="suspect"}`]
			switch w := want(r.member); {
			case w < 0:
			case int(alive) != w || suspect != 0:
				not("%s sees %g living members and %g suspects, not %d", memberName(r.member), alive, suspect, w)
			case int(m["gw_workers_known"]) != f.plan.Workers:
				not("%s has %g workers, not %d", memberName(r.member), m["gw_workers_known"], f.plan.Workers)
			}
		}
		if n > 1 {
			why += fmt.Sprintf(", and %d more", n-1)
		}
		return why, nil
	}
}

// until waits for what wrong, which says what is not yet so, finds nothing against.
func (f *cluster) until(what string, wrong func() (string, error)) (time.Duration, error) {
	begin := time.Now()
	for {
		why, err := wrong()
		took := time.Since(begin)
		if err != nil || why == "" {
			return took, err
		}
		if took > f.options.Settle {
			return took, fmt.Errorf("%s: not so after %v: %s", what, took.Round(time.Second), why)
		}
		f.progress(0, "%s (%.0f s): %s", what, took.Seconds(), why)
		pace := time.NewTimer(min(lookInterval, f.plan.period()))
		select {
		case <-f.ctx.Done():
			pace.Stop()
			return took, f.ctx.Err()
		case <-pace.C:
		}
	}
}
