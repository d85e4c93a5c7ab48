package main

import (
	"syscall"
	"time"
)

func init() { cases["crowded"] = crowded }

// crowded: the process is replaced while discovery has too many callers. The old process hears of a drain on its watch, the new one does
// not get through.
func crowded(b *bench) int {
	d := b.deploy(2, 4, 2000, 7500)
	old := b.startNode(d)
	time.Sleep(2 * time.Second)
	yes := time.Now()
	if b.trouble {
		d.front.setBusy(true)
		time.AfterFunc(8*time.Second, func() { d.front.setBusy(false) })
		started := time.Now()
		b.replace(d.setup)
		yes = time.Now()
		time.AfterFunc(time.Until(started.Add(6*time.Second)), func() { old.signal(syscall.SIGTERM) })
	}
	senders := d.client.sendUntil(time.Now().Add(12*time.Second), 3, 100)
	time.Sleep(time.Second)
	d.discovery.set(d.workers[0].entry("terminating"))
	version := d.discovery.full().Version
	senders.Wait()
	told := d.front.toldAt(version)
	b.must(!told.IsZero()) // somebody had an open watch
	binds := told
	if from := yes.Add(2 * time.Second); b.trouble && from.After(told) {
		binds = from
	}
	late := b.countAfter(d.workers[0], binds, drainAllowance)
	b.record.printf("told %.3f s after the yes; %d jobs sent to the draining worker too late", told.Sub(yes).Seconds(), late)
	return verdictOf(late)
}
