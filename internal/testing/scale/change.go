package scale

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// change is what one change of the configuration has cost: a file for each node and SIGHUP, or a revision of the fleet's settings.
type change struct {
	files int
	bytes int
	// seconds is the time until the last real node's figures say that it has read its file; of the fleet's settings, until
	// the last node has them in force.
	seconds float64
	hollow  []float64            // seconds for a process of light nodes to read it, for each node
	force   map[string][]float64 // of the fleet's settings: seconds until each node has it in force, by role
}

func (c change) add(g *gather) {
	g.add("tool", "change_files", "files", float64(c.files))
	g.add("tool", "change_bytes", "B", float64(c.bytes))
	g.add("tool", "change_s", "s", c.seconds)
	for _, s := range c.hollow {
		g.add("hollow", "change_s", "s", s)
	}
	for role, list := range c.force {
		for _, s := range list {
			g.add(role, "change_s", "s", s)
		}
	}
}

// changes changes the configuration at every node, as often as the plan has it, until ctx ends.
func (f *cluster) changes(ctx context.Context) (list []change, err error) {
	if f.plan.ChangesPerMinute == 0 {
		return nil, nil
	}
	every := time.NewTicker(time.Duration(float64(time.Minute) / f.plan.ChangesPerMinute))
	defer every.Stop()
	for number := 1; ; number++ {
		play := f.change
		if f.plan.Settings {
			play = f.revise
		}
		c, err := play(number)
		if err != nil {
			return list, err
		}
		list = append(list, c)
		select {
		case <-ctx.Done():
			return list, nil
		case <-every.C:
		}
	}
}

// change writes a file for each node, has all read theirs, and waits until each real one has.
func (f *cluster) change(number int) (c change, err error) {
	begin := time.Now()
	reloads, err := f.rewriteReal(&c, number)
	if err != nil {
		return c, err
	}
	if err := f.reloadLight(&c, number); err != nil {
		return c, err
	}
	for i, r := range f.nodes {
		if err := f.waitReload(r, reloads[i], begin); err != nil {
			return c, err
		}
	}
	c.seconds = time.Since(begin).Seconds()
	return c, nil
}

// rewriteReal writes each real node's file and sends it SIGHUP. It returns how many files each had read before.
func (f *cluster) rewriteReal(c *change, number int) (reloads []float64, err error) {
	reloads = make([]float64, len(f.nodes))
	for i, r := range f.nodes {
		metrics, err := r.metrics()
		if err != nil {
			return nil, err
		}
		reloads[i] = metrics["gw_reloads_ok"]
		text := f.plan.config(f.addresses, r.member, number)
		if err := os.WriteFile(r.config+".new", text, 0o644); err != nil {
			return nil, err
		}
		if err := os.Rename(r.config+".new", r.config); err != nil {
			return nil, err
		}
		if err := r.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return nil, fmt.Errorf("%s: %w", memberName(r.member), err)
		}
		c.files++
		c.bytes += len(text)
	}
	return reloads, nil
}

// reloadLight has the light nodes read and check their files.
func (f *cluster) reloadLight(c *change, number int) error {
	var mu sync.Mutex
	return f.each(func(g int) error {
		r, err := f.children[g].do(Command{Action: "reload", Number: number})
		mu.Lock()
		defer mu.Unlock()
		members := len(f.members[g])
		c.files += members
		c.bytes += r.Read
		c.hollow = append(c.hollow, r.Duration/float64(members))
		return err
	})
}

// reloadPoll is how often a real node is asked whether it has read its file.
const reloadPoll = 20 * time.Millisecond

// waitReload waits until a real node has read one more file than before. All that it tells is how often it has read a file,
// not which.
func (f *cluster) waitReload(r *nodeProcess, before float64, begin time.Time) error {
	for {
		metrics, err := r.metrics()
		if err != nil {
			return err
		}
		if metrics["gw_reloads_failed"] > 0 {
			return fmt.Errorf("%s turns the configuration down", memberName(r.member))
		}
		if metrics["gw_reloads_ok"] > before {
			return nil
		}
		if time.Since(begin) > f.options.Settle {
			return fmt.Errorf(
				"%s has not read its configuration after %v", memberName(r.member), f.options.Settle,
			)
		}
		timer := time.NewTimer(reloadPoll)
		select {
		case <-f.ctx.Done():
			timer.Stop()
			return f.ctx.Err()
		case <-timer.C:
		}
	}
}
