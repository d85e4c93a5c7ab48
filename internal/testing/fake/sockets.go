package fake

import (
	"net"
	"sync"
	"time"
)

// Sockets hosts fakes on loopback, in real time. Calls into fakes are serialized by its lock.
type Sockets struct {
	mu         sync.Mutex
	open       map[net.Conn]bool
	listeners  []net.Listener
	closed     bool
	background sync.WaitGroup
}

// NewSockets returns a host without connections.
func NewSockets() *Sockets { return &Sockets{open: map[net.Conn]bool{}} }

// Do calls f under the host's lock, so that no fake is called meanwhile.
func (s *Sockets) Do(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// Now implements Clock.
func (s *Sockets) Now() time.Time { return time.Now() }

// After implements Clock.
func (s *Sockets) After(d time.Duration, f func()) func() {
	t := time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.closed {
			f()
		}
	})
	return func() { t.Stop() }
}

// Listen accepts connections for a fake at a new address on loopback.
func (s *Sockets) Listen(open func(Conn) Handler) (addr string, err error) {
	return s.ListenAt("127.0.0.1:0", open)
}

// ListenAt accepts connections for a fake at the given address.
func (s *Sockets) ListenAt(listenAddr string, open func(Conn) Handler) (addr string, err error) {
	ln, err := net.Listen("tcp", listenAddr)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, ln)
	s.background.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.Do(func() {
				sc := s.register(c)
				if h := open(sc); h == nil {
					sc.Reset()
				} else {
					s.read(sc, h)
				}
			})
		}
	})
	return ln.Addr().String(), nil
}

// Dial opens a connection for a fake; h.Opened is called when it is up, h.Closed if it fails.
func (s *Sockets) Dial(addr string, h Opener) {
	s.background.Go(func() {
		c, err := net.DialTimeout("tcp", addr, 5*time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil || s.closed {
			if c != nil {
				c.Close()
			}
			h.Closed(true)
			return
		}
		sc := s.register(c)
		s.read(sc, h)
		h.Opened(sc)
	})
}

// Close closes all listeners and connections and waits for their goroutines.
func (s *Sockets) Close() {
	s.mu.Lock()
	s.closed = true
	for _, ln := range s.listeners {
		ln.Close()
	}
	for c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	s.background.Wait()
}

// socket is a fake's end of a real connection. A goroutine does the writes, so that a fake never blocks.
type socket struct {
	sockets *Sockets
	conn    net.Conn
	out     []byte
	closing bool
	changed *sync.Cond
}

// register adds a connection and starts its writer; s.mu is held.
func (s *Sockets) register(c net.Conn) *socket {
	sc := &socket{sockets: s, conn: c, changed: sync.NewCond(&s.mu)}
	s.open[c] = true
	s.background.Go(sc.write)
	return sc
}

// write sends the data that the fake has queued, until the connection ends.
func (k *socket) write() {
	k.sockets.mu.Lock()
	defer k.sockets.mu.Unlock()
	for {
		for len(k.out) == 0 && !k.closing && k.sockets.open[k.conn] {
			k.changed.Wait()
		}
		if p := k.out; len(p) > 0 && k.sockets.open[k.conn] {
			k.out = nil
			k.sockets.mu.Unlock()
			_, err := k.conn.Write(p)
			k.sockets.mu.Lock()
			if err == nil {
				continue
			}
		}
		k.conn.Close()
		delete(k.sockets.open, k.conn)
		return
	}
}

// read passes received data to the fake, until the connection ends.
func (s *Sockets) read(k *socket, h Handler) {
	s.background.Go(func() {
		buf := make([]byte, 32<<10)
		for {
			n, err := k.conn.Read(buf)
			s.mu.Lock()
			if n > 0 && !s.closed {
				h.Data(buf[:n])
			}
			if err != nil {
				delete(s.open, k.conn)
				k.conn.Close()
				k.changed.Broadcast()
				if !s.closed {
					h.Closed(true)
				}
				s.mu.Unlock()
				return
			}
			s.mu.Unlock()
		}
	})
}

// Write implements Conn.
func (k *socket) Write(p []byte, _ *Mark) {
	k.out = append(k.out, p...)
	k.changed.Broadcast()
}

// Close implements Conn.
func (k *socket) Close() {
	k.closing = true
	k.changed.Broadcast()
}

// Reset implements Conn.
func (k *socket) Reset() {
	if t, ok := k.conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	k.conn.Close()
	delete(k.sockets.open, k.conn)
	k.changed.Broadcast()
}

// FreeAddr returns an address on loopback on which nothing listens.
func (s *Sockets) FreeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
