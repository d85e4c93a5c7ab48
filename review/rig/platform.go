package main

import (
	"net/http"
	"syscall"
	"time"
)

// Times of a replacement that the pages give.
const (
	timeToYes = 6 * time.Second         // for the second process to say yes
	killAfter = 3700 * time.Millisecond // from SIGTERM to SIGKILL, where the longest deadline is above 3 s
)

// replace starts a second process of a node, waits for its yes and then ends the first.
func (w *world) replace(old *node, o nodeOptions) (next *node, err error) {
	if o.control, err = freeAddress(); err != nil {
		return nil, err
	}
	if next, err = w.startNode(o); err != nil {
		return nil, err
	}
	for begin := time.Now(); time.Since(begin) < timeToYes; time.Sleep(20 * time.Millisecond) {
		if call(http.MethodGet, next.control, "/-/ready")/100 == 2 {
			next.yesAt = time.Now()
			w.note("platform: the second process says yes at %s", next.control)
			break
		}
	}
	w.endOld(old)
	return next, nil
}

// endOld sends SIGTERM to a process that has been replaced, and SIGKILL when it may come.
func (w *world) endOld(old *node) {
	old.signal(syscall.SIGTERM)
	select {
	case <-old.exited:
	case <-time.After(killAfter):
		old.kill()
	}
}

// call makes a call on a connection of its own and returns the status of the answer, 0 without one.
func call(method, addr, path string) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
