package chaos

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"swiftdeal/internal/membership/codec"
)

// relay forwards all datagrams between nodes: each node knows the others only by the relay's addresses. It applies the network
// faults in force for the sender and the receiver.
type relay struct {
	cluster *Cluster

	mu                       sync.Mutex
	sockets                  []*net.UDPConn
	byIP                     map[netip.Addr]int
	random                   *rand.Rand
	loss, duplicate, corrupt float64 // probabilities
	delay, jitter            float64 // ms
	cuts                     map[int]func(from, to int) bool
	cutSeq                   int
	byteRate                 map[int]float64   // bytes a second to a node
	nodeDelay                map[int]float64   // ms that datagrams to a node take longer
	freeAt                   map[int]time.Time // when the link to a node with a limited rate is free
	recent                   map[int][][]byte  // a sample of the datagrams that a node has sent
	timers                   map[*time.Timer]bool
	closed                   bool
	work                     sync.WaitGroup
	passed                   int64
	dropped                  int64
	bytes                    map[int]int64 // sent by a node
	count                    map[int]int64
}

const (
	maxRecent  = 64 // datagrams kept of each node for replay
	recentOdds = 8  // once that many are kept, one in recentOdds new datagrams replaces one of them
)

// newRelay opens the relay's sockets for n nodes and starts to forward datagrams.
func newRelay(f *Cluster, n int) (*relay, error) {
	r := &relay{
		cluster:   f,
		byIP:      map[netip.Addr]int{},
		random:    rand.New(rand.NewPCG(f.plan.Seed, 7)),
		cuts:      map[int]func(int, int) bool{},
		byteRate:  map[int]float64{},
		nodeDelay: map[int]float64{},
		freeAt:    map[int]time.Time{},
		recent:    map[int][][]byte{},
		timers:    map[*time.Timer]bool{},
		bytes:     map[int]int64{},
		count:     map[int]int64{},
	}
	for i := range n {
		a, err := net.ResolveUDPAddr("udp4", f.block.relayAddr(i))
		if err != nil {
			return nil, err
		}
		s, err := net.ListenUDP("udp4", a)
		if err != nil {
			return nil, err
		}
		r.sockets = append(r.sockets, s)
		r.byIP[netip.MustParseAddrPort(f.block.gossipAddr(i)).Addr()] = i
	}
	for i := range r.sockets {
		r.work.Add(1)
		go r.read(i)
	}
	return r, nil
}

// read receives the datagrams sent to a node.
func (r *relay) read(to int) {
	defer r.work.Done()
	b := make([]byte, 4096)
	for {
		n, from, err := r.sockets[to].ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		i, ok := r.byIP[from.Addr().Unmap()]
		if !ok {
			continue
		}
		r.forward(i, to, slices.Clone(b[:n]))
	}
}

// forward passes a datagram on, unless the faults in force drop it.
func (r *relay) forward(from, to int, b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes[from] += int64(len(b))
	r.count[from]++
	if k := r.recent[from]; len(k) < maxRecent {
		r.recent[from] = append(k, b)
	} else if r.random.IntN(recentOdds) == 0 {
		k[r.random.IntN(len(k))] = b
	}
	for _, cut := range r.cuts {
		if cut(from, to) {
			r.dropped++
			return
		}
	}
	if r.random.Float64() < r.loss {
		r.dropped++
		return
	}
	delay := time.Duration((r.delay + r.nodeDelay[to] + r.jitter*r.random.Float64()) * float64(time.Millisecond))
	if rate := r.byteRate[to]; rate > 0 {
		now := time.Now()
		if r.freeAt[to].Before(now) {
			r.freeAt[to] = now
		}
		if r.freeAt[to].Sub(now) > time.Second { // the link's queue holds one second of traffic
			r.dropped++
			return
		}
		r.freeAt[to] = r.freeAt[to].Add(time.Duration(float64(len(b)) / rate * float64(time.Second)))
		delay += r.freeAt[to].Sub(now)
	}
	if r.random.Float64() < r.corrupt {
		b = slices.Clone(b)
		b[r.random.IntN(len(b))] ^= byte(1 + r.random.IntN(255))
	}
	copies := 1
	if r.random.Float64() < r.duplicate {
		copies = 2
	}
	for range copies {
		r.after(delay, func() { r.send(from, to, b) })
	}
}

// after runs a function after a delay. The caller holds r.mu, which is also held while the function runs.
func (r *relay) after(delay time.Duration, do func()) {
	if delay <= 0 {
		do()
		return
	}
	var t *time.Timer
	t = time.AfterFunc(delay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.timers, t)
		if !r.closed {
			do()
		}
	})
	r.timers[t] = true
}

// send delivers a datagram to a node from the relay's address of the sender.
func (r *relay) send(from, to int, b []byte) {
	r.passed++
	r.sockets[from].WriteToUDPAddrPort(b, netip.MustParseAddrPort(r.cluster.block.gossipAddr(to)))
}

// cut drops the datagrams that lost selects, until heal is called.
func (r *relay) cut(lost func(from, to int) bool) (heal func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutSeq++
	id := r.cutSeq
	r.cuts[id] = lost
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cuts, id)
	}
}

// limitRate limits the bytes per second to a node, until restore is called.
func (r *relay) limitRate(node int, rate float64) (restore func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byteRate[node] = rate
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.byteRate, node)
	}
}

// setNodeDelay delays datagrams to a node by so many ms.
func (r *relay) setNodeDelay(node int, ms float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodeDelay[node] = ms
}

// setFault sets the strength of a fault between all nodes. restore sets it to 0.
func (r *relay) setFault(strength *float64, to float64) (restore func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*strength = to
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		*strength = 0
	}
}

// replay sends earlier datagrams of a node again, each to a random node.
func (r *relay) replay(from int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.recent[from] {
		to := r.random.IntN(len(r.sockets))
		if to != from {
			r.send(from, to, b)
		}
	}
}

// sendForged sends a node datagrams from an address that no node has: of an unknown member, of another fleet, and malformed
// ones.
func (r *relay) sendForged(to int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sockets[len(r.sockets)-1]
	address := netip.MustParseAddrPort(r.cluster.block.gossipAddr(to))
	for i := range 50 {
		p := &codec.Packet{
			Message:   codec.NewMessage(codec.Kind(1 + r.random.IntN(12))),
			Seq:       r.random.Uint64(),
			From:      codec.Identity{Name: "stranger", InstanceID: r.random.Uint64(), Incarnation: r.random.Uint64()},
			Recipient: r.cluster.nodeName(to),
		}
		tag := codec.FleetTag(fleetName)
		if i%3 == 0 {
			tag = codec.FleetTag("another")
		}
		b, err := codec.EncodeDatagram(tag, p)
		if err != nil || i%5 == 0 {
			b = make([]byte, 8)
			binary.LittleEndian.PutUint64(b, r.random.Uint64())
		}
		s.WriteToUDPAddrPort(b, address)
	}
}

// close stops the relay and discards delayed datagrams.
func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	for t := range r.timers {
		t.Stop()
	}
	r.mu.Unlock()
	for _, s := range r.sockets {
		s.Close()
	}
	r.work.Wait()
}
