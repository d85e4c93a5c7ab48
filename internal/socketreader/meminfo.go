package socketreader

import (
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Fields of what SO_MEMINFO tells (include/uapi/linux/sock_diag.h).
const (
	memInfoReceived = 0
	memInfoDrops    = 8
	memInfoFields   = 9
)

// ReceiveMemory is what the system tells of the memory for received packets.
type ReceiveMemory struct {
	HeldBytes uint32 // of packets that have not been read; if no data is unread, of those that came after a lost one
	Drops     uint32 // packets that were dropped so far, for want of room, for one. The peer's system sends their data again
}

// ReceiveMemory returns the state of the memory for received packets. known is false if the system cannot tell.
func (r *Reader) ReceiveMemory() (state ReceiveMemory, known bool) {
	var fields [memInfoFields]uint32
	size := uint32(unsafe.Sizeof(fields))
	err := r.raw.Control(func(fd uintptr) {
		_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, fd, unix.SOL_SOCKET, unix.SO_MEMINFO,
			uintptr(unsafe.Pointer(&fields)), uintptr(unsafe.Pointer(&size)), 0)
		known = errno == 0 && uintptr(size) == unsafe.Sizeof(fields)
	})
	return ReceiveMemory{fields[memInfoReceived], fields[memInfoDrops]}, known && err == nil
}

// Path is what the system has measured of the way to the peer.
type Path struct {
	RoundTrip     time.Duration // of a packet and its acknowledgement
	Window        int           // bytes that the peer may send that have not been received, as it was last told
	LargestPacket int           // bytes of data in one packet from the peer, as far as seen
}

// windowTold is set once the system has told a window. Those before Linux 6.2 do not.
var windowTold atomic.Bool

// Path returns what the system has measured of the way to the peer. known is false if it cannot tell.
func (r *Reader) Path() (path Path, known bool) {
	err := r.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		if info.Rcv_wnd > 0 {
			windowTold.Store(true)
		}
		path = Path{time.Duration(info.Rtt) * time.Microsecond, int(info.Rcv_wnd), int(info.Rcv_mss)}
		known = windowTold.Load()
	})
	return path, known && err == nil
}
