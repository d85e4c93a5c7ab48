package main

import (
	"syscall"
	"time"
)

func init() { cases["moved"] = moved }

// moved: a new configuration moves discovery, and later the process is replaced with everything else unchanged.
func moved(b *bench) int {
	d := b.deploy(2, 4, 2000, 7500)
	second := b.front(d.discovery, "second")
	old := b.startNode(d)
	time.Sleep(time.Second)
	if b.trouble {
		b.move(d, old, second)
	}
	time.Sleep(5 * time.Second)
	b.replace(d.setup)
	yes := time.Now()
	old.signal(syscall.SIGTERM)
	time.Sleep(3 * time.Second)
	// Now a worker drains. What discovery tells binds from 2 s after the yes, at the latest 6 s after the change.
	d.discovery.set(d.workers[0].entry("terminating"))
	changed, version := time.Now(), d.discovery.full().Version
	b.record.printf("the change is made %.3f s after the yes", changed.Sub(yes).Seconds())
	d.client.sendUntil(changed.Add(14*time.Second), 3, 100).Wait()
	told := changed.Add(6 * time.Second)
	for _, f := range []*front{d.front, second} {
		if at := f.toldAt(version); !at.IsZero() && at.Before(told) {
			told = at
		}
	}
	late := b.countAfter(d.workers[0], told, drainAllowance)
	other := 0
	for _, j := range d.workers[1].all() {
		if j.at.After(changed) {
			other++
		}
	}
	b.record.printf("told %.3f s after the change; %d jobs sent to the draining worker too late, %d to the other",
		told.Sub(changed).Seconds(), late, other)
	return verdictOf(late)
}

// move has the file name another address of discovery; the first one accepts nothing new, and is closed after 1.5 s.
func (b *bench) move(d *small, n *node, to *front) {
	s := d.setup
	s.discovery = to.addr
	b.must(writeConfig(s.config, s, d.settings, d.discovery.full()) == nil)
	n.signal(syscall.SIGHUP)
	d.front.stopAccepting()
	time.Sleep(1500 * time.Millisecond)
	d.front.close()
	b.record.printf("discovery at first: closed")
}
