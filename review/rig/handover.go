package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"
)

// The small deployment of the case handover.
const (
	handoverWorkers  = 8
	handoverSlots    = 6
	handoverMemoryMB = 192
	handoverSockets  = 1024
	handoverRate     = 10       // jobs a second
	handoverBody     = 60 << 10 // bytes of a job's body
	handoverTimes    = 12
	handoverEvery    = 5 * time.Second
	handoverWithin   = 60 * time.Millisecond   // least time from the next process's first call to discovery in which a worker dies
	handoverLonger   = 3                       // the time is so many times that from that call to the yes, where that is longer
	handoverDown     = time.Second             // the worker is away for so long
	handoverTold     = 1500 * time.Millisecond // discovery tells of its new start so long after it
)

// playHandover replaces a node's process again and again. Each time a worker's process dies meanwhile and comes back.
func playHandover(w *world, trouble bool) (broken []string, err error) {
	workers, d, o, err := w.handoverDeployment()
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
	c := w.newClients(o.listen)
	stop, sent := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sent)
		c.steady(handoverRate, time.Hour, handoverRequest, func() bool { return !isClosed(stop) })
	}()
	within := handoverWithin
	for i := range handoverTimes {
		time.Sleep(handoverEvery)
		select {
		case <-d.calls:
		default:
		}
		called := make(chan time.Time, 1)
		if trouble {
			go dieDuring(d, workers[i%len(workers)], within, called)
		}
		next, err := w.replace(serving, o)
		if err != nil {
			return nil, err
		}
		if next.crashed.Load() || serving.crashed.Load() {
			broken = append(broken, fmt.Sprintf("a process of the node crashed at replacement %d", i+1))
			break
		}
		serving = next
		select {
		case at := <-called:
			within = max(handoverWithin, handoverLonger*next.yesAt.Sub(at))
		default:
		}
	}
	close(stop)
	<-sent
	replies, unanswered := c.wait(), 0
	for _, r := range replies {
		if r.status == 0 {
			unanswered++
		}
	}
	w.note("%d jobs handed in, %d without an answer", len(replies), unanswered)
	if len(broken) > 0 {
		broken = append(broken, fmt.Sprintf("%d of %d jobs have no answer", unanswered, len(replies)))
	}
	return broken, nil
}

// handoverDeployment starts the workers and discovery, and returns how to start the node.
func (w *world) handoverDeployment() (workers []*worker, d *discovery, o nodeOptions, err error) {
	var entries []entry
	for i := range handoverWorkers {
		k, err := w.newWorker(fmt.Sprintf("s-%08x", 0x5be2a070+i), handoverSlots, func(*http.Request) time.Duration {
			return 2500*time.Millisecond + rand.N(2*time.Second)
		})
		if err != nil {
			return nil, nil, o, err
		}
		workers = append(workers, k)
		entries = append(entries, k.entry("jakarta", i/2, "in_service"))
	}
	if d, err = w.newDiscovery(entries); err != nil {
		return nil, nil, o, err
	}
	o = nodeOptions{
		name: "n1", discovery: d.addr, limits: object{"cores": 1.0, "memory_mb": handoverMemoryMB, "sockets": handoverSockets},
		known: d.list(), settings: settingsFor(jawaClasses, nil),
	}
	if o.tempDir, err = os.MkdirTemp(w.temp, "shared"); err != nil {
		return nil, nil, o, err
	}
	if o.listen, err = freeAddress(); err != nil {
		return nil, nil, o, err
	}
	o.control, err = freeAddress()
	return workers, d, o, err
}

// handoverRequest returns the i-th job: the site's two classes with the longest jobs in turn.
func handoverRequest(i int) request {
	k := jawaClasses[2+i%2]
	return request{
		class: k.name, key: fmt.Sprintf("%032x", i), deadline: time.Duration(k.deadlineMs) * time.Millisecond,
		hint: 3500 * time.Millisecond, body: strings.Repeat("x", handoverBody),
	}
}

// dieDuring ends the process of a worker within a time of the next call to discovery, which the node's next process makes. The worker
// comes back at the same address, and discovery tells of its new start.
func dieDuring(d *discovery, k *worker, within time.Duration, called chan<- time.Time) {
	select {
	case at := <-d.calls:
		called <- at
	case <-time.After(timeToYes):
		return
	}
	time.Sleep(rand.N(within))
	k.die()
	time.Sleep(handoverDown)
	started := time.Now()
	if err := k.restart(); err != nil {
		k.w.note("worker %s: %v", k.id, err)
		return
	}
	time.Sleep(handoverTold)
	for _, e := range d.entriesNow() {
		if e.ID == k.id {
			e.StartedMs = started.UnixMilli()
			d.change(e)
		}
	}
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
