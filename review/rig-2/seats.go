package main

import (
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["seats"] = seats
	cases["replaced"] = replacedMember
}

// seats: the council has drained a worker. Then the nodes with its seats are killed at once and start again. A node that lives on has
// heard that the worker drains, and nobody has said that it is back.
func seats(b *bench) int {
	return councilDrain(b, 5, func(nodes []*fleetNode) bool {
		for _, n := range nodes[:3] {
			n.process.signal(syscall.SIGKILL)
		}
		for _, n := range nodes[:3] {
			<-n.process.ended
		}
		time.Sleep(time.Second)
		for _, n := range nodes[:3] {
			if n.process = b.start(n.nodeSetup); n.process == nil {
				return false
			}
		}
		return true
	}, 40*time.Second)
}

// replacedMember: the council has drained a worker. Then the process of a node that has heard of it is replaced.
func replacedMember(b *bench) int {
	return councilDrain(b, 4, func(nodes []*fleetNode) bool {
		n := nodes[3]
		next := n.nodeSetup
		next.control = freeAddress()
		process := b.start(next)
		if process == nil || !process.awaitYes(next.control, "/-/ready", 6*time.Second) {
			return false
		}
		n.process.signal(syscall.SIGTERM)
		n.process, n.nodeSetup = process, next
		return true
	}, 12*time.Second)
}

// councilDrain has the council drain a worker, lets the trouble happen, and judges what the last node sends to that worker.
func councilDrain(b *bench, size int, trouble func([]*fleetNode) bool, length time.Duration) int {
	d := newDiscovery(b.record)
	f := b.front(d, "discovery")
	w1, w2, w3 := b.worker("s-1", 8), b.worker("s-2", 8), b.worker("s-3", 8)
	for _, w := range []*worker{w1, w2, w3} {
		d.set(w.entry("in_service"))
	}
	set := settings(class("slot-check", "retryable", "all", 2000, 7500, 5000))
	nodes, err := b.fleet(size, 3, f, set, d.full())
	if err != nil || !b.startAll(nodes) {
		return notRun
	}
	last := nodes[size-1]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	c := newClient(b.record, last.listen, "a")
	for range 4 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				c.send("slot-check", 60, 5*time.Second)
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if !b.drainWorker("s-1", last.control) {
		return notRun
	}
	drained := time.Now()
	time.Sleep(3 * time.Second)
	before := len(w1.all())
	if b.trouble && !trouble(nodes) {
		return notRun
	}
	time.Sleep(length)
	b.operator("fleet", "status", "--control", last.control)
	close(stop)
	clients.Wait()
	late := 0
	var first time.Time
	for _, j := range w1.all() {
		if j.at.After(drained.Add(550 * time.Millisecond)) {
			late++
			if first.IsZero() {
				first = j.at
			}
		}
	}
	b.record.printf("%d jobs came to s-1 until the trouble; %d after it was drained and quiet", before, late)
	if late > 0 {
		b.record.printf("the first one %.3f s after it was drained and quiet", first.Sub(drained).Seconds())
		return broken
	}
	return held
}
