package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/guard"
	"swiftdeal/internal/platform"
)

// errFull says that all the connections that the node may have to peers are in use.
var errFull = errors.New("no connection to spare")

// conn is a connection to a peer. One goroutine reads it for as long as it lives, so that a peer that
// closes it is noticed also while it stands idle.
type conn struct {
	net.Conn
	pool  *pool
	peer  string
	addr  string
	start time.Duration // of the process behind it, as the list tells it
	limit *io.LimitedReader
	r     *bufio.Reader
	tap   *tap        // nil where tries do not move
	use   *exchange   // the exchange in hand, nil while idle; guarded by pool.mu
	stale bool        // it ended, or spoke, before the exchange in hand began; guarded by that
	look  *look       // what it is read by; nil where it is no socket
	timer *time.Timer // closes the connection when it has been idle too long
}

// pool keeps the connections to peers within their budget.
type pool struct {
	limits config.Limits
	mu     sync.Mutex
	dial   platform.Dial
	peers  map[string]config.Peer // those that the list names
	out    map[string]time.Time   // since when workers are not in service, of those that were
	idle   []*conn                // of all peers, the newest last
	all    map[*conn]bool
	count  int // connections that are open or coming up
	closed bool
	hook   func()               // for tests: see look
	tries  map[string]*exchange // the latest of each request, where they may go to another process; else nil
}

func newPool(l config.Limits, d platform.Dial) *pool {
	return &pool{limits: l, dial: d, peers: map[string]config.Peer{}, out: map[string]time.Time{}, all: map[*conn]bool{}}
}

// update keeps the peers that the list names; idle connections to one that is gone, has moved or has started anew are closed.
func (p *pool) update(g config.Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.noteOut(p.ready(g), time.Now())
	if g.Full {
		clear(p.peers)
	}
	for _, peer := range g.Peers {
		if delete(p.peers, peer.ID); peer.State != balance.Gone {
			p.peers[peer.ID] = peer
		}
	}
	for _, c := range slices.Clone(p.idle) {
		if at := p.peers[c.peer]; at.Addr != c.addr || at.Started > c.start {
			p.remove(c)
		}
	}
}

// ready lists the peers in service that a message may change; p.mu is held.
func (p *pool) ready(g config.Group) (list []string) {
	if !g.Full {
		for _, named := range g.Peers {
			if p.peers[named.ID].State == balance.Ready {
				list = append(list, named.ID)
			}
		}
		return list
	}
	for id, peer := range p.peers {
		if peer.State == balance.Ready {
			list = append(list, id)
		}
	}
	return list
}

// outKept is how long it is remembered that a worker has left service.
const outKept = time.Minute

// noteOut notes which of the peers that were in service are no more; p.mu is held.
func (p *pool) noteOut(were []string, now time.Time) {
	for _, id := range were {
		if p.peers[id].State != balance.Ready {
			p.out[id] = now
		}
	}
	for id, since := range p.out {
		if p.peers[id].State == balance.Ready || now.Sub(since) > outKept {
			delete(p.out, id)
		}
	}
}

// outSince is since when a peer that was in service is no more; zero: it is, or never was.
func (p *pool) outSince(peer string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out[peer]
}

// target names a peer with its groups.
func (p *pool) target(peer string) guard.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.peers[peer]
	return guard.Target{Worker: peer, Zone: at.Zone, Cell: at.Cell}
}

// serves reports whether a peer takes new jobs, by the list.
func (p *pool) serves(peer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers[peer].State == balance.Ready
}

// resize sets how many connections there may be; idle ones past it are closed, the oldest first.
func (p *pool) resize(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.PeerConns = n
	for over := p.count - n; over > 0 && len(p.idle) > 0; over-- {
		p.remove(p.idle[0])
	}
}

// place is what an exchange has been given in the pool: an idle connection, or leave to open one.
type place struct {
	c     *conn
	addr  string
	start time.Duration // of the peer's process
	err   error
}

// reserve gives an exchange the newest idle connection to its peer, or the right to a new one. It does not wait, so
// that exchanges get their places in the order in which they were decided.
func (p *pool) reserve(x *exchange) place {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.peer == x.peer {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			c.timer.Stop()
			c.use = x
			return place{c: c}
		}
	}
	if p.closed {
		return place{err: net.ErrClosed}
	}
	if p.count >= p.limits.PeerConns { // the oldest idle one gives way
		if len(p.idle) == 0 {
			return place{err: errFull}
		}
		p.remove(p.idle[0])
	}
	p.count++
	return place{addr: p.peers[x.peer].Addr, start: p.peers[x.peer].Started}
}

// open returns the connection of a place, a new one where it has none yet.
func (p *pool) open(ctx context.Context, x *exchange, at place) (*conn, error) {
	if at.c != nil || at.err != nil {
		return at.c, at.err
	}
	raw, err := p.dial(ctx, at.addr, p.limits.DialWait, x.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		raw.Close()
		err = net.ErrClosed
	}
	if err != nil {
		p.count--
		return nil, err
	}
	c := p.conn(raw, x, at.addr)
	c.start = at.start
	go c.serve()
	return c, nil
}

// conn makes a connection that carries an exchange; p.mu is held.
func (p *pool) conn(raw net.Conn, x *exchange, addr string) *conn {
	c := &conn{Conn: raw, pool: p, peer: x.peer, addr: addr, use: x}
	p.all[c] = true
	in := io.Reader(raw)
	if c.look = newLook(raw, p.hook); c.look != nil {
		in = c.look
	}
	c.limit = &io.LimitedReader{R: in, N: math.MaxInt64}
	if p.tries != nil {
		c.tap = &tap{raw: raw, in: in, most: p.limits.SeenBytes}
		c.limit.R = c.tap
	}
	c.r = bufio.NewReaderSize(c.limit, 4<<10)
	return c
}

// keep and forget know which try of a request is the latest, where that matters.
func (p *pool) keep(x *exchange) {
	if p.tries != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.tries[x.name] = x
	}
}

func (p *pool) forget(x *exchange) {
	if p.tries != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.tries[x.name] == x {
			delete(p.tries, x.name)
		}
	}
}

// remove closes an idle connection and takes it out; p.mu is held. Its reader finds it closed.
func (p *pool) remove(c *conn) {
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			c.timer.Stop()
			c.Close()
			return
		}
	}
}

// close ends all connections, those in use too, and lets no new one up.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range slices.Clone(p.idle) {
		p.remove(c)
	}
	for c := range p.all {
		c.Close()
	}
}

// put makes a connection idle. It reports whether it was still in use and may go on.
func (p *pool) put(c *conn) bool {
	c.SetReadDeadline(time.Time{})
	if c.tap != nil {
		c.tap.next()
	}
	c.look.next()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[c.peer].Addr != c.addr || p.closed {
		return false
	}
	c.use = nil
	p.idle = append(p.idle, c)
	c.timer = time.AfterFunc(p.limits.ConnIdle, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.remove(c) // unless it is in use by now
	})
	return true
}

// using returns the exchange in hand.
func (c *conn) using() *exchange {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.use
}

// serve reads answers until the connection ends.
func (c *conn) serve() {
	defer func() {
		if !c.tap.left() { // else it is another process's
			c.Close()
		}
		if c.tap != nil {
			c.tap.next()
		}
		c.pool.mu.Lock()
		c.pool.remove(c)
		delete(c.pool.all, c)
		c.pool.count--
		c.pool.mu.Unlock()
	}()
	for {
		_, err := c.r.Peek(1)
		x := c.using()
		if x == nil || x.unasked(c) { // closed while idle, or it speaks unasked
			return
		}
		if err != nil || !c.answer(x) {
			if c.tap.left() {
				c.pool.forget(x)
				x.detached()
			} else {
				x.broken()
			}
			return
		}
		if !c.pool.put(c) {
			return
		}
	}
}

// answer reads one answer and reports whether it ended well and the connection may carry another.
func (c *conn) answer(x *exchange) bool {
	// Guards against a header without end; the rest of an answer has limits of its own.
	c.limit.N = int64(c.pool.limits.HeaderBytes)
	var resp *http.Response
	for resp == nil || (resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols) { // interim ones
		var err error
		if resp, err = http.ReadResponse(c.r, &http.Request{Method: x.method}); err != nil {
			return false
		}
	}
	c.limit.N = math.MaxInt64
	if x.read(resp); c.tap.left() {
		return false
	}
	// The connection is of use again only once the answer has been read to its end.
	c.SetReadDeadline(time.Now().Add(c.pool.limits.TailWait))
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, int64(c.pool.limits.LineBytes)))
	return err == nil && n < int64(c.pool.limits.LineBytes) && !resp.Close && c.r.Buffered() == 0 && x.wrote(c, c.pool.limits.TailWait) && x.clean()
}
