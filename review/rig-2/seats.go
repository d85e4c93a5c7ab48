package main

import (
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
	return councilDrain(b, 5, 40*time.Second, func(nodes []*fleetNode) {
		for _, n := range nodes[:3] {
			n.process.signal(syscall.SIGKILL)
		}
		for _, n := range nodes[:3] {
			<-n.process.ended
		}
		time.Sleep(time.Second)
		for _, n := range nodes[:3] {
			n.process = b.start(n.nodeSetup)
			b.must(n.process != nil)
		}
	})
}

// replacedMember: the council has drained a worker. Then the process of a node that has heard of it is replaced.
func replacedMember(b *bench) int {
	return councilDrain(b, 4, 12*time.Second, func(nodes []*fleetNode) {
		n := nodes[3]
		next := b.replace(n.nodeSetup)
		n.process.signal(syscall.SIGTERM)
		n.process, n.control = next, next.control
	})
}

// councilDrain has the council drain a worker, lets the trouble happen, and judges what the last node sends to that worker.
func councilDrain(b *bench, size int, length time.Duration, trouble func([]*fleetNode)) int {
	d := b.deploy(3, 8, 2000, 7500)
	nodes, err := b.fleet(size, 3, d.front, d.settings, d.discovery.full())
	b.must(err == nil && b.startAll(nodes))
	last, w := nodes[size-1], d.workers[0]
	c := newClient(b.record, last.listen, "a")
	time.Sleep(time.Second)
	end := make(chan struct{})
	senders := c.sendUntilClosed(end, 4, 60)
	time.Sleep(3 * time.Second)
	b.must(b.drainWorker(w.id, last.control))
	drained := time.Now()
	time.Sleep(3 * time.Second)
	before := len(w.all())
	if b.trouble {
		trouble(nodes)
	}
	time.Sleep(length)
	b.operator("fleet", "status", "--control", last.control)
	close(end)
	senders.Wait()
	late := b.countAfter(w, drained, drainAllowance)
	b.record.printf("%d jobs came to %s until the trouble; %d after it was drained and quiet", before, w.id, late)
	return verdictOf(late)
}
