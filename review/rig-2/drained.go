package main

import (
	"net/http"
	"syscall"
	"time"
)

func init() { cases["drained"] = drained }

// drained: an operator has drained the node; then its process is replaced. Until the drain's end the node may not say yes.
func drained(b *bench) int {
	d := newDiscovery(b.record)
	f := b.front(d, "discovery")
	w := b.worker("s-1", 4)
	d.set(w.entry("in_service"))
	s := b.setup("n1", f.addr)
	set := settings(class("slot-check", "retryable", "all", 2000, 7500, 5000))
	if err := writeConfig(s.config, s, set, d.full()); err != nil {
		return notRun
	}
	old := b.start(s)
	if old == nil || !old.awaitYes(s.control, "/-/ready", 10*time.Second) || !old.awaitYes(s.listen, "/ready", 6*time.Second) {
		return notRun
	}
	c := newClient(b.record, s.listen, "a")
	if c.send("slot-check", 50, 5*time.Second).status != http.StatusOK {
		return notRun
	}
	c.http.CloseIdleConnections()
	status, _ := call(http.MethodPost, s.control, "/-/drain")
	b.record.printf("operator: drain: %d", status)
	if status != http.StatusOK {
		return notRun
	}
	called := time.Now()
	time.Sleep(5 * time.Second)
	if b.trouble {
		replacing := s
		replacing.control = freeAddress()
		next := b.start(replacing)
		if next == nil {
			return notRun
		}
		go func() {
			next.awaitYes(replacing.control, "/-/ready", 6*time.Second)
			time.Sleep(500 * time.Millisecond)
			old.signal(syscall.SIGTERM)
		}()
	}
	yes, sent := 0, 0
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status, _ := call(http.MethodGet, s.listen, "/ready") // as the front asks
		if status >= 200 && status < 300 {
			yes++
			if yes == 1 {
				b.record.printf("front: /ready says yes %.3f s after the drain call", time.Since(called).Seconds())
			}
			if sent < 3 { // the front sends clients
				sent++
				c.send("slot-check", 50, 5*time.Second)
			}
		}
	}
	b.record.printf("%d times yes while the node is drained, %d jobs sent", yes, sent)
	if yes > 0 {
		return broken
	}
	return held
}
