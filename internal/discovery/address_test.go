package discovery

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"swiftdeal/balance"
)

// scriptedServer is a fake discovery whose answer to each call is written by the test.
type scriptedServer struct{ net.Listener }

// nextCall accepts the next call.
func (s scriptedServer) nextCall(t *testing.T) net.Conn {
	t.Helper()
	s.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second)) // only a real failure reaches it
	c, err := s.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	return c
}

// A reload of the configuration with the same address starts a new watch while the active one continues: its messages are
// delivered, however long the new watch waits for an answer, and no further watch is started while one is pending.
func TestWatchAgainAtTheSameAddress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := scriptedServer{ln}
	c, e := newClient(ln.Addr().String(), time.Minute)
	defer c.Close()
	c.Watch()
	first := s.nextCall(t)
	fmt.Fprint(first, chunks(`{"version":42,"full":true,"servers":[]}`))
	if got := <-e; got.kind != balance.FullUpdate {
		t.Fatalf("%+v", got)
	}
	for range 4 {
		c.SetAddresses([]string{ln.Addr().String()})
		c.Watch()
	}
	second := s.nextCall(t)
	fmt.Fprint(first, "28\r\n", `{"version":43,"full":false,"servers":[]}`, "\r\n")
	select {
	case got := <-e:
		if got.kind != balance.DeltaUpdate || got.group.Version != 43 {
			t.Errorf("%+v", got)
		}
	case <-time.After(20 * time.Second): // only a real failure reaches it
		t.Fatal("a message of the active watch was not delivered")
	}
	fmt.Fprint(second, chunks(`{"version":44,"full":false,"servers":[]}`))
	if got := <-e; got.group.Version != 44 {
		t.Errorf("%+v", got)
	}
	if _, err := first.Read(make([]byte, 1)); err == nil { // replaced by the second watch
		t.Error("the first watch was not closed")
	}
	second.Close()
	if got := <-e; got.kind != balance.FailedUpdate {
		t.Errorf("%+v", got)
	}
}

// Guards against a start after which nothing is heard from discovery, because the first address that the process was given is out
// of date. The address that has answered is called first from then on, and a call that no address answers fails once.
func TestNextAddressWhereNobodyAnswers(t *testing.T) {
	busy, busyCalled := serveOnce(t, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", false)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	live := scriptedServer{ln}
	c, e := newClient(busy, time.Minute)
	defer c.Close()
	c.SetAddresses([]string{busy, "127.0.0.1:1", ln.Addr().String()})
	c.Watch()
	<-busyCalled
	watch := live.nextCall(t)
	fmt.Fprint(watch, chunks(`{"version":42,"full":true,"servers":[]}`))
	if got := <-e; got.kind != balance.FullUpdate || got.group.Version != 42 {
		t.Fatalf("%+v", got)
	}
	watch.Close()
	if got := <-e; got.kind != balance.FailedUpdate {
		t.Errorf("%+v", got)
	}
	c.SetAddresses([]string{ln.Addr().String(), busy}) // a reload: the calls in progress continue
	c.Watch()
	fmt.Fprint(live.nextCall(t), chunks(`{"version":43,"full":false,"servers":[]}`))
	if got := <-e; got.group.Version != 43 {
		t.Errorf("%+v", got)
	}
	c, e = newClient("127.0.0.1:1", time.Minute)
	c.SetAddresses([]string{"127.0.0.1:1", "127.0.0.1:2"})
	c.Watch()
	if got := <-e; got.kind != balance.FailedUpdate || len(e) != 0 {
		t.Errorf("%+v and %d more", got, len(e))
	}
}
