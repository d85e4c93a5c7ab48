package scale

import (
	"net"
	"sync/atomic"
)

// partition says which region is cut off from the others.
type partition struct {
	plan      *Plan
	addresses addressBlock
	region    atomic.Int64 // -1: none
	dropped   atomic.Int64
}

// between reports whether datagrams between a region and an address are dropped.
func (k *partition) between(own int, addr net.Addr) bool {
	r := int(k.region.Load())
	if r < 0 {
		return false
	}
	i := k.addresses.at(addr.String())
	if i < 0 || i >= k.plan.Members {
		return false
	}
	if (own == r) == (k.plan.region(i) == r) {
		return false
	}
	k.dropped.Add(1)
	return true
}

// filter is a socket whose datagrams a cut drops, both ways.
type filter struct {
	net.PacketConn
	cut    *partition
	member int
}

// WriteTo implements net.PacketConn.
func (f *filter) WriteTo(p []byte, to net.Addr) (int, error) {
	if f.cut.between(f.member, to) {
		return len(p), nil // lost on the way
	}
	return f.PacketConn.WriteTo(p, to)
}

// ReadFrom implements net.PacketConn.
func (f *filter) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := f.PacketConn.ReadFrom(p)
		if err != nil || !f.cut.between(f.member, from) {
			return n, from, err
		}
	}
}
