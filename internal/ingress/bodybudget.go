package ingress

import (
	"slices"
	"sync"
	"time"
)

const (
	// arrivedShare is the part of the memory, one in so many, that is kept for bodies that have arrived whole.
	arrivedShare = 4
	// arrivalCheckInterval is how often a body that waits for memory is checked for having arrived whole.
	arrivalCheckInterval = 50 * time.Millisecond
)

// bodyBudget bounds the memory of bodies that are being read, beyond the first initialBodyBytes of each. Where it is used up, bodies of
// which the receive buffer holds the rest come first, as reading them does not have to wait for their clients; and the bodies that have
// been read for longest make room, once they had time. Clients that stop within a body, or write it slowly, thus cannot keep the memory
// from others. It is safe for concurrent use.
type bodyBudget struct {
	grace time.Duration // a body is read for this long before its connection is closed for others

	mu        sync.Mutex
	bytes     int
	freeBytes int                // negative after a resize, until enough is released
	holders   []*bodyReservation // the oldest first
	waiters   []*bodyReservation // those that have arrived first, then the oldest first
}

// bodyReservation is the memory of one body.
type bodyReservation struct {
	bytes   int
	conn    *Conn         // on which the body comes; nil if that is not known
	arrived bool          // the receive buffer holds the rest of the body
	since   time.Time     // when it was granted
	evicted bool          // its connection is being closed
	granted chan struct{} // closed when it is granted; nil if it was at once
}

// newReservation returns a reservation that is not granted. That of a connection is used for one body after the other.
func newReservation(conn *Conn, bytes int) *bodyReservation {
	if conn == nil {
		return &bodyReservation{bytes: bytes}
	}
	conn.body = bodyReservation{bytes: bytes, conn: conn}
	return &conn.body
}

func newBodyBudget(bytes int, grace time.Duration) *bodyBudget {
	return &bodyBudget{grace: grace, bytes: bytes, freeBytes: bytes}
}

// reserve waits until the memory is there, or the given time. It returns nil if the memory is not there by then.
func (b *bodyBudget) reserve(conn *Conn, bytes int, until time.Time) *bodyReservation {
	r := newReservation(conn, bytes)
	if b.take(r) {
		return r
	}
	b.wait(r)
	deadline := time.NewTimer(time.Until(until))
	defer deadline.Stop()
	for {
		retry := time.NewTimer(b.makeRoom())
		select {
		case <-r.granted:
			retry.Stop()
			return r
		case <-retry.C:
			b.update(r)
		case <-deadline.C:
			retry.Stop()
			b.withdraw(r)
			return nil
		}
	}
}

// take grants a reservation if there is room and none waits.
func (b *bodyBudget) take(r *bodyReservation) (granted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted = len(b.waiters) == 0 && b.hasRoom(r)
	if granted {
		b.grant(r)
	}
	return granted
}

// wait has a reservation wait for its turn.
func (b *bodyBudget) wait(r *bodyReservation) {
	r.granted = make(chan struct{})
	r.arrived = r.hasArrived()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addWaiter(r)
	b.grantWaiting()
}

// hasArrived reports whether the receive buffer holds the rest of the body.
func (r *bodyReservation) hasArrived() bool {
	if r.conn == nil {
		return false
	}
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	return r.conn.bodyArrived()
}

// hasRoom reports whether the memory for a reservation is there. Where none is held it is, so that each body is read sometime. The caller
// holds mu.
func (b *bodyBudget) hasRoom(r *bodyReservation) bool {
	needed := r.bytes
	if !r.arrived {
		needed += b.bytes / arrivedShare
	}
	return len(b.holders) == 0 || b.freeBytes >= needed
}

// addWaiter adds a reservation to those that wait. The caller holds mu.
func (b *bodyBudget) addWaiter(r *bodyReservation) {
	at := slices.IndexFunc(b.waiters, func(w *bodyReservation) bool { return r.arrived && !w.arrived })
	if at < 0 {
		at = len(b.waiters)
	}
	b.waiters = slices.Insert(b.waiters, at, r)
}

// update puts a reservation that waits before others if its body has arrived by now.
func (b *bodyBudget) update(r *bodyReservation) {
	if !r.hasArrived() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiters, r); i >= 0 && !r.arrived {
		b.waiters = slices.Delete(b.waiters, i, i+1)
		r.arrived = true
		b.addWaiter(r)
		b.grantWaiting()
	}
}

// grant gives a reservation its memory. The caller holds mu.
func (b *bodyBudget) grant(r *bodyReservation) {
	b.freeBytes -= r.bytes
	r.since = time.Now()
	b.holders = append(b.holders, r)
}

// grantWaiting grants the reservations that wait, as far as there is room. The caller holds mu.
func (b *bodyBudget) grantWaiting() {
	for len(b.waiters) > 0 && b.hasRoom(b.waiters[0]) {
		r := b.waiters[0]
		b.waiters = b.waiters[1:]
		b.grant(r)
		close(r.granted)
	}
}

// release gives the memory of a reservation back. It may be called with nil.
func (b *bodyBudget) release(r *bodyReservation) {
	if r == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.holders, r)
	b.holders = slices.Delete(b.holders, i, i+1)
	b.freeBytes += r.bytes
	b.grantWaiting()
}

// withdraw ends the wait of a reservation, which may just have been granted.
func (b *bodyBudget) withdraw(r *bodyReservation) {
	b.mu.Lock()
	i := slices.Index(b.waiters, r)
	if i >= 0 {
		b.waiters = slices.Delete(b.waiters, i, i+1)
		b.grantWaiting()
	}
	b.mu.Unlock()
	if i < 0 {
		b.release(r)
	}
}

// resize sets the memory of all bodies together.
func (b *bodyBudget) resize(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freeBytes += bytes - b.bytes
	b.bytes = bytes
	b.grantWaiting()
}

// makeRoom closes the connections of bodies that have been read for longest, as far as the first reservation that waits needs it. It
// returns the time after which to try again.
func (b *bodyBudget) makeRoom() (retryAfter time.Duration) {
	conns, retryAfter := b.chooseEvictions()
	for _, conn := range conns { // without mu: closing waits for a read in progress
		conn.Evict()
	}
	return retryAfter
}

// chooseEvictions is makeRoom without the closing.
func (b *bodyBudget) chooseEvictions() (conns []*Conn, retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) == 0 {
		return nil, arrivalCheckInterval
	}
	expected := b.freeBytes
	for _, holder := range b.holders {
		if expected >= b.waiters[0].bytes+b.bytes/arrivedShare {
			break
		}
		if !holder.evicted {
			if left := b.grace - time.Since(holder.since); left > 0 {
				return conns, min(left, arrivalCheckInterval)
			}
			holder.evicted = true
			if holder.conn != nil {
				conns = append(conns, holder.conn)
			}
		}
		expected += holder.bytes
	}
	return conns, arrivalCheckInterval
}
