package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

// Times of the case replaced, from the drain call.
const (
	replacedStart  = time.Second     // the second process is started
	replacedYes    = 6 * time.Second // for the second process to say yes, from its start
	replacedRuleAt = 4 * time.Second // from then on a yes breaks the rule
	replacedResume = 8 * time.Second // the end of the drain
)

// Bounds of the pages that the case uses besides.
const (
	frontInterval = 100 * time.Millisecond  // the front asks for readiness so often
	killAfter     = 3700 * time.Millisecond // from SIGTERM to SIGKILL, where the longest deadline is above 3 s
	yesAfter      = 2 * time.Second         // from the end of a drain to a yes
)

// playReplaced drains a node, replaces its process and looks whether the node still sends its clients away.
func playReplaced(w *world, trouble bool) (broken []string, err error) {
	o, err := w.drainedDeployment()
	if err != nil {
		return nil, err
	}
	serving, err := w.startNode(o)
	if err != nil {
		return nil, err
	}
	if err := serving.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	if status := call(http.MethodPost, serving.control, "/-/drain"); status/100 != 2 {
		return nil, fmt.Errorf("the drain call was answered %d", status)
	}
	drained := time.Now()
	w.note("operator: drain call made at %s", serving.control)
	replaced := make(chan error, 1)
	go func() {
		if !trouble {
			replaced <- nil
			return
		}
		time.Sleep(time.Until(drained.Add(replacedStart)))
		next, err := w.replace(serving, o)
		if err == nil {
			serving = next
		}
		replaced <- err
	}()
	broken = w.playFront(o.listen, drained)
	if err := <-replaced; err != nil {
		return nil, err
	}
	w.note("operator: resume call answered %d", call(http.MethodPost, serving.control, "/-/resume"))
	for begin := time.Now(); call(http.MethodGet, o.listen, "/ready") != http.StatusOK; time.Sleep(50 * time.Millisecond) {
		if time.Since(begin) > yesAfter {
			return append(broken, "no yes 2 s after the resume call"), nil
		}
	}
	return broken, nil
}

// drainedDeployment starts the workers and discovery, and returns how to start the node.
func (w *world) drainedDeployment() (o nodeOptions, err error) {
	var entries []entry
	for i := range 4 {
		k, err := w.newWorker(fmt.Sprintf("s-%08x", 0x5be2a070+i), 4, runFor(300*time.Millisecond))
		if err != nil {
			return o, err
		}
		entries = append(entries, k.entry("jakarta", i/2, "in_service"))
	}
	d, err := w.newDiscovery(entries)
	if err != nil {
		return o, err
	}
	o = nodeOptions{
		name: "n1", discovery: d.addr, limits: object{"cores": 1.0, "memory_mb": 64, "sockets": 512}, known: d.list(),
		settings: settingsFor(jawaClasses, nil),
	}
	if o.tempDir, err = os.MkdirTemp(w.temp, "shared"); err != nil {
		return o, err
	}
	if o.listen, err = freeAddress(); err != nil {
		return o, err
	}
	o.control, err = freeAddress()
	return o, err
}

// playFront asks for readiness until the end of the drain, and sends a job on a new connection as long as the node says yes. It
// returns what broke the rule.
func (w *world) playFront(listen string, drained time.Time) (broken []string) {
	jobs, before := 0, 0
	c := w.newClients(listen)
	c.fresh = true
	for time.Since(drained) < replacedResume {
		asked := time.Since(drained)
		status := call(http.MethodGet, listen, "/ready")
		if status != before {
			w.note("front: GET /ready is answered %d, %.2f s after the drain call", status, asked.Seconds())
			before = status
		}
		if status == http.StatusOK {
			c.send(request{class: "slot-check", deadline: 7500 * time.Millisecond, hint: 300 * time.Millisecond, body: "{}"})
			jobs++
			if asked > replacedRuleAt && len(broken) == 0 {
				broken = append(broken, fmt.Sprintf("GET /ready was answered 200, %.2f s after the drain call and without a resume call",
					asked.Seconds()))
			}
		}
		time.Sleep(frontInterval)
	}
	c.wait()
	w.note("front: %d jobs sent to the node while it was drained", jobs)
	return broken
}

// replace starts a second process of a node, waits for its yes and then ends the first.
func (w *world) replace(old *node, o nodeOptions) (next *node, err error) {
	if o.control, err = freeAddress(); err != nil {
		return nil, err
	}
	if next, err = w.startNode(o); err != nil {
		return nil, err
	}
	for begin := time.Now(); time.Since(begin) < replacedYes; time.Sleep(20 * time.Millisecond) {
		if call(http.MethodGet, next.control, "/-/ready")/100 == 2 {
			w.note("platform: the second process says yes at %s", next.control)
			break
		}
	}
	old.signal(syscall.SIGTERM)
	select {
	case <-old.exited:
	case <-time.After(killAfter):
		old.kill()
	}
	return next, nil
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
