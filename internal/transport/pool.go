package transport

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/invariant"
	"swiftdeal/internal/platform"
)

// errNoConnection reports that WorkerConns connections are open and all are in use.
var errNoConnection = errors.New("worker connection limit reached")

// pool holds the connections to all workers, at most WorkerConns of them.
type pool struct {
	limits   config.Limits
	dial     platform.Dial
	readHook func() // for tests: see connCheck

	mu        sync.Mutex // guards the fields below
	workers   workerDirectory
	idle      []*conn // of all workers, most recently used last
	conns     map[*conn]bool
	connCount int // open connections and those being dialed
	closed    bool
	attempts  map[string]*exchange // the latest attempt of each request id; nil if migration is not enabled
}

func newPool(limits config.Limits, dial platform.Dial) *pool {
	return &pool{limits: limits, dial: dial, workers: newWorkerDirectory(), conns: map[*conn]bool{}}
}

// update applies a full endpoint list or an incremental change. It closes idle connections to workers that were
// removed, have another address or were restarted.
func (p *pool) update(list config.EndpointList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers.update(list, time.Now())
	for _, c := range slices.Clone(p.idle) {
		if !p.workers.isCurrent(c) {
			p.closeIdle(c)
		}
	}
}

// outOfServiceSince returns when a worker left service, zero if it is in service, has never been, or the time was dropped.
func (p *pool) outOfServiceSince(worker string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers.outOfService.since(worker)
}

// target returns a worker's id, zone and cell.
func (p *pool) target(worker string) invariant.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoint := p.workers.endpoints[worker]
	return invariant.Target{Worker: worker, Zone: endpoint.Zone, Cell: endpoint.Cell}
}

// isInService reports whether a worker accepts new jobs according to the endpoint list.
func (p *pool) isInService(worker string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers.isInService(worker)
}

// resize sets the maximum number of connections and closes excess idle ones, least recently used first.
func (p *pool) resize(conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.WorkerConns = conns
	for excess := p.connCount - conns; excess > 0 && len(p.idle) > 0; excess-- {
		p.closeIdle(p.idle[0])
	}
}

// slot is an exchange's reservation in the pool: an idle connection, or the right to open a new one.
type slot struct {
	conn        *conn
	address     string
	workerStart time.Duration // start time of the worker process, from the endpoint list
	err         error
}

// reserve gives an exchange the most recently used idle connection to its worker, or the right to open a new one. It
// does not block, so that slots are assigned in the order of the routing decisions.
func (p *pool) reserve(x *exchange) slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.worker == x.worker {
			p.idle = slices.Delete(p.idle, i, i+1)
			c.idleTimer.Stop()
			c.current = x
			return slot{conn: c}
		}
	}
	if p.closed {
		return slot{err: net.ErrClosed}
	}
	if p.connCount >= p.limits.WorkerConns {
		if len(p.idle) == 0 {
			return slot{err: errNoConnection}
		}
		p.closeIdle(p.idle[0]) // evict the least recently used one
	}
	p.connCount++
	endpoint := p.workers.endpoints[x.worker]
	return slot{address: endpoint.Address, workerStart: endpoint.StartedAt}
}

// connect returns the connection of a slot, and dials one if the slot has none.
func (p *pool) connect(ctx context.Context, x *exchange, reserved slot) (*conn, error) {
	if reserved.conn != nil || reserved.err != nil {
		return reserved.conn, reserved.err
	}
	raw, err := p.dial(ctx, reserved.address, p.limits.DialTimeout, x.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		raw.Close()
		err = net.ErrClosed
	}
	if err != nil {
		p.connCount--
		return nil, err
	}
	c := p.newConn(raw, x, reserved.address)
	c.workerStart = reserved.workerStart
	go c.readLoop()
	return c, nil
}

// release returns a connection to the idle list. It reports false if the connection cannot be reused because the pool
// is closed or the worker's address has changed.
func (p *pool) release(c *conn) bool {
	c.SetReadDeadline(time.Time{})
	if c.recorder != nil {
		c.recorder.reset()
	}
	c.connCheck.reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.workers.hasAddress(c) {
		return false
	}
	c.current = nil
	p.idle = append(p.idle, c)
	c.idleTimer = time.AfterFunc(p.limits.WorkerIdleTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closeIdle(c) // no-op if it is in use again
	})
	return true
}

// closeIdle closes an idle connection and removes it from the idle list; p.mu must be held. Its reader goroutine then
// sees the close and removes it from the pool.
func (p *pool) closeIdle(c *conn) {
	i := slices.Index(p.idle, c)
	if i < 0 {
		return
	}
	p.idle = slices.Delete(p.idle, i, i+1)
	c.idleTimer.Stop()
	c.Close()
}

// remove removes a connection whose reader has stopped.
func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(c)
	delete(p.conns, c)
	p.connCount--
}

// close closes all connections, including those in use, and prevents new ones.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range slices.Clone(p.idle) {
		p.closeIdle(c)
	}
	for c := range p.conns {
		c.Close()
	}
}

// trackAttempt records the latest attempt of a request if migration is enabled.
func (p *pool) trackAttempt(x *exchange) {
	if p.attempts == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[x.name] = x
}

// forgetAttempt undoes trackAttempt, unless a later attempt of the request has been recorded.
func (p *pool) forgetAttempt(x *exchange) {
	if p.attempts == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.attempts[x.name] == x {
		delete(p.attempts, x.name)
	}
}
