package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crowded"] = crowded }

// crowded: the process is replaced while discovery has too many callers. The old process hears of a drain on its watch, the new one does
// not get through.
func crowded(b *bench) int {
	d := newDiscovery(b.record)
	f := b.front(d, "discovery")
	w1, w2 := b.worker("s-1", 4), b.worker("s-2", 4)
	d.set(w1.entry("in_service"))
	d.set(w2.entry("in_service"))
	s := b.setup("n1", f.addr)
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
	time.Sleep(2 * time.Second)
	yes := time.Now()
	if b.trouble {
		f.setBusy(true)
		time.AfterFunc(8*time.Second, func() { f.setBusy(false) })
		replacing := s
		replacing.control = freeAddress()
		started := time.Now()
		next := b.start(replacing)
		if next == nil || !next.awaitYes(replacing.control, "/-/ready", 6*time.Second) {
			return notRun
		}
		yes = time.Now()
		time.AfterFunc(time.Until(started.Add(6*time.Second)), func() { old.signal(syscall.SIGTERM) })
	}
	until := time.Now().Add(12 * time.Second)
	var senders sync.WaitGroup
	for range 3 {
		senders.Go(func() {
			for time.Now().Before(until) {
				c.send("slot-check", 100, 5*time.Second)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	d.set(w1.entry("terminating"))
	version := d.full().Version
	senders.Wait()
	told := f.toldAt(version)
	if told.IsZero() {
		return notRun // nobody had an open watch
	}
	binds := told
	if from := yes.Add(2 * time.Second); b.trouble && from.After(told) {
		binds = from
	}
	late := 0
	for _, j := range w1.all() {
		if j.at.After(binds.Add(550 * time.Millisecond)) {
			late++
			b.record.printf("late: job %s came to s-1 %.3f s after the change binds", j.id, j.at.Sub(binds).Seconds())
		}
	}
	b.record.printf("told %.3f s after the yes; %d jobs sent to the draining worker too late", told.Sub(yes).Seconds(), late)
	if late > 0 {
		return broken
	}
	return held
}
