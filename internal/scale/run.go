package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/internal/fleet/gossip"
	"swiftdeal/internal/fleet/wire"
	"swiftdeal/internal/scale/record"
	"swiftdeal/internal/standin"
)

// Options is how plans are played.
type Options struct {
	Self   []string // the command of a child of the tool; none: all runs in this process, for tests
	Bin    string   // the program
	Dir    string   // where logs go; it has to exist
	Host   Host
	Say    func(what string, left time.Duration) // told of what is being done; nil: nobody
	Settle time.Duration                         // bounds each wait for a state; 0: five minutes
}

// gap is what lies between the starts of two hollow nodes over all processes: a fleet is started gently.
const gap = 8 * time.Millisecond

// field is what a plan is played on.
type field struct {
	p    *Plan
	o    Options
	b    places
	lock net.Listener
	dir  string

	kids    []party // hollow and seats
	members [][]int // of each
	disco   party
	workers party
	reals   []*real

	host   *standin.Sockets
	crowd  *standin.Clients
	asking chan struct{}
	asked  sync.WaitGroup

	over   error // why the run has to end, from the guard of memory
	overMu sync.Mutex
	peak   atomic.Uint64
	ctx    context.Context
	cancel context.CancelFunc
}

var blocks atomic.Int64

// reserve takes a /16 of loopback that no other run on the machine uses: a listener holds it.
func reserve() (places, net.Listener, error) {
	at := os.Getpid() + int(blocks.Add(1))
	for i := range 120 {
		b := places(130 + (at+i)%120)
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
	f := &field{p: p, o: o, dir: o.Dir, asking: make(chan struct{})}
	f.ctx, f.cancel = context.WithCancel(ctx)
	defer f.close()
	if err := f.begin(); err != nil {
		return nil, f.why(err)
	}
	points, err = f.play()
	return points, f.why(err)
}

// why is the reason for an end: the guard's, if it has ended the run.
func (f *field) why(err error) error {
	f.overMu.Lock()
	defer f.overMu.Unlock()
	switch {
	case f.over != nil:
		return f.over
	case errors.Is(err, context.Canceled):
		return errors.New("it was interrupted")
	}
	return err
}

func (f *field) say(left time.Duration, format string, a ...any) {
	if f.o.Say != nil {
		f.o.Say(fmt.Sprintf(format, a...), left)
	}
}

// party starts a process, or what stands for it.
func (f *field) party(name, role string, members []int) (party, error) {
	var k party
	if len(f.o.Self) == 0 {
		k = within{NewChild()}
	} else {
		c, err := startChild(name, f.dir, f.o.Self)
		if err != nil {
			return nil, err
		}
		k = c
	}
	_, err := k.do(Command{Do: "begin", Role: role, Plan: f.p, Block: int(f.b), Dir: f.dir, Members: members})
	return k, err
}

// begin starts all that the plan has.
func (f *field) begin() (err error) {
	if f.b, f.lock, err = reserve(); err != nil {
		return err
	}
	f.say(0, "starts %d processes", f.p.processes())
	if f.disco, err = f.party("discovery", "discovery", nil); err != nil {
		return err
	}
	if f.workers, err = f.party("workers", "worker", nil); err != nil {
		return err
	}
	var groups [][]int
	for i := range f.p.Seats {
		groups = append(groups, []int{i})
	}
	groups = append(groups, f.p.groups()...)
	for g, members := range groups {
		k, err := f.party(fmt.Sprintf("hollow-%d", g), "hollow", members)
		if k != nil {
			f.kids, f.members = append(f.kids, k), append(f.members, members)
		}
		if err != nil {
			return err
		}
	}
	go f.guard()
	if err := f.each(func(g int) error {
		_, err := f.kids[g].do(Command{Do: "start", Gap: (gap * time.Duration(len(f.kids))).Seconds()})
		return err
	}); err != nil {
		return err
	}
	for i := f.p.Seats; i < f.p.Seats+f.p.Real; i++ {
		r, err := startReal(f.o.Bin, f.dir, f.p, f.b, i)
		if err != nil {
			return err
		}
		f.reals = append(f.reals, r)
	}
	f.clients()
	return nil
}

// each does something for all processes of hollow nodes at once.
func (f *field) each(do func(g int) error) error {
	errs := make([]error, len(f.kids))
	var all sync.WaitGroup
	for g := range f.kids {
		all.Go(func() { errs[g] = do(g) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// close ends all that the run has started, by its ids.
func (f *field) close() {
	f.cancel()
	close(f.asking)
	f.asked.Wait()
	if f.host != nil {
		f.host.Close()
	}
	var all sync.WaitGroup
	for _, r := range f.reals {
		all.Go(r.end)
	}
	for _, k := range append(slices.Clone(f.kids), f.disco, f.workers) {
		if k != nil {
			all.Go(k.end)
		}
	}
	all.Wait()
	if f.lock != nil {
		f.lock.Close()
	}
}

// look is how often the guard looks, and how often a wait asks.
const look = time.Second

// guard ends the run where its processes take more than half of the machine's memory.
func (f *field) guard() {
	every := time.NewTicker(look)
	defer every.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-every.C:
		}
		if sum := f.resident(); sum > f.o.Host.Memory/2 {
			f.overMu.Lock()
			f.over = fmt.Errorf("the run's processes take %d MiB, %d at most: half of this machine's memory; it was ended", sum>>20, f.o.Host.Memory/2>>20)
			f.overMu.Unlock()
			f.cancel()
			return
		}
	}
}

// resident sums the memory of the run's processes. Pages that they share count for each: more than there is, never less.
func (f *field) resident() (sum uint64) {
	pids := map[int]bool{os.Getpid(): true, f.disco.pid(): true, f.workers.pid(): true}
	for _, k := range f.kids {
		pids[k.pid()] = true
	}
	for pid := range pids {
		sum += rss(pid)
	}
	if len(f.o.Self) > 0 {
		for _, r := range f.reals {
			sum += rss(r.cmd.Process.Pid)
		}
	}
	f.peak.Store(max(f.peak.Load(), sum))
	return sum
}

// pause waits, unless the run ends.
func (f *field) pause(d time.Duration, what string) error {
	end := time.Now().Add(d)
	every := time.NewTicker(min(look, d))
	defer every.Stop()
	for {
		left := time.Until(end)
		f.say(left, "%s", what)
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

// until waits for what wrong, which says what is not yet so, finds nothing against.
func (f *field) until(what string, wrong func() (string, error)) (time.Duration, error) {
	begin := time.Now()
	for {
		why, err := wrong()
		took := time.Since(begin)
		if err != nil || why == "" {
			return took, err
		}
		if took > f.o.Settle {
			return took, fmt.Errorf("%s: not so after %v: %s", what, took.Round(time.Second), why)
		}
		f.say(0, "%s (%.0f s): %s", what, took.Seconds(), why)
		pace := time.NewTimer(min(look, f.p.period()))
		select {
		case <-f.ctx.Done():
			pace.Stop()
			return took, f.ctx.Err()
		case <-pace.C:
		}
	}
}

// snapshot is what all processes say at about one time.
type snapshot struct {
	kids           []Reply
	disco, workers Reply
	reals          []realReport
	tool           float64
	at             time.Time
	asked          [3]int // jobs asked, served and lost
}

type realReport struct {
	at      time.Time
	cpu     float64
	rss     uint64
	metrics map[string]float64
}

func (f *field) snapshot() (s *snapshot, err error) {
	s = &snapshot{kids: make([]Reply, len(f.kids)), reals: make([]realReport, len(f.reals))}
	for i, r := range f.reals {
		x := &s.reals[i]
		x.cpu, x.rss, x.at = used(r.cmd.Process.Pid), rss(r.cmd.Process.Pid), time.Now()
		if x.metrics, err = r.metrics(); err != nil {
			return nil, fmt.Errorf("%s: %w", memberName(r.member), err)
		}
	}
	if err := f.each(func(g int) (err error) { s.kids[g], err = f.kids[g].do(Command{Do: "report"}); return err }); err != nil {
		return nil, err
	}
	if s.disco, err = f.disco.do(Command{Do: "report"}); err != nil {
		return nil, err
	}
	if s.workers, err = f.workers.do(Command{Do: "report"}); err != nil {
		return nil, err
	}
	s.tool, s.at = ownCPU(), time.Now()
	if f.host != nil {
		f.host.Do(func() { s.asked = [3]int{f.crowd.Asked, f.crowd.Served, f.crowd.Lost} })
	}
	return s, nil
}

// view is what members are to hold: how many living ones each, by member; below 0 for members that are not asked.
type view func(member int) int

// all has every member see all.
func (f *field) all(int) int { return f.p.Members }

// wrong says who does not hold that yet.
func (f *field) wrong(want view) func() (string, error) {
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
		for _, k := range s.kids {
			for _, r := range k.Nodes {
				w := want(r.Member)
				switch {
				case w < 0:
				case !r.Up:
					not("%s is not up", memberName(r.Member))
				case r.State.Members[wire.Alive] != w || r.State.Members[wire.Suspect] != 0:
					not("%s sees %d living members and %d suspects, not %d", memberName(r.Member), r.State.Members[wire.Alive], r.State.Members[wire.Suspect], w)
				case r.State.Workers != f.p.Workers:
					not("%s has %d workers, not %d", memberName(r.Member), r.State.Workers, f.p.Workers)
				}
			}
		}
		for i, r := range f.reals {
			m := s.reals[i].metrics
			alive, suspect := m[`gw_fleet_members{status="alive"}`], m[`gw_fleet_members{status="suspect"}`]
			switch w := want(r.member); {
			case w < 0:
			case int(alive) != w || suspect != 0:
				not("%s sees %g living members and %g suspects, not %d", memberName(r.member), alive, suspect, w)
			case int(m["gw_workers_known"]) != f.p.Workers:
				not("%s has %g workers, not %d", memberName(r.member), m["gw_workers_known"], f.p.Workers)
			}
		}
		if n > 1 {
			why += fmt.Sprintf(", and %d more", n-1)
		}
		return why, nil
	}
}

// play waits for the fleet to be whole, and measures it.
func (f *field) play() ([]record.Point, error) {
	took, err := f.until("one view of all", f.wrong(f.all))
	if err != nil {
		return nil, err
	}
	if err := f.pause(5*f.p.period(), "settles"); err != nil {
		return nil, err
	}
	if f.p.Fault != "" {
		return f.fault(took)
	}
	point, err := f.measure(f.p.seconds())
	if err != nil {
		return nil, err
	}
	one(&point, "tool", "one_view_s", "s", took.Seconds())
	return []record.Point{point}, nil
}

// one sets a metric that has one value.
func one(p *record.Point, role, metric, unit string, v float64) {
	r, ok := p.Roles[role]
	if !ok {
		r = record.Role{Members: 1, Processes: 1, Values: map[string]record.Value{}}
	}
	r.Values[metric] = record.Over(unit, []float64{v})
	p.Roles[role] = r
}

// measure measures for a while.
func (f *field) measure(long time.Duration) (record.Point, error) {
	if f.p.Settings && f.p.Changes > 0 {
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
	held := make([]Reply, len(f.kids))
	if err := f.each(func(g int) (err error) { held[g], err = f.kids[g].do(Command{Do: "held"}); return err }); err != nil {
		return record.Point{}, err
	}
	return f.point(a, b, held, changes), nil
}

// gather collects what was measured, by role and metric.
type gather struct {
	values map[string]map[string][]float64
	unit   map[string]string
}

func (g *gather) add(role, metric, unit string, v float64) {
	if g.values[role] == nil {
		g.values[role] = map[string][]float64{}
	}
	g.values[role][metric] = append(g.values[role][metric], v)
	g.unit[metric] = unit
}

// point words what two snapshots differ by.
func (f *field) point(a, b *snapshot, held []Reply, changes []change) record.Point {
	g := &gather{map[string]map[string][]float64{}, map[string]string{}}
	members, processes := map[string]int{}, map[string]int{}
	for k := range b.kids {
		x, y := &a.kids[k], &b.kids[k]
		span, role, n := y.At-x.At, f.p.role(f.members[k][0]), float64(len(f.members[k]))
		members[role] += len(f.members[k])
		processes[role]++
		g.add(role, "cpu_core", "core", (y.CPU-x.CPU)/span/n)
		g.add(role, "rss_bytes", "B", float64(y.RSS)/n)
		g.add(role, "heap_bytes", "B", float64(held[k].Heap)/n)
		g.add(role, "stack_bytes", "B", float64(held[k].Stacks)/n)
		g.add(role, "cut_msgs_s", "1/s", float64(y.Dropped-x.Dropped)/span/n)
		g.add(role, "files", "descriptors", float64(y.Files)/n)
		for i := range y.Nodes {
			if y.Nodes[i].Up && x.Nodes[i].Up && y.Nodes[i].Starts == x.Nodes[i].Starts {
				traffic(g, role, span, x.Nodes[i].Traffic, y.Nodes[i].Traffic)
				s := y.Nodes[i].State
				g.add(role, "entries:members", "entries", float64(sum(s.Members[:])))
				g.add(role, "entries:workers", "entries", float64(s.Workers))
				g.add(role, "entries:classes", "entries", float64(s.Classes))
				g.add(role, "entries:news", "entries", float64(s.News))
				g.add(role, "entries:probes", "entries", float64(s.Probes))
			}
		}
	}
	for i := range b.reals {
		x, y := &a.reals[i], &b.reals[i]
		span := y.at.Sub(x.at).Seconds()
		members["real"]++
		processes["real"]++
		g.add("real", "cpu_core", "core", (y.cpu-x.cpu)/span)
		g.add("real", "rss_bytes", "B", float64(y.rss))
		traffic(g, "real", span, metered(x.metrics), metered(y.metrics))
		g.add("real", "entries:members", "entries", y.metrics[`gw_fleet_members{status="alive"}`]+y.metrics[`gw_fleet_members{status="suspect"}`]+y.metrics[`gw_fleet_members{status="dead"}`]+y.metrics[`gw_fleet_members{status="left"}`])
		g.add("real", "entries:workers", "entries", y.metrics["gw_workers_known"])
		g.add("real", "running", "jobs", y.metrics["gw_in_flight"])
	}
	for _, s := range []struct {
		role string
		x, y *Reply
	}{{"discovery", &a.disco, &b.disco}, {"worker", &a.workers, &b.workers}} {
		span, n := s.y.At-s.x.At, 1.0
		if s.role == "worker" {
			n = float64(f.p.Workers)
		}
		members[s.role], processes[s.role] = int(n), 1
		g.add(s.role, "cpu_core", "core", (s.y.CPU-s.x.CPU)/span/n)
		g.add(s.role, "rss_bytes", "B", float64(s.y.RSS)/n)
		g.add(s.role, "calls_s", "1/s", float64(s.y.Calls-s.x.Calls)/span/n)
		if s.role == "discovery" {
			g.add(s.role, "sent_bytes_s", "B/s", float64(s.y.Bytes-s.x.Bytes)/span)
			g.add(s.role, "sent_bytes_s:member", "B/s", float64(s.y.Bytes-s.x.Bytes)/span/float64(f.p.Members))
			g.add(s.role, "list_bytes", "B", float64(len(standin.Text(1, true, f.p.entries(f.b)))))
			g.add(s.role, "start_bytes:member", "B", float64(s.x.Bytes)/float64(f.p.Members))
		}
	}
	span := b.at.Sub(a.at).Seconds()
	members["tool"], processes["tool"] = 1, 1
	g.add("tool", "cpu_core", "core", (b.tool-a.tool)/span)
	g.add("tool", "rss_bytes:all", "B", float64(f.peak.Load()))
	g.add("tool", "starts_s", "1/s", float64(b.asked[0]-a.asked[0])/span)
	g.add("tool", "served_s", "1/s", float64(b.asked[1]-a.asked[1])/span)
	g.add("tool", "lost_s", "1/s", float64(b.asked[2]-a.asked[2])/span)
	g.add("tool", "config_bytes", "B", float64(len(f.p.config(f.b, f.p.Members-1, 0))))
	for _, c := range changes {
		c.add(g)
	}
	point := record.Point{Plan: f.p.values(), Seconds: span, Roles: map[string]record.Role{}}
	for role, metrics := range g.values {
		r := record.Role{Members: members[role], Processes: processes[role], Values: map[string]record.Value{}}
		for m, list := range metrics {
			r.Values[m] = record.Over(g.unit[m], list)
		}
		point.Roles[role] = r
	}
	return point
}

func sum(list []int) (n int) {
	for _, v := range list {
		n += v
	}
	return n
}

// traffic adds what a node has sent and received in a span, in all and by kind.
func traffic(g *gather, role string, span float64, a, b gossip.Traffic) {
	for _, d := range []struct {
		name string
		x, y [wire.Kinds]gossip.Count
	}{{"sent", a.Sent, b.Sent}, {"received", a.Received, b.Received}} {
		var n, bytes float64
		for k := range d.x {
			dn, db := float64(d.y[k].Datagrams-d.x[k].Datagrams)/span, float64(d.y[k].Bytes-d.x[k].Bytes)/span
			n, bytes = n+dn, bytes+db
			g.add(role, d.name+"_msgs_s:"+gossip.KindName(k), "1/s", dn)
			g.add(role, d.name+"_bytes_s:"+gossip.KindName(k), "B/s", db)
		}
		g.add(role, d.name+"_msgs_s", "1/s", n)
		g.add(role, d.name+"_bytes_s", "B/s", bytes)
	}
}

// metered reads a real node's traffic from its figures.
func metered(m map[string]float64) (t gossip.Traffic) {
	for k := range t.Sent {
		of := func(name string) int64 {
			return int64(m[fmt.Sprintf("gw_fleet_kind_%s{kind=%q}", name, gossip.KindName(k))])
		}
		t.Sent[k] = gossip.Count{Datagrams: of("datagrams_sent"), Bytes: of("bytes_sent")}
		t.Received[k] = gossip.Count{Datagrams: of("datagrams_received"), Bytes: of("bytes_received")}
	}
	return t
}

// reach is how the tool's clients reach the real nodes: each in turn.
type reach struct {
	f    *field
	next int
}

// Node implements standin.Reach.
func (r *reach) Node(*standin.Job, int, func(string) bool) string {
	r.next++
	return r.f.b.member(r.f.p.Seats+r.next%r.f.p.Real, clientsPort)
}

// Dial implements standin.Reach.
func (r *reach) Dial(to string, _ int, h standin.Opener) { r.f.host.Dial(to, h) }

// clients asks the real nodes for the plan's jobs until the run ends.
func (f *field) clients() {
	if f.p.Rate == 0 {
		return
	}
	f.host = standin.NewSockets()
	f.crowd = standin.NewClients(f.host, unseen{}, &reach{f: f}, f.p.Seed)
	rnd := rand.New(rand.NewPCG(f.p.Seed, 11))
	f.asked.Go(func() {
		for k := 0; ; k++ {
			pace := time.NewTimer(time.Duration(rnd.ExpFloat64() / f.p.Rate * float64(time.Second)))
			select {
			case <-f.asking:
				pace.Stop()
				return
			case <-pace.C:
			}
			work := f.p.WorkMs * (0.5 + rnd.Float64())
			j := &standin.Job{Name: fmt.Sprintf("j%d", k), Class: tenantName(rnd.IntN(f.p.Tenants)), Repeat: true, Refused: true, Work: work / 1000,
				Hint: time.Duration(work * float64(time.Millisecond)), Slots: 1, Memory: 0.1, Patient: 20 * time.Second, Retries: 3, Pause: 50 * time.Millisecond}
			f.host.Do(func() { f.crowd.Ask(j) })
		}
	})
}
