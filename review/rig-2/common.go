package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// aborted is the panic of a case that could not run.
type aborted struct{}

// must ends the case as one that could not run, unless ok.
func (b *bench) must(ok bool) {
	if !ok {
		panic(aborted{})
	}
}

// finish runs a case and returns its verdict.
func (b *bench) finish(play func(*bench) int) (code int) {
	defer func() {
		if recovered := recover(); recovered != nil {
			b.record.printf("could not run: %v", recovered)
			code = notRun
		}
	}()
	return play(b)
}

// verdictOf returns the verdict by the number of breaks.
func verdictOf(breaks int) int {
	if breaks > 0 {
		return broken
	}
	return held
}

// small is a deployment of one node and some workers.
type small struct {
	discovery *discovery
	front     *front
	workers   []*worker
	setup     nodeSetup
	settings  map[string]any
	client    *client
}

// deploy makes a deployment with that many workers of so many slots. The node is not started.
func (b *bench) deploy(workers, slots int, aim, deadline float64) *small {
	d := &small{discovery: newDiscovery(b.record)}
	d.front = b.front(d.discovery, "first")
	for i := range workers {
		w := b.worker("s-"+string(rune('1'+i)), slots)
		d.workers = append(d.workers, w)
		d.discovery.set(w.entry("in_service"))
	}
	d.setup = b.setup("n1", d.front.addr)
	d.settings = settings(class("slot-check", "retryable", "all", aim, deadline, 5000))
	d.client = newClient(b.record, d.setup.listen, "a")
	return d
}

// startNode starts the node, waits until it is ready and has it serve a job.
func (b *bench) startNode(d *small) *node {
	b.must(writeConfig(d.setup.config, d.setup, d.settings, d.discovery.full()) == nil)
	n := b.start(d.setup)
	b.must(n != nil && n.awaitYes(d.setup.control, "/-/ready", 10*time.Second) && n.awaitYes(d.setup.listen, "/ready", 6*time.Second))
	b.must(d.client.send("slot-check", 50, 5*time.Second).status == http.StatusOK)
	return n
}

// replace starts the program a second time, with another control address and everything else unchanged, and waits for its yes.
func (b *bench) replace(s nodeSetup) *node {
	s.control = freeAddress()
	n := b.start(s)
	b.must(n != nil && n.awaitYes(s.control, "/-/ready", 6*time.Second))
	return n
}

// sendUntil has some clients send jobs one after the other until the given time.
func (c *client) sendUntil(until time.Time, clients, ms int) *sync.WaitGroup {
	var senders sync.WaitGroup
	for range clients {
		senders.Go(func() {
			for time.Now().Before(until) {
				c.send("slot-check", ms, 5*time.Second)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	return &senders
}

// countAfter counts, and records, the jobs that came to a worker after a time and what is allowed beyond it.
func (b *bench) countAfter(w *worker, at time.Time, allowed time.Duration) (late int) {
	for _, j := range w.all() {
		if over := j.at.Sub(at); over > allowed {
			late++
			b.record.printf("late: job %s came to %s %.3f s after the change binds", j.id, w.id, over.Seconds())
		}
	}
	return late
}

// drainAllowance is what a node has to stop sending to a draining worker: 500 ms, and 50 ms as on sockets.
const drainAllowance = 550 * time.Millisecond

// killAfter ends a process as the platform does after SIGTERM, if it still runs then.
func (n *node) killAfter(wait time.Duration) {
	time.AfterFunc(wait, func() {
		if n.alive() {
			n.signal(syscall.SIGKILL)
		}
	})
}
