package proving

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// block is a /24 of loopback that no other run of this harness on the machine uses: it is held by a listener. All ports in
// it are the harness's to give out, so that none is guessed.
type block struct {
	a, b int
	lock net.Listener
}

var blocks atomic.Int64

// reserve takes a block.
func reserve() (*block, error) {
	at := os.Getpid()*7 + int(blocks.Add(1))*251
	for i := range 60 * 250 {
		n := (at + i) % (60 * 250)
		b := &block{a: 64 + n/250, b: 1 + n%250}
		ln, err := net.Listen("tcp", b.addr(1, lockPort))
		if err == nil {
			b.lock = ln
			return b, nil
		}
	}
	return nil, errors.New("no block of loopback addresses is free")
}

func (b *block) release() { b.lock.Close() }

func (b *block) addr(host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.a, b.b, host, port)
}

// Ports of the harness. They lie below those that the machine gives out by itself.
const (
	lockPort    = 7000
	clientsPort = 7001
	controlPort = 7002
	gossipPort  = 7946
	discoPort   = 7100
	workerPort  = 7200
)

// A node's own address, and that of its relay, by its number; a twin has one beyond all.
func (b *block) clients(i int) string { return b.addr(10+i, clientsPort) }

// control is a process's own: two of one node run side by side while one replaces the other.
func (b *block) control(i, life int) string { return b.addr(10+i, controlPort+life%50) }
func (b *block) gossip(i int) string        { return b.addr(10+i, gossipPort) }
func (b *block) relay(i int) string         { return b.addr(100+i, gossipPort) }
func (b *block) disco(i int) string         { return b.addr(100+i, discoPort) }
func (b *block) worker(i, w int) string {
	return b.addr(100+i, workerPort+w)
}

// wide is how long something may take that only a real failure makes late.
const wide = 60 * time.Second
