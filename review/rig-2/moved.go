package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["moved"] = moved }

// moved: a new configuration moves discovery, and later the process is replaced with everything else unchanged.
func moved(b *bench) int {
	d := newDiscovery(b.record)
	first, second := b.front(d, "first"), b.front(d, "second")
	w1, w2 := b.worker("s-1", 4), b.worker("s-2", 4)
	d.set(w1.entry("in_service"))
	d.set(w2.entry("in_service"))
	s := b.setup("n1", first.addr)
	set := settings(class("slot-check", "retryable", "all", 2000, 7500, 5000))
	if err := writeConfig(s.config, s, set, d.full()); err != nil {
		return notRun
	}
	old := b.start(s)
	if old == nil || !old.awaitYes(s.control, "/-/ready", 10*time.Second) {
		return notRun
	}
	c := newClient(b.record, s.listen, "a")
	if c.send("slot-check", 50, 5*time.Second).status != http.StatusOK {
		return notRun
	}
	time.Sleep(time.Second)
	if b.trouble { // the file names another address of discovery; the old one is closed after 1.5 s
		s2 := s
		s2.discovery = second.addr
		if err := writeConfig(s.config, s2, set, d.full()); err != nil {
			return notRun
		}
		old.signal(syscall.SIGHUP)
		first.stopAccepting()
		time.Sleep(1500 * time.Millisecond)
		first.close()
		b.record.printf("discovery at first: closed")
	}
	time.Sleep(5 * time.Second)
	// The process is replaced: another control address, everything else unchanged.
	replacing := s
	replacing.control = freeAddress()
	next := b.start(replacing)
	if next == nil || !next.awaitYes(replacing.control, "/-/ready", 6*time.Second) {
		return notRun
	}
	yes := time.Now()
	old.signal(syscall.SIGTERM)
	time.Sleep(3 * time.Second)
	// Now a worker drains. What discovery tells binds from 2 s after the yes, at the latest 6 s after the change.
	d.set(w1.entry("terminating"))
	changed, version := time.Now(), d.full().Version
	b.record.printf("the change is made %.3f s after the yes", changed.Sub(yes).Seconds())
	until := changed.Add(14 * time.Second)
	var senders sync.WaitGroup
	for range 3 {
		senders.Go(func() {
			for time.Now().Before(until) {
				c.send("slot-check", 100, 5*time.Second)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	senders.Wait()
	told := changed.Add(6 * time.Second)
	for _, f := range []*front{first, second} {
		if at := f.toldAt(version); !at.IsZero() && at.Before(told) {
			told = at
		}
	}
	limit := told.Add(550 * time.Millisecond)
	late, served := 0, 0
	for _, j := range w1.all() {
		if j.at.After(limit) {
			late++
			b.record.printf("late: job %s came to s-1 %.3f s after the change counted as told", j.id, j.at.Sub(told).Seconds())
		}
	}
	for _, j := range w2.all() {
		if j.at.After(changed) {
			served++
		}
	}
	b.record.printf("told %.3f s after the change; %d jobs sent to the draining worker too late, %d to the other", told.Sub(changed).Seconds(), late, served)
	if late > 0 {
		return broken
	}
	return held
}
