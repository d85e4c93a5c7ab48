package chaos

import (
	"fmt"
	"time"

	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/tracecheck"
)

// workerState is a fake worker with its entry in the endpoint list.
type workerState struct {
	worker     *fake.Worker
	entry      fake.Entry
	conns      map[*proxyConn]bool
	failing    bool
	overloaded bool
	recentWork []arrival
}

// arrival is the work of a job that came to a worker, and when.
type arrival struct {
	time time.Time
	work float64
}

// checkOverload checks the fourth rule of the trace checker at the worker: a cold worker that receives, within three seconds,
// more than three times the work it can do in them is overloaded. As in the rule, one further job is allowed.
func (s *workerState) checkOverload(f *Cluster, work float64) {
	const period, multiple = 3 * time.Second, 3
	warm := s.worker.SlowStartFactor()
	if warm >= 1 {
		s.recentWork = nil
		return
	}
	now := time.Now()
	s.recentWork = append(s.recentWork, arrival{now, work})
	sum, most := 0.0, 0.0
	for len(s.recentWork) > 0 && now.Sub(s.recentWork[0].time) > period {
		s.recentWork = s.recentWork[1:]
	}
	for _, x := range s.recentWork {
		sum, most = sum+x.work, max(most, x.work)
	}
	if sum > multiple*warm*s.worker.Capacity()*period.Seconds()+most && !s.overloaded {
		s.overloaded = true
		f.stats.Fell++
		f.event(
			Event{
				Kind:  "fell",
				Actor: s.worker.ID,
				Text:  fmt.Sprintf("%.2f s of work in %v at %.0f%% of its capacity", sum, period, 100*warm),
			},
		)
	}
}

// newWorker creates a fake worker and starts it.
func (f *Cluster) newWorker(w int) {
	worker := &fake.Worker{
		Pool: f.fleet, ID: fmt.Sprintf("w%d", w), Zone: siteName(w % f.plan.Sites), Cell: fmt.Sprint(w % 3),
		Kind: "std", Cores: 4, Slots: 4, Memory: 8, Speed: 1,
		Queue: 3, Refresh: 300 * time.Millisecond, Progress: time.Second, ColdFrom: 0.13, ColdFor: workerWarmUp,
		Idle: time.Minute, Returns: true,
	}
	worker.Seed(f.plan.Seed)
	s := &workerState{
		worker: worker,
		conns:  map[*proxyConn]bool{},
		entry:  fake.Entry{ID: worker.ID, Zone: worker.Zone, Kind: worker.Kind, Cell: w % 3, State: "in_service", Weight: 1},
	}
	f.workers = append(f.workers, s)
	f.host.Do(func() {
		worker.Start(false)
		f.observe(
			tracecheck.Event{
				Kind: tracecheck.WorkerUp, Worker: worker.ID, Zone: worker.Zone, Cell: worker.Cell, Capacity: worker.Capacity(),
			},
		)
		f.discovery.Set(s.entry)
	})
}

// listenForNode opens the addresses at which a node reaches discovery and the workers. Each node has its own, so that faults can
// be applied to each link separately.
func (f *Cluster) listenForNode(i int) error {
	var front *fake.Front
	f.host.Do(func() {
		front = f.discovery.Front()
		front.AddressFor = func(e fake.Entry) string {
			w := 0
			fmt.Sscanf(e.ID, "w%d", &w)
			return f.block.workerAddr(i, w)
		}
	})
	f.fronts = append(f.fronts, front)
	link := &linkState{}
	f.links[[2]int{i, -1}] = link
	toDiscovery := func(c fake.Conn) fake.Handler { return f.proxy(link, c, i, nil, front.Open) }
	if _, err := f.host.ListenAt(f.block.discoveryAddr(i), toDiscovery); err != nil {
		return err
	}
	for w, s := range f.workers {
		link := &linkState{}
		f.links[[2]int{i, w}] = link
		toWorker := func(c fake.Conn) fake.Handler { return f.proxy(link, c, i, s, s.worker.Open) }
		if _, err := f.host.ListenAt(f.block.workerAddr(i, w), toWorker); err != nil {
			return err
		}
	}
	return nil
}

// stopWorker stops a worker as if its process died: its connections are reset, and discovery reports it as terminated.
func (f *Cluster) stopWorker(s *workerState) {
	if !s.worker.Up() {
		return
	}
	s.worker.Stop()
	f.observe(tracecheck.Event{Kind: tracecheck.WorkerDown, Worker: s.worker.ID})
	for t := range s.conns {
		t.Reset()
		delete(s.conns, t)
	}
	s.entry.State = "terminated"
	f.discovery.Set(s.entry)
	f.event(Event{Kind: "worker", Actor: s.worker.ID, Text: "dies"})
}

// startCold restarts a stopped worker, cold.
func (f *Cluster) startCold(s *workerState) {
	if s.worker.Up() {
		return
	}
	s.worker.Start(true)
	f.observe(
		tracecheck.Event{
			Kind:     tracecheck.WorkerUp,
			Worker:   s.worker.ID,
			Zone:     s.worker.Zone,
			Cell:     s.worker.Cell,
			Capacity: s.worker.Capacity(),
			Cold:     true,
		},
	)
	s.overloaded, s.recentWork = false, nil
	s.entry.State, s.entry.Started = "in_service", time.Now().UnixMilli()
	f.discovery.Set(s.entry)
	f.event(Event{Kind: "worker", Actor: s.worker.ID, Text: "starts cold"})
}
