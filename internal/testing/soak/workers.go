package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/tracecheck"
)

// worker is a fake worker with its entry in discovery's list.
type worker struct {
	worker *fake.Worker
	entry  fake.Entry
	hung   bool
}

// newWorker creates and starts a fake worker, and lists it in discovery.
func (f *Cluster) newWorker(w int) {
	p := &fake.Worker{
		Pool: f.workerPool, ID: fmt.Sprintf("w%d", w), Zone: "a", Cell: fmt.Sprint(w % 2), Kind: "std", Cores: 8,
		Slots: 8, Memory: 16, Speed: 1,
		Queue: 3, Refresh: 200 * time.Millisecond, Progress: 300 * time.Millisecond, ColdFrom: coldFrom,
		ColdFor: coldFor, Idle: connIdleTime, Returns: true,
	}
	p.Seed(f.plan.Seed)
	s := &worker{
		worker: p,
		entry:  fake.Entry{ID: p.ID, Zone: p.Zone, Kind: p.Kind, Cell: w % 2, State: "in_service", Weight: 1},
	}
	f.workers = append(f.workers, s)
	f.host.Do(func() {
		p.Start(false)
		f.observe(
			tracecheck.Event{
				Kind: tracecheck.WorkerUp, Worker: p.ID, Zone: p.Zone, Cell: p.Cell, Capacity: p.Capacity(),
			},
		)
		f.discovery.Set(s.entry)
	})
}

// listenForNode opens a node's own addresses of discovery and of all workers.
func (f *Cluster) listenForNode(i int) error {
	var pair [2]*fake.Front
	f.host.Do(func() {
		for k := range pair {
			pair[k] = f.discovery.Front()
			pair[k].AddressFor = func(e fake.Entry) string {
				w := 0
				fmt.Sscanf(e.ID, "w%d", &w)
				return f.block.Addr(100+i, workerPort+w)
			}
		}
	})
	f.fronts = append(f.fronts, pair)
	for k, front := range pair {
		toDiscovery := func(c fake.Conn) fake.Handler { return f.openProxyConn(c, i, nil, front.Open) }
		if _, err := f.host.ListenAt(f.block.Addr(100+i, discoPort+k), toDiscovery); err != nil {
			return err
		}
	}
	for w, s := range f.workers {
		toWorker := func(c fake.Conn) fake.Handler {
			if s.hung {
				return f.openProxyConn(c, i, s, func(fake.Conn) fake.Handler { return ignoreConn{} })
			}
			return f.openProxyConn(c, i, s, s.worker.Open)
		}
		if _, err := f.host.ListenAt(f.block.Addr(100+i, workerPort+w), toWorker); err != nil {
			return err
		}
	}
	return nil
}

// stopWorker ends a worker's process, resets its connections and removes it from discovery's list.
func (f *Cluster) stopWorker(w *worker) {
	if !w.worker.Up() {
		return
	}
	w.worker.Stop()
	f.observe(tracecheck.Event{Kind: tracecheck.WorkerDown, Worker: w.worker.ID})
	for _, s := range f.connsTo(w) {
		s.Reset()
		delete(f.conns, s)
	}
	w.entry.State = "terminated"
	f.discovery.Set(w.entry)
}

// startCold starts a new, cold process of a worker and lists it in discovery.
func (f *Cluster) startCold(w *worker) {
	if w.worker.Up() {
		return
	}
	w.worker.Start(true)
	f.observe(
		tracecheck.Event{
			Kind:     tracecheck.WorkerUp,
			Worker:   w.worker.ID,
			Zone:     w.worker.Zone,
			Cell:     w.worker.Cell,
			Capacity: w.worker.Capacity(),
			Cold:     true,
		},
	)
	w.entry.State, w.entry.Started = "in_service", time.Now().UnixMilli()
	f.discovery.Set(w.entry)
}

// connsTo returns the connections to a worker, or with nil those to discovery.
func (f *Cluster) connsTo(w *worker) (list []*proxyConn) {
	for _, t := range slices.Collect(maps.Keys(f.conns)) {
		if t.worker == w {
			list = append(list, t)
		}
	}
	return list
}

// drawWorkers draws a share of the workers, at least one.
func (f *Cluster) drawWorkers(share float64) (list []*worker) {
	r := rand.New(rand.NewPCG(f.plan.Seed, 23))
	for _, i := range r.Perm(len(f.workers))[:min(max(1, int(share*float64(len(f.workers)))), len(f.workers))] {
		list = append(list, f.workers[i])
	}
	return list
}
