// Package platform abstracts what a node needs from its machine beyond the standard library's clocks and timers: network
// connections, and the order in which simultaneous events are handled. In production the node always runs on Real; a
// simulation provides a Machine of its own, so that the node's code is the same in both.
package platform

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"
)

// Dial opens a TCP connection to an address (host:port). It fails after the timeout or when ctx ends. purpose describes
// the use of the connection for traces and has no effect on the network.
type Dial func(ctx context.Context, addr string, timeout time.Duration, purpose string) (net.Conn, error)

// Machine is the machine that a node runs on. Its functions are safe for concurrent use.
type Machine struct {
	Dial  Dial
	Order EventOrder // nil: events are handled in order of arrival
	// ListenPacket opens a UDP socket at an address (IP and port).
	ListenPacket func(addr string) (net.PacketConn, error)
	// Settle returns once everything else that happens at the current instant has happened; nil: no waiting. A goroutine
	// that reads data written by others calls it, so that a simulation produces the same trace in each run.
	Settle func()
	// Monotonic reads a clock that is shared by all processes of the machine and not affected by wall clock changes.
	Monotonic func() time.Duration
	// Random returns a random number that differs between processes.
	Random func() uint64
	// SetMemoryLimit sets the soft memory limit of the Go runtime, above which it collects garbage more aggressively;
	// nil: no limit is set.
	SetMemoryLimit func(bytes int64)
}

// Real returns the machine that the process runs on.
func Real() Machine {
	return Machine{
		Dial:           dialTCP,
		ListenPacket:   func(addr string) (net.PacketConn, error) { return net.ListenPacket("udp4", addr) },
		Monotonic:      monotonic,
		Random:         random,
		SetMemoryLimit: setMemoryLimit,
	}
}

// dialTCP opens connections without TCP keep-alive probes: the code that uses a connection limits how long it may be
// silent.
func dialTCP(ctx context.Context, addr string, timeout time.Duration, _ string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

func monotonic() time.Duration {
	var now unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) // it never fails for this clock
	return time.Duration(now.Nano())
}

func random() uint64 {
	var bytes [8]byte
	rand.Read(bytes[:]) // it never fails
	return binary.LittleEndian.Uint64(bytes[:])
}

func setMemoryLimit(bytes int64) {
	previous := debug.SetMemoryLimit(bytes)
	if previous > bytes {
		debug.FreeOSMemory() // the limit was lowered because another process needs the memory
	}
}
