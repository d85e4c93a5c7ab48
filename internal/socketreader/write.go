package socketreader

import "syscall"

// TryWrite writes to the connection as much as the system takes at once. It does not wait for a write in progress, which must not be
// one that p could come within.
func (r *Reader) TryWrite(p []byte) (written int) {
	r.raw.Control(func(fd uintptr) {
		n, err := syscall.Write(int(fd), p)
		for err == syscall.EINTR {
			n, err = syscall.Write(int(fd), p)
		}
		written = max(n, 0)
	})
	return written
}
