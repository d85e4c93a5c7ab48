package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leavers"] = leavers }

const (
	leaverCount   = 60  // at a time
	requestsAhead = 200 // different ones, sent again and again
	sendingTime   = time.Second
	leftAllowance = 150 * time.Millisecond // 0.1 s after the close, and 50 ms as on sockets
)

// crowd is the clients that go.
type crowd struct {
	node   string
	floods bool

	mu   sync.Mutex
	left map[string]time.Time // when the client of a request closed
}

// leavers: clients send a request, then much more behind it at full speed, and go.
func leavers(b *bench) int {
	d := b.deploy(4, 64, 10000, 10000)
	d.setup.memory, d.setup.sockets = 64, 512
	b.startNode(d)
	c := &crowd{node: d.setup.listen, floods: b.trouble, left: map[string]time.Time{}}
	stop := time.Now().Add(20 * time.Second)
	var clients sync.WaitGroup
	for i := range leaverCount {
		clients.Go(func() { c.comeAndGo(i, stop) })
	}
	lag := watchLag(stop)
	for time.Now().Before(stop) { // usual clients beside them
		time.Sleep(100 * time.Millisecond)
		clients.Go(func() { d.client.send("slot-check", 100, 5*time.Second) })
	}
	clients.Wait()
	time.Sleep(time.Second)
	ownLag := <-lag
	b.record.printf("this program itself was up to %.3f s late, which is allowed on top of 0.15 s", ownLag.Seconds())
	begun, late, longest := c.judge(b, d.workers, leftAllowance+ownLag)
	served := 0
	for _, a := range d.client.answers {
		if a.status == http.StatusOK {
			served++
		}
	}
	b.record.printf("%d clients left, %d of their first requests were sent on, %d of them too late after the close, %.3f s at the most; "+
		"%d of %d usual requests served", len(c.left), begun, late, longest.Seconds(), served, len(d.client.answers))
	return verdictOf(late)
}

// judge counts the attempts of the first requests of clients that left, and those that began later than allowed.
func (c *crowd) judge(b *bench, workers []*worker, allowed time.Duration) (begun, late int, longest time.Duration) {
	for _, w := range workers {
		for _, j := range w.all() {
			at, ok := c.left[j.id]
			if !ok {
				continue
			}
			begun++
			if over := j.at.Sub(at); over > allowed {
				late++
				longest = max(longest, over)
				b.record.printf("late: an attempt of %s came to %s %.3f s after its client had left", j.id, w.id, over.Seconds())
			}
		}
	}
	return begun, late, longest
}

// comeAndGo is one client after the other, until the given time.
func (c *crowd) comeAndGo(number int, stop time.Time) {
	var text []byte
	for k := range requestsAhead {
		text = append(text, jobSpec{fmt.Sprintf("b%02x%06x", number, k), "slot-check", 100, time.Second}.text()...)
	}
	for round := 0; time.Now().Before(stop); round++ {
		conn, err := net.Dial("tcp", c.node)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("l%02x%06x", number, round)
		conn.Write(jobSpec{id, "slot-check", 100, 10 * time.Second}.text())
		goes := time.Now().Add(sendingTime)
		conn.SetDeadline(goes)
		for c.floods && time.Now().Before(goes) {
			if _, err := conn.Write(text); err != nil {
				break
			}
		}
		time.Sleep(time.Until(goes))
		at := time.Now()
		conn.Close()
		c.mu.Lock()
		c.left[id] = at
		c.mu.Unlock()
	}
}

// watchLag measures until the given time how late this program is woken at the most, as that also delays what it sees.
func watchLag(until time.Time) <-chan time.Duration {
	lag := make(chan time.Duration, 1)
	go func() {
		const pause = 2 * time.Millisecond
		longest := time.Duration(0)
		for time.Now().Before(until) {
			before := time.Now()
			time.Sleep(pause)
			longest = max(longest, time.Since(before)-pause)
		}
		lag <- longest
	}()
	return lag
}
