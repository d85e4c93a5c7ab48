package transport

import (
	"net"
	"sync"

	"swiftdeal/internal/socketreader"
)

// connCheck reads a connection to a worker and tracks whether any data has been received since the last answer.
type connCheck struct {
	reader   socketreader.Reader
	readHook func() // for tests: called after each read, before the data is returned

	sync.Mutex
	received bool // data was received since the last answer
}

// newConnCheck returns nil for a connection that is not a socket.
func newConnCheck(raw net.Conn, readHook func()) *connCheck {
	check := &connCheck{readHook: readHook}
	if !check.reader.Open(raw, check) {
		return nil
	}
	return check
}

// OnRead implements socketreader.Owner.
func (k *connCheck) OnRead([]byte) { k.received = true }

// Read implements io.Reader.
func (k *connCheck) Read(p []byte) (int, error) {
	n, err := k.reader.Read(p)
	if k.readHook != nil {
		k.readHook()
	}
	return n, err
}

// reset marks the current answer as completely read: any data received from now on is unsolicited.
func (k *connCheck) reset() {
	if k == nil {
		return
	}
	k.Lock()
	defer k.Unlock()
	k.received = false
}

// silent reports whether no data and no close have been received since the last answer, including data still in the
// socket's buffer. The reader goroutine may lag behind: without this check it could take data that arrived before a
// request was written for the answer to that request.
func (k *connCheck) silent() bool {
	if k == nil {
		return true
	}
	k.Lock()
	defer k.Unlock()
	return !k.received && k.reader.Silent()
}
