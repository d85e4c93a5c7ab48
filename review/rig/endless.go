package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

// The small deployment of the case endless.
const (
	endlessWorkers  = 8
	endlessSlots    = 4
	endlessMemoryMB = 64
	endlessSockets  = 512
	endlessRate     = 20 // jobs a second
	endlessShare    = 8  // one in so many answers never ends
	endlessCalm     = 5 * time.Second
	endlessSpan     = 30 * time.Second
)

// playEndless has one in eight answers go on telling of progress without end, as fast as the node reads it. The platform kills a
// node that uses more memory than its limit.
func playEndless(w *world, trouble bool) (broken []string, err error) {
	var workers []*worker
	var entries []entry
	for i := range endlessWorkers {
		k, err := w.newWorker(fmt.Sprintf("s-%08x", 0x5be2a070+i), endlessSlots, runFor(600*time.Millisecond))
		if err != nil {
			return nil, err
		}
		workers = append(workers, k)
		entries = append(entries, k.entry("jakarta", i/2, "in_service"))
	}
	limits := object{"cores": 1.0, "memory_mb": endlessMemoryMB, "sockets": endlessSockets}
	n, err := w.startSingle(entries, limits, settingsFor(jawaClasses, nil))
	if err != nil {
		return nil, err
	}
	killed := make(chan bool, 1)
	go func() { killed <- n.watchMemory(endlessMemoryMB) }()
	if trouble {
		time.AfterFunc(endlessCalm, func() { spoilAnswers(w, workers) })
	}
	c := w.newClients(n.listen)
	c.steady(endlessRate, endlessSpan, func(i int) request {
		k := jawaClasses[i%len(jawaClasses)]
		return request{
			class: k.name, key: fmt.Sprintf("%032x", i), deadline: time.Duration(k.deadlineMs) * time.Millisecond,
			hint: 600 * time.Millisecond, body: "{}",
		}
	}, n.alive)
	replies := c.wait()
	unanswered := 0
	for _, r := range replies {
		if r.status == 0 {
			unanswered++
		}
	}
	w.note("%d jobs handed in, %d without an answer", len(replies), unanswered)
	if n.alive() {
		return nil, nil
	}
	if <-killed {
		return []string{fmt.Sprintf("the node went over its memory limit and was killed; %d jobs have no answer", unanswered)}, nil
	}
	return []string{fmt.Sprintf("the node has ended; %d jobs have no answer", unanswered)}, nil
}

// spoilAnswers makes one in endlessShare answers never end from now on.
func spoilAnswers(w *world, workers []*worker) {
	w.note("one in %d answers never ends from now on", endlessShare)
	var answers atomic.Int64
	for _, k := range workers {
		k.setSpoil(func(k *worker, j *job) (spoilt bool) {
			if answers.Add(1)%endlessShare != 0 {
				return false
			}
			tellForever(k, j)
			return true
		})
	}
}

// tellForever goes on telling of progress until the node gives the attempt up.
func tellForever(k *worker, j *job) {
	begin, lines, share := time.Now(), 0, 0.0
	for writeLine(j.conn, object{"id": j.id, "from": k.id, "state": "running", "share": share}) {
		share = min(share+0.000001, 0.9)
		lines++
	}
	k.w.note("worker %s: %s was given up after %d lines of progress in %v", k.id, j.id, lines, time.Since(begin))
}

// memoryStep is how much the node's memory has to grow for another line in the record, in MB.
const memoryStep = 8

// watchMemory is the platform: it kills the node once it uses more memory than it may, and reports whether it has.
func (n *node) watchMemory(limitMB float64) (killed bool) {
	noted := 0.0
	for n.alive() {
		used := n.anonMB()
		if used > noted+memoryStep {
			noted = used
			n.w.note("platform: the node uses %.1f MB of %.0f", used, limitMB)
		}
		if used > limitMB {
			n.w.note("platform: the node uses %.1f MB, its limit is %.0f MB", used, limitMB)
			n.signal(syscall.SIGKILL)
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}
