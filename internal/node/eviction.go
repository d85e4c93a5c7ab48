package node

import (
	"net"
	"net/http"
	"time"

	"swiftdeal/internal/ingress"
)

// At the connection limit, the node evicts connections that carry no whole request: those that are only still open after their last
// response, then those that have not sent a whole request yet, the oldest first, and then the connections that have been idle longest,
// which a client must expect to lose at any time. Many silent or slow connections thus cannot lock out clients that send requests.

// evictionRank orders connections for eviction.
type evictionRank int

const (
	rankClosing    evictionRank = iota // after the last response
	rankIncomplete                     // no whole request has been read
	rankIdle
	rankNone // a request is open: the connection is not evicted
)

// rankOf returns the rank of a connection.
func rankOf(conn net.Conn, s connState) evictionRank {
	switch s.state {
	case http.StateClosed:
		return rankClosing
	case http.StateNew:
		return rankIncomplete
	case http.StateIdle:
		return rankIdle
	}
	clientConn := ingressConn(conn)
	if clientConn == nil {
		return rankNone
	}
	switch clientConn.Progress() {
	case ingress.ProgressClosing:
		return rankClosing
	case ingress.ProgressIncomplete:
		return rankIncomplete
	}
	return rankNone
}

// evict closes the best candidate for eviction and reports whether there was one. If there was none, it returns the time
// until the oldest connection without a request may be evicted, or 0 if all connections carry requests. The caller holds
// c.mu.
func (c *connTracker) evict() (evicted bool, retryAfter time.Duration) {
	for {
		candidate, graceLeft := c.evictionCandidate()
		if candidate == nil {
			return false, graceLeft
		}
		if c.evictConn(candidate) {
			delete(c.open, candidate)
			c.evicted.Add(1)
			return true, 0
		}
	}
}

// evictionCandidate returns the connection to evict. If none may be evicted now, it returns nil and the time until one
// may, or 0 if all connections carry requests. Connections without a whole request are spared for NewConnGrace: when many arrive at
// once, a client's request may have arrived but not been read yet, and a client that was refused gets time to read why. While such
// connections hold most places, idle ones are spared too: their clients would have to come again behind the crowd.
func (c *connTracker) evictionCandidate() (candidate net.Conn, retryAfter time.Duration) {
	candidateRank, spared := rankNone, 0
	for conn, s := range c.open {
		rank := rankOf(conn, s)
		if rank == rankIncomplete || rank == rankClosing && s.state != http.StateClosed {
			if graceLeft := c.limits.NewConnGrace - time.Since(s.since); graceLeft > 0 {
				spared++
				if retryAfter == 0 || graceLeft < retryAfter {
					retryAfter = graceLeft
				}
				continue
			}
		}
		if rank < candidateRank || rank == candidateRank && rank != rankNone && s.olderThan(c.open[candidate]) {
			candidate, candidateRank = conn, rank
		}
	}
	if candidateRank == rankIdle && spared > c.limits.ClientConns/2 {
		return nil, retryAfter
	}
	return candidate, retryAfter
}

// evictConn closes a connection and reports whether it did. It does not close a connection whose request has been received
// but whose change to StateActive the server has not reported yet, or of which the end has not been read yet.
func (c *connTracker) evictConn(conn net.Conn) bool {
	s := c.open[conn]
	clientConn := ingressConn(conn)
	switch {
	case clientConn == nil:
		conn.Close()
	case s.state == http.StateClosed:
		clientConn.CloseNow()
	case !clientConn.Evict():
		c.open[conn] = connState{http.StateActive, time.Now(), s.sequence}
		return false
	}
	return true
}
