package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["again"] = again }

// again: a new process that was to replace a node's process is killed outright. Then the platform replaces the process once more.
func again(b *bench) int {
	const patience = 3 * time.Second
	d := newDiscovery(b.record)
	f := b.front(d, "discovery")
	w1, w2 := b.worker("s-1", 8), b.worker("s-2", 8)
	d.set(w1.entry("in_service"))
	d.set(w2.entry("in_service"))
	set := settings(class("slot-check", "retryable", "all", 1000, 3000, 5000), class("charge", "fragile", "all", 2000, 25000, 5000))
	nodes, err := b.fleet(2, 0, f, set, d.full())
	if err != nil || !b.startAll(nodes) {
		return notRun
	}
	n := nodes[0]
	c := newClient(b.record, n.listen, "a")
	if c.send("slot-check", 50, patience).status != http.StatusOK {
		return notRun
	}
	time.Sleep(time.Second)
	if b.trouble {
		first := n.nodeSetup
		first.control = freeAddress()
		killed := b.start(first)
		if killed == nil || !killed.awaitYes(first.control, "/-/ready", 6*time.Second) {
			return notRun
		}
		time.Sleep(200 * time.Millisecond)
		killed.signal(syscall.SIGKILL)
		<-killed.ended
		time.Sleep(2 * time.Second)
		if c.send("slot-check", 50, patience).status != http.StatusOK {
			return notRun
		}
	}
	// Clients from now on: each opens a connection for each request.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				c.send("slot-check", 30, patience)
				c.http.CloseIdleConnections()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Go(func() { c.send("charge", 9000, 20*time.Second) })
	time.Sleep(500 * time.Millisecond)
	next := n.nodeSetup
	next.control = freeAddress()
	process := b.start(next)
	if process == nil {
		return notRun
	}
	started := time.Now()
	yes := process.awaitYes(next.control, "/-/ready", 6*time.Second)
	exited := !process.alive()
	n.process.signal(syscall.SIGTERM)
	go func() { // not before the longest deadline, counted as 3 s, and 0.7 s more
		time.Sleep(3700 * time.Millisecond)
		if n.process.alive() {
			n.process.signal(syscall.SIGKILL)
		}
	}()
	time.Sleep(time.Until(started.Add(12 * time.Second)))
	close(stop)
	clients.Wait()
	refused := 0
	for _, a := range c.answers {
		if a.class == "slot-check" && a.status == 0 {
			refused++
		}
	}
	b.record.printf("the new process says yes: %v, it has exited: %v; %d of %d requests got no answer", yes, exited, refused, len(c.answers))
	if exited {
		return broken
	}
	return held
}
