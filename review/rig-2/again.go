package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["again"] = again }

// patienceOfAgain is how long the clients of the case wait.
const patienceOfAgain = 3 * time.Second

// again: a new process that was to replace a node's process is killed outright. Then the platform replaces the process once more.
func again(b *bench) int {
	d := b.deploy(2, 8, 1000, 3000)
	set := settings(class("slot-check", "retryable", "all", 1000, 3000, 5000), class("charge", "fragile", "all", 2000, 25000, 5000))
	nodes, err := b.fleet(2, 0, d.front, set, d.discovery.full())
	b.must(err == nil && b.startAll(nodes))
	n := nodes[0]
	c := newClient(b.record, n.listen, "a")
	serves := func() bool { return c.send("slot-check", 50, patienceOfAgain).status == http.StatusOK }
	b.must(serves())
	time.Sleep(time.Second)
	if b.trouble {
		killed := b.replace(n.nodeSetup)
		time.Sleep(200 * time.Millisecond)
		killed.signal(syscall.SIGKILL)
		<-killed.ended
		time.Sleep(2 * time.Second)
		b.must(serves())
	}
	stop := time.Now().Add(20 * time.Second)
	clients := c.connectEachTime(stop)
	clients.Go(func() { c.send("charge", 9000, 20*time.Second) })
	time.Sleep(500 * time.Millisecond)
	next := n.nodeSetup
	next.control = freeAddress()
	process := b.start(next)
	b.must(process != nil)
	yes := process.awaitYes(next.control, "/-/ready", 6*time.Second)
	exited := !process.alive()
	n.process.signal(syscall.SIGTERM)
	n.process.killAfter(3700 * time.Millisecond) // not before the longest deadline, counted as 3 s, and 0.7 s more
	clients.Wait()
	refused := 0
	for _, a := range c.answers {
		if a.class == "slot-check" && a.status == 0 {
			refused++
		}
	}
	b.record.printf("the new process says yes: %v, it has exited: %v; %d of %d requests got no answer",
		yes, exited, refused, len(c.answers))
	if exited {
		return broken
	}
	return held
}

// connectEachTime has four clients send jobs until the given time, each over a new connection.
func (c *client) connectEachTime(until time.Time) *sync.WaitGroup {
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			for time.Now().Before(until) {
				c.send("slot-check", 30, patienceOfAgain)
				c.http.CloseIdleConnections()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	return &clients
}
