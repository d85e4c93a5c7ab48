package ingress

import "time"

// requestState is what a connection records about the last request taken from it and about the arrival of the next
// one. Guarded by the connection's lock.
type requestState struct {
	idle            bool          // between two requests
	open            bool          // a request has been taken, and the connection has not been idle since
	pipelined       bool          // the request came behind another one
	complete        bool          // the request has been read whole; set while it is open
	responseStarted bool          // part of its response has been written
	closing         bool          // the server closes the connection after its last response
	onUnanswered    func()        // called if the connection is closed while the request is open; may be nil
	arrivalDelay    time.Duration // upper bound on how long the next request arrived before it was taken
	lastReadAt      time.Time     // time of the last read
	headArrivedAt   time.Time     // when the buffered head began, if it came behind an open request; else zero
}

// begin records that a request is taken. If its head came behind the previous request, the client's timeout has been
// running since then.
func (s *requestState) begin() {
	s.idle = false
	s.open = true
	s.complete = false
	s.responseStarted = false
	s.pipelined = !s.headArrivedAt.IsZero()
	if s.pipelined {
		s.arrivalDelay += time.Since(s.headArrivedAt)
		s.headArrivedAt = time.Time{}
	}
}

// end records that the request has been answered and that the connection is idle.
func (s *requestState) end() {
	s.idle = true
	s.open = false
}

// incomplete reports whether the rest of the open request is still being read.
func (s *requestState) incomplete() bool { return s.open && !s.complete && !s.responseStarted }

// takeArrivalDelay returns the arrival delay and resets it, so that it counts for one request only.
func (s *requestState) takeArrivalDelay() time.Duration {
	delay := s.arrivalDelay
	s.arrivalDelay = 0
	return delay
}
