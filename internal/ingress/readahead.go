package ingress

import (
	"bytes"
	"time"
)

// readAhead is what a client has sent behind its open request and the server has not read yet. All of it is received, however much it
// is: the end of the stream, by which a client that leaves is detected, comes last. Requests are kept for the server as far as the
// budget allows. Those beyond are skipped: they are counted, and in their place the server reads one stand-in, which is answered with
// as many refusals. Guarded by the connection's lock.
type readAhead struct {
	options *ConnOptions

	scanner      requestScanner
	requestBytes int // of the current request that were scanned
	active       bool
	costUnpaid   int // of what was read, see ReadAheadBudget

	// The server reads the stand-in first, then data, then a stand-in for the skipped requests.
	standIn  []byte
	data     []byte
	arrivals []arrival // of data
	reserved int       // bytes of the budget
	skipping bool      // the current request is not kept, nor are later ones until the server has read all that is
	skipped  RefusedRequests
	refused  []RefusedRequests // for which the server has a stand-in
	cut      bool              // what followed the data was dropped, with no stand-in: the server can read no more
	released bool              // nothing is kept any more

	err error        // the end of the connection
	run *readingTask // reads in the background; nil if none does

	received   int64 // bytes
	backlog    backlog
	settling   bool      // Conn.settleLater is going to be called
	stopPaying func()    // ends the wait for the pace of reading; nil if reading has not waited yet
	turn       *readTurn // that the connection waits for, or nil

	bufferLimited bool // the receive buffer is

	checkpoints []checkpoint // that reading has not passed yet, the earliest first
	readUntil   time.Time    // all that the client had sent then has been read
	waiters     []*readWaiter
}

// arrival is when a part of the data arrived.
type arrival struct {
	bytes int
	at    time.Time
}

const (
	// arrivalResolution is how exactly the times of arrivals are kept.
	arrivalResolution = 10 * time.Millisecond
	// maxArrivals is how many times of arrival are kept. Later data counts as arrived at the last one.
	maxArrivals = 64
)

// RefusedRequests are requests that were received, but not kept.
type RefusedRequests struct {
	Count int
	// Final says that the end of the last one is not known: no request behind it can be read.
	Final bool
}

// standInHost marks the head of a stand-in.
const standInHost = "refused"

const standInHead = "POST / HTTP/1.1\r\nHost: " + standInHost + "\r\n\r\n"

// begin starts to read ahead. delivered is what the server has read behind the open request; framingKnown says that this request's end
// is known.
func (a *readAhead) begin(delivered []byte, framingKnown bool) {
	a.active = true
	if !a.empty() {
		return // the scanner goes on
	}
	a.scanner = newRequestScanner(a.options.MaxHead, a.options.MaxBody)
	a.requestBytes = 0
	if !framingKnown {
		a.scanner.end = endInvalid
		return
	}
	for len(delivered) > 0 {
		scanned, ended := a.scanner.scan(delivered)
		a.countScanned(scanned, ended)
		delivered = delivered[scanned:]
	}
}

// countScanned keeps requestBytes.
func (a *readAhead) countScanned(scanned int, ended bool) {
	a.requestBytes += scanned
	if ended {
		a.requestBytes = 0
	}
}

// empty reports whether the server has read all that was received. It may be called on nil.
func (a *readAhead) empty() bool {
	return a == nil || len(a.standIn) == 0 && len(a.data) == 0 && !a.skipping && a.skipped.Count == 0
}

// refuses reports whether requests were skipped that have not been refused yet, or bytes were dropped. It may be
// called on nil.
func (a *readAhead) refuses() bool {
	return a != nil && (a.skipping || a.cut || a.skipped.Count > 0 || len(a.refused) > 0)
}

// add takes what was received.
func (a *readAhead) add(received []byte, now time.Time) {
	a.received += int64(len(received))
	a.passCheckpoints()
	a.costUnpaid += readCost(received, a.scanner.end == endKnown)
	var latest []byte // the latest request, if it came whole
	for len(received) > 0 && !a.released {
		endBefore := a.scanner.end
		scanned, ended := len(latest), true
		if !a.atRequestStart() || len(latest) == 0 || !bytes.HasPrefix(received, latest) {
			scanned, ended = a.scanner.scan(received)
		}
		part := received[:scanned]
		latest = nil
		if ended && a.requestBytes == 0 {
			latest = part
		}
		switch {
		case a.skipping:
			a.countSkipped(ended)
		case endBefore == endInvalid: // the server refuses the current request by what it has of it
			a.cut = true
		case !a.keep(part, now):
			a.beginSkipping(part, ended, now)
		}
		a.countScanned(scanned, ended)
		received = received[scanned:]
	}
}

// atRequestStart reports whether no byte of the current request has been scanned.
func (a *readAhead) atRequestStart() bool { return a.requestBytes == 0 && a.scanner.end == endKnown }

// keep appends to the data if the budget allows it.
func (a *readAhead) keep(part []byte, now time.Time) bool {
	size := len(a.data) + len(part)
	if size > maxReadAheadBytes || !a.reserve(size) {
		return false
	}
	a.appendData(part, now)
	return true
}

// reserve has the budget provide for data of the given size, and reports whether it does.
func (a *readAhead) reserve(size int) bool {
	more := size - unreservedBytes - a.reserved
	if more <= 0 {
		return true
	}
	budget := a.options.ReadAhead
	if budget == nil || !budget.reserve(more) {
		return false
	}
	a.reserved += more
	return true
}

// appendData appends to the data and records when it arrived.
func (a *readAhead) appendData(part []byte, now time.Time) {
	a.data = append(a.data, part...)
	if n := len(a.arrivals); n > 0 && (n == maxArrivals || now.Sub(a.arrivals[n-1].at) < arrivalResolution) {
		a.arrivals[n-1].bytes += len(part)
		return
	}
	a.arrivals = append(a.arrivals, arrival{len(part), now})
}

// beginSkipping drops the current request, of which part is the latest part, and all later ones. A request of which the server has
// read the beginning cannot be dropped: it is kept without a budget or, if its end is not known, its rest is cut off.
func (a *readAhead) beginSkipping(part []byte, ended bool, now time.Time) {
	kept := a.requestBytes
	if kept > len(a.data) {
		if a.scanner.end == endKnown {
			a.appendData(part, now)
		} else {
			a.scanner.end = endInvalid
			a.cut = true
		}
		return
	}
	a.dropLast(kept)
	a.skipping = true
	a.countSkipped(ended)
}

// dropLast removes the last bytes of the data.
func (a *readAhead) dropLast(bytes int) {
	a.data = a.data[:len(a.data)-bytes]
	for bytes > 0 {
		last := &a.arrivals[len(a.arrivals)-1]
		n := min(bytes, last.bytes)
		last.bytes -= n
		bytes -= n
		if last.bytes == 0 {
			a.arrivals = a.arrivals[:len(a.arrivals)-1]
		}
	}
}

// countSkipped counts the current request if it has ended, or its end cannot be known. Once the server has read all before it, later
// requests are kept again.
func (a *readAhead) countSkipped(ended bool) {
	final := a.scanner.end != endKnown
	if a.skipped.Final || !ended && !final {
		return
	}
	a.skipped.Count++
	a.skipped.Final = final
	a.cut = final
	if ended && len(a.data) == 0 && len(a.standIn) == 0 {
		a.insertStandIn()
		a.skipping = false
	}
}

// insertStandIn has the server read a stand-in for the skipped requests.
func (a *readAhead) insertStandIn() {
	a.refused = append(a.refused, a.skipped)
	if budget := a.options.ReadAhead; budget != nil {
		budget.refused.Add(int64(a.skipped.Count))
	}
	a.skipped.Count = 0
	a.standIn = []byte(standInHead)
}

// consume copies to p what the server reads next, and returns when that arrived. It returns 0 if there is nothing.
func (a *readAhead) consume(p []byte) (n int, arrivedAt time.Time) {
	if len(a.data) == 0 && len(a.standIn) == 0 && a.skipped.Count > 0 {
		a.insertStandIn()
		a.skipping = a.requestBytes > 0 && !a.skipped.Final
	}
	if len(a.standIn) > 0 {
		n = copy(p, a.standIn)
		a.standIn = a.standIn[n:]
		return n, time.Now()
	}
	if len(a.data) == 0 {
		return 0, time.Time{}
	}
	first := &a.arrivals[0]
	n = copy(p, a.data[:first.bytes])
	arrivedAt = first.at
	first.bytes -= n
	if first.bytes == 0 {
		a.arrivals = a.arrivals[1:]
	}
	a.data = a.data[n:]
	if len(a.data) == 0 {
		a.freeData()
	}
	return n, arrivedAt
}

// freeData gives the memory of the data back.
func (a *readAhead) freeData() {
	a.data = nil
	a.arrivals = nil
	if a.reserved > 0 {
		a.options.ReadAhead.release(a.reserved)
		a.reserved = 0
	}
}

// release drops what was kept, and keeps nothing from now on. It may be called on nil.
func (a *readAhead) release() {
	if a == nil {
		return
	}
	a.released = true
	a.freeData()
	a.allRead()
}

// takeRefused returns the requests for which the server has read a stand-in. It may be called on nil.
func (a *readAhead) takeRefused() (refused RefusedRequests, ok bool) {
	if a == nil || len(a.refused) == 0 {
		return RefusedRequests{}, false
	}
	refused = a.refused[0]
	a.refused = a.refused[1:]
	return refused, true
}
