// Package loopback reserves loopback addresses for test harnesses, so that parallel runs on one machine do not collide, and opens and
// resets connections between them.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// lockPort is the port on which the holder of a block listens. It is below the range of ephemeral ports.
const lockPort = 7000

// Block is a /24 network of loopback that is reserved by a listener in it: no other run on the machine that reserves blocks uses it.
// Its holder may assign all ports in it except lockPort at host 1, so it need not guess free ports.
type Block struct {
	First, Second int // its network is 127.First.Second
	lock          net.Listener
}

// Range of the blocks: 60 first numbers from 64, with 250 second numbers from 1 each.
const (
	firstBase      = 64
	firstNumbers   = 60
	secondBase     = 1
	secondNumbers  = 250
	pidStride      = 7   // spreads the first candidates of processes
	reserveStride  = 251 // spreads the first candidates of one process
	candidateCount = firstNumbers * secondNumbers
)

// reservations counts the calls of Reserve in this process.
var reservations atomic.Int64

// Reserve reserves a block. Candidates are tried in order, from one that depends on the process id and the number of the call.
func Reserve() (*Block, error) {
	first := os.Getpid()*pidStride + int(reservations.Add(1))*reserveStride
	for i := range candidateCount {
		n := (first + i) % candidateCount
		b := &Block{First: firstBase + n/secondNumbers, Second: secondBase + n%secondNumbers}
		ln, err := net.Listen("tcp", b.Addr(1, lockPort))
		if err == nil {
			b.lock = ln
			return b, nil
		}
	}
	return nil, errors.New("no block of loopback addresses is free")
}

// Release releases the block.
func (b *Block) Release() { b.lock.Close() }

// Addr returns the address of a host, given by the last number of its IP address, and a port in the block.
func (b *Block) Addr(host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.First, b.Second, host, port)
}
