package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leavers"] = leavers }

// leavers: clients send a request, then much more behind it at full speed, and go.
func leavers(b *bench) int {
	const clients, behind, sending = 60, 200, time.Second
	d := newDiscovery(b.record)
	f := b.front(d, "discovery")
	var workers []*worker
	for i := range 4 {
		w := b.worker(fmt.Sprintf("s-%d", i+1), 64)
		workers = append(workers, w)
		d.set(w.entry("in_service"))
	}
	s := b.setup("n1", f.addr)
	s.memory, s.sockets = 64, 512
	set := settings(class("slot-check", "retryable", "all", 10000, 10000, 5000))
	if err := writeConfig(s.config, s, set, d.full()); err != nil {
		return notRun
	}
	n := b.start(s)
	if n == nil || !n.awaitYes(s.control, "/-/ready", 10*time.Second) || !n.awaitYes(s.listen, "/ready", 6*time.Second) {
		return notRun
	}
	var mu sync.Mutex
	left := map[string]time.Time{}
	stop := time.Now().Add(20 * time.Second)
	var crowd sync.WaitGroup
	for i := range clients {
		crowd.Go(func() {
			var text []byte
			for k := range behind {
				text = append(text, jobSpec{fmt.Sprintf("b%02x%06x", i, k), "slot-check", 100, time.Second}.text()...)
			}
			for round := 0; time.Now().Before(stop); round++ {
				conn, err := net.Dial("tcp", s.listen)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				id := fmt.Sprintf("l%02x%06x", i, round)
				conn.Write(jobSpec{id, "slot-check", 100, 10 * time.Second}.text())
				goes := time.Now().Add(sending)
				conn.SetDeadline(goes)
				for b.trouble && time.Now().Before(goes) {
					if _, err := conn.Write(text); err != nil {
						break
					}
				}
				time.Sleep(time.Until(goes))
				at := time.Now()
				conn.Close()
				mu.Lock()
				left[id] = at
				mu.Unlock()
			}
		})
	}
	lag := watchLag(stop)
	// Usual clients beside them.
	c := newClient(b.record, s.listen, "u")
	var usual sync.WaitGroup
	for time.Now().Before(stop) {
		time.Sleep(100 * time.Millisecond)
		usual.Go(func() { c.send("slot-check", 100, 5*time.Second) })
	}
	crowd.Wait()
	usual.Wait()
	time.Sleep(time.Second)
	ownLag := <-lag
	b.record.printf("this program itself was up to %.3f s late, which is allowed on top of 0.15 s", ownLag.Seconds())
	late, begun, longest := 0, 0, time.Duration(0)
	for _, w := range workers {
		for _, j := range w.all() {
			at, ok := left[j.id]
			if !ok {
				continue
			}
			begun++
			if over := j.at.Sub(at); over > 150*time.Millisecond+ownLag {
				late++
				longest = max(longest, over)
				b.record.printf("late: an attempt of %s came to %s %.3f s after its client had left", j.id, w.id, over.Seconds())
			}
		}
	}
	answered := 0
	for _, a := range c.answers {
		if a.status == http.StatusOK {
			answered++
		}
	}
	b.record.printf("%d clients left, %d of their first requests were sent on, %d of them too late after the close, %.3f s at the most; %d of %d usual requests served",
		len(left), begun, late, longest.Seconds(), answered, len(c.answers))
	if late > 0 {
		return broken
	}
	return held
}

// watchLag measures until the given time how late this program is woken at the most, as that also delays what it sees.
func watchLag(until time.Time) <-chan time.Duration {
	lag := make(chan time.Duration, 1)
	go func() {
		longest := time.Duration(0)
		for time.Now().Before(until) {
			const pause = 2 * time.Millisecond
			before := time.Now()
			time.Sleep(pause)
			longest = max(longest, time.Since(before)-pause)
		}
		lag <- longest
	}()
	return lag
}
