package scale

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/scale/record"
)

// Options is how plans are played.
type Options struct {
	Self   []string // the command of a child of the tool; none: all runs in this process, for tests
	Bin    string   // the program
	Dir    string   // where logs go; it has to exist
	Host   Host
	Log    func(what string, left time.Duration) // told of what is being done; nil: nobody
	Settle time.Duration                         // bounds each wait for a state; 0: five minutes
}

// gap is what lies between the starts of two light nodes over all processes: a fleet is started gently.
const gap = 8 * time.Millisecond

// cluster is what a plan is played on.
type cluster struct {
	plan      *Plan
	options   Options
	addresses addressBlock
	lock      net.Listener
	dir       string

	children  []party // hollow and seats
	members   [][]int // of each
	discovery party
	workers   party
	nodes     []*nodeProcess

	host   *fake.Sockets
	crowd  *fake.Clients
	asking chan struct{}
	asked  sync.WaitGroup

	failure   error // why the run has to end, from the guard of memory
	failureMu sync.Mutex
	peak      atomic.Uint64
	ctx       context.Context
	cancel    context.CancelFunc
}

var blocks atomic.Int64

// reserve takes a /16 of loopback that no other run on the machine uses: a listener holds it.
func reserve() (addressBlock, net.Listener, error) {
	at := os.Getpid() + int(blocks.Add(1))
	for i := range 120 {
		b := addressBlock(130 + (at+i)%120)
		if ln, err := net.Listen("tcp", b.lock()); err == nil {
			return b, ln, nil
		}
	}
	return 0, nil, errors.New("no block of loopback addresses is free")
}

// Play plays a plan and returns its points: one, or with a fault one before, during and after it.
func Play(ctx context.Context, p *Plan, o Options) (points []record.Point, err error) {
	if err := p.Check(o.Host); err != nil {
		return nil, err
	}
	if o.Settle == 0 {
		o.Settle = 5 * time.Minute
	}
	f := &cluster{plan: p, options: o, dir: o.Dir, asking: make(chan struct{})}
	f.ctx, f.cancel = context.WithCancel(ctx)
	defer f.close()
	if err := f.begin(); err != nil {
		return nil, f.why(err)
	}
	points, err = f.play()
	return points, f.why(err)
}

// why is the reason for an end: the guard's, if it has ended the run.
func (f *cluster) why(err error) error {
	f.failureMu.Lock()
	defer f.failureMu.Unlock()
	switch {
	case f.failure != nil:
		return f.failure
	case errors.Is(err, context.Canceled):
		return errors.New("it was interrupted")
	}
	return err
}

func (f *cluster) progress(left time.Duration, format string, a ...any) {
	if f.options.Log != nil {
		f.options.Log(fmt.Sprintf(format, a...), left)
	}
}

// party starts a process, or what stands for it.
func (f *cluster) party(name, role string, members []int) (party, error) {
	var k party
	if len(f.options.Self) == 0 {
		k = localChild{NewChild()}
	} else {
		c, err := startChild(name, f.dir, f.options.Self)
		if err != nil {
			return nil, err
		}
		k = c
	}
	_, err := k.do(
		Command{Action: "begin", Role: role, Plan: f.plan, Block: int(f.addresses), Dir: f.dir, Members: members},
	)
	return k, err
}

// begin starts all that the plan has.
func (f *cluster) begin() (err error) {
	if f.addresses, f.lock, err = reserve(); err != nil {
		return err
	}
	f.progress(0, "starts %d processes", f.plan.processes())
	if f.discovery, err = f.party("discovery", "discovery", nil); err != nil {
		return err
	}
	if f.workers, err = f.party("workers", "worker", nil); err != nil {
		return err
	}
	var groups [][]int
	for i := range f.plan.Replicas {
		groups = append(groups, []int{i})
	}
	groups = append(groups, f.plan.groups()...)
	for g, members := range groups {
		k, err := f.party(fmt.Sprintf("hollow-%d", g), "hollow", members)
		if k != nil {
			f.children, f.members = append(f.children, k), append(f.members, members)
		}
		if err != nil {
			return err
		}
	}
	go f.guard()
	if err := f.each(func(g int) error {
		_, err := f.children[g].do(Command{Action: "start", Gap: (gap * time.Duration(len(f.children))).Seconds()})
		return err
	}); err != nil {
		return err
	}
	for i := f.plan.Replicas; i < f.plan.Replicas+f.plan.Real; i++ {
		r, err := startReal(f.options.Bin, f.dir, f.plan, f.addresses, i)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, r)
	}
	f.clients()
	return nil
}

// each does something for all processes of light nodes at once.
func (f *cluster) each(do func(g int) error) error {
	errs := make([]error, len(f.children))
	var all sync.WaitGroup
	for g := range f.children {
		all.Go(func() { errs[g] = do(g) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// close ends all that the run has started, by its ids.
func (f *cluster) close() {
	f.cancel()
	close(f.asking)
	f.asked.Wait()
	if f.host != nil {
		f.host.Close()
	}
	var all sync.WaitGroup
	for _, r := range f.nodes {
		all.Go(r.end)
	}
	for _, k := range append(slices.Clone(f.children), f.discovery, f.workers) {
		if k != nil {
			all.Go(k.end)
		}
	}
	all.Wait()
	if f.lock != nil {
		f.lock.Close()
	}
}

// lookInterval is how often the guard looks, and how often a wait asks.
const lookInterval = time.Second

// guard ends the run where its processes take more than half of the machine's memory.
func (f *cluster) guard() {
	every := time.NewTicker(lookInterval)
	defer every.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-every.C:
		}
		if sum := f.resident(); sum > f.options.Host.Memory/2 {
			f.failureMu.Lock()
			f.failure = fmt.Errorf(
				"the run's processes take %d MiB, %d at most: half of this machine's memory; it was ended",
				sum>>20,
				f.options.Host.Memory/2>>20,
			)
			f.failureMu.Unlock()
			f.cancel()
			return
		}
	}
}

// resident sums the memory of the run's processes. Pages that they share count for each: more than there is, never less.
func (f *cluster) resident() (sum uint64) {
	pids := map[int]bool{os.Getpid(): true, f.discovery.pid(): true, f.workers.pid(): true}
	for _, k := range f.children {
		pids[k.pid()] = true
	}
	for pid := range pids {
		sum += rss(pid)
	}
	if len(f.options.Self) > 0 {
		for _, r := range f.nodes {
			sum += rss(r.cmd.Process.Pid)
		}
	}
	f.peak.Store(max(f.peak.Load(), sum))
	return sum
}

// pause waits, unless the run ends.
func (f *cluster) pause(d time.Duration, what string) error {
	end := time.Now().Add(d)
	every := time.NewTicker(min(lookInterval, d))
	defer every.Stop()
	for {
		left := time.Until(end)
		f.progress(left, "%s", what)
		if left <= 0 {
			return nil
		}
		timer := time.NewTimer(left)
		select {
		case <-f.ctx.Done():
			timer.Stop()
			return f.ctx.Err()
		case <-timer.C:
		case <-every.C:
		}
		timer.Stop()
	}
}

// play waits for the fleet to be whole, and measures it.
func (f *cluster) play() ([]record.Point, error) {
	took, err := f.until("one view of all", f.wrong(f.all))
	if err != nil {
		return nil, err
	}
	if err := f.pause(5*f.plan.period(), "settles"); err != nil {
		return nil, err
	}
	if f.plan.Fault != "" {
		return f.fault(took)
	}
	point, err := f.measure(f.plan.seconds())
	if err != nil {
		return nil, err
	}
	one(&point, "tool", "one_view_s", "s", took.Seconds())
	return []record.Point{point}, nil
}

// measure measures for a while.
func (f *cluster) measure(long time.Duration) (record.Point, error) {
	if f.plan.Settings && f.plan.ChangesPerMinute > 0 {
		if err := f.founded(); err != nil {
			return record.Point{}, err
		}
	}
	a, err := f.snapshot()
	if err != nil {
		return record.Point{}, err
	}
	var changes []change
	ctx, stop := context.WithCancel(f.ctx)
	done := make(chan error, 1)
	go func() {
		var err error
		changes, err = f.changes(ctx)
		done <- err
	}()
	err = f.pause(long, "measures")
	stop()
	if late := <-done; err == nil {
		err = late
	}
	if err != nil {
		return record.Point{}, err
	}
	b, err := f.snapshot()
	if err != nil {
		return record.Point{}, err
	}
	held := make([]Reply, len(f.children))
	if err := f.each(func(g int) (err error) { held[g], err = f.children[g].do(Command{Action: "held"}); return err }); err != nil {
		return record.Point{}, err
	}
	return f.point(a, b, held, changes), nil
}
