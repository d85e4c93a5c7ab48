package socketreader

import (
	"time"

	"golang.org/x/sys/unix"
)

// TCP states in which data may have been received (include/net/tcp_states.h).
const (
	tcpEstablished = 1
	tcpCloseWait   = 8
)

// arrivalPrecision is added to times that the system gives in ms, measured by a clock with ticks of up to 10 ms.
const arrivalPrecision = 10 * time.Millisecond

// UnreadFor returns how long ago the latest data in the receive buffer was received, at most: 0 if the buffer is empty. known is false
// if the system cannot tell. The caller must hold the owner's lock.
func (r *Reader) UnreadFor() (age time.Duration, known bool) {
	if r.Silent() {
		return 0, true
	}
	err := r.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && (info.State == tcpEstablished || info.State == tcpCloseWait) {
			age, known = time.Duration(info.Last_data_recv)*time.Millisecond+arrivalPrecision, true
		}
	})
	return age, known && err == nil
}
