package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// The small deployment of the case halves.
const (
	halvesWorkers    = 6
	halvesMemoryMB   = 64
	halvesSockets    = 256
	halvesRate       = 10 // jobs a second
	halvesBad        = 500
	halvesDeadlineMs = 2500
	halvesCalm       = 5 * time.Second
	halvesSpan       = 20 * time.Second
)

// answerSlack is how long after its time a request still has its answer in time to count as not lost: half a second, and the 50 ms
// by which every limit is longer on sockets.
const answerSlack = 550 * time.Millisecond

// playHalves has bad clients stop in the middle of a request and stay, some hundreds at once.
func playHalves(w *world, trouble bool) (broken []string, err error) {
	var entries []entry
	for i := range halvesWorkers {
		k, err := w.newWorker(fmt.Sprintf("s-%08x", 0x5be2a070+i), 4, runFor(300*time.Millisecond))
		if err != nil {
			return nil, err
		}
		entries = append(entries, k.entry("jakarta", i/2, "in_service"))
	}
	slotCheck := jawaClasses[0]
	slotCheck.deadlineMs = halvesDeadlineMs
	n, err := w.startSingle(entries, object{"cores": 1.0, "memory_mb": halvesMemoryMB, "sockets": halvesSockets},
		settingsFor([]class{slotCheck}, nil))
	if err != nil {
		return nil, err
	}
	var bad sync.WaitGroup
	if trouble {
		time.AfterFunc(halvesCalm, func() {
			w.note("bad clients: %d of them send half a request at once, and stay", halvesBad)
			for range halvesBad {
				bad.Go(func() { sendHalf(w, n.listen) })
			}
		})
	}
	c := w.newClients(n.listen)
	deadline := time.Duration(slotCheck.deadlineMs) * time.Millisecond
	c.steady(halvesRate, halvesSpan, func(int) request {
		return request{class: slotCheck.name, deadline: deadline, hint: 300 * time.Millisecond, body: "{}"}
	}, n.alive)
	replies := c.wait()
	bad.Wait()
	if !n.alive() {
		return []string{"the node has ended"}, nil
	}
	byStatus := map[int]int{}
	for _, r := range replies {
		byStatus[r.status]++
		if r.taken && r.status == 0 && r.open && r.late() > answerSlack {
			broken = append(broken, fmt.Sprintf("%s was written at %.3f s, and had neither an answer nor a close %.3f s after its time",
				r.id, r.sent.Sub(w.start).Seconds(), r.late().Seconds()))
		}
	}
	w.note("answers by status, 0 for none: %v", byStatus)
	return broken, nil
}

// sendHalf sends the head and the first byte of a request, and waits for what comes of it.
func sendHalf(w *world, addr string) {
	conn, err := net.DialTimeout("tcp", addr, 10*time.Second)
	if err != nil {
		w.note("bad client: %v", err)
		return
	}
	defer conn.Close()
	begin := time.Now()
	fmt.Fprint(conn, "POST /slot-check?sid=1 HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: "+fmt.Sprintf("%016x", begin.UnixNano())+
		"\r\nX-Deadline: 2.500\r\nContent-Length: 100\r\n\r\n{")
	conn.SetReadDeadline(begin.Add(20 * time.Second))
	text, err := io.ReadAll(conn)
	w.note("bad client: ended after %.3f s, %d bytes, %v", time.Since(begin).Seconds(), len(text), err)
}
