package handover

import (
	"bytes"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
)

// Whatever happens on the links, just one process takes clients, or the one that is left takes them again.
func TestTurn(t *testing.T) {
	var s Turn
	if !s.Hello(1) || s.Hello(2) || s.Take(2) || s.Yielded() {
		t.Error("a second process at it")
	}
	if s.Lost(2) || s.Lost(1) || !s.Hello(3) {
		t.Error("one that goes before it has taken over changes nothing")
	}
	if !s.Take(3) || s.Take(3) || !s.Yielded() || s.Hello(4) {
		t.Error("it takes over, once")
	}
	if !s.Lost(3) || s.Yielded() {
		t.Error("it is gone: clients come back")
	}
	if !s.Hello(5) || s.End() || !s.Take(5) || s.Lost(5) {
		t.Error("a process that ends takes none back")
	}
}

func pair(t *testing.T, dir string) (old, young Link, h Heirs) {
	h, err := Listen(dir, "127.0.0.1:1", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.Close() })
	if _, err := Find(dir, "127.0.0.1:1", time.Second); err == nil {
		t.Error("found before it is open")
	}
	if err := h.Open(); err != nil {
		t.Fatal(err)
	}
	if young, err = Find(dir, "127.0.0.1:1", time.Second); err != nil {
		t.Fatal(err)
	}
	if old, err = h.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { old.Close(); young.Close() })
	return old, young, h
}

// A listening socket and connections pass from one process to the other with the messages that they belong to.
func TestUnix(t *testing.T) {
	old, young, _ := pair(t, t.TempDir())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	held, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	g := config.Group{Version: 7, Peers: []config.Peer{{Addr: "127.0.0.1:2", Worker: balance.Worker{ID: strings.Repeat("p", 90000), State: balance.Ready}}}}
	over := make(chan error, 1)
	go func() {
		m, _, err := old.Receive(time.Second)
		if err == nil && (m.Kind != Hello || m.Version != Version || m.Listen != "here") {
			t.Errorf("%+v", m)
		}
		old.Send(Message{Kind: Welcome, Version: Version, Group: &g}, ln)
		old.Send(Message{Kind: Job, Work: &Work{}}, held, held)
		held.Close()
		over <- old.Close()
	}()
	prior, got, err := Ask(young, "here", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if prior.Group.Version != 7 || len(prior.Group.Peers[0].ID) != 90000 || got.Addr().String() != ln.Addr().String() {
		t.Errorf("%+v", prior.Group.Version)
	}
	got.Close()
	m, both, err := young.Receive(time.Second)
	if err != nil || m.Kind != Job || len(both) != 2 {
		t.Fatal(m, both, err)
	}
	c := both[0]
	both[1].(net.Conn).Close()
	if err := <-over; err != nil {
		t.Fatal(err)
	}
	go func() { io.WriteString(c.(net.Conn), "word"); c.(net.Conn).Close() }()
	if text, err := io.ReadAll(client); err != nil || string(text) != "word" {
		t.Errorf("%q %v", text, err)
	}
	if _, _, err := young.Receive(0); err == nil {
		t.Error("the link has ended")
	}
}

// A process of another version hands nothing over.
func TestAskRefused(t *testing.T) {
	for _, m := range []Message{{Kind: Refused, Reason: "busy"}, {Kind: Welcome, Version: Version + 1, Group: &config.Group{}}, {Kind: Welcome, Version: Version, Group: &config.Group{}}, {Kind: Taken}} {
		old, young, _ := pair(t, t.TempDir())
		go old.Send(m)
		if p, _, err := Ask(young, "x", time.Second); err == nil {
			t.Errorf("%+v gives %+v", m, p)
		}
	}
	old, young, _ := pair(t, t.TempDir()) // one that hangs
	_ = old
	if _, _, err := Ask(young, "x", time.Millisecond); err == nil {
		t.Error("nobody answered")
	}
}

// What stands in the way in $TMPDIR is found out and named: no folder, a stranger's, a path too long, a socket that
// nobody listens at any more, one that a later process has replaced.
func TestFolder(t *testing.T) {
	dir := t.TempDir()
	for _, bad := range []string{"", filepath.Join(dir, "none"), filepath.Join(dir, strings.Repeat("x", 100))} {
		if _, err := Listen(bad, "a:1", time.Second); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
	open, err := folder(dir, "a:1")
	if err != nil {
		t.Fatal(err)
	}
	os.Chmod(open, 0o755)
	if _, err := Find(dir, "a:1", time.Second); err == nil || !strings.Contains(err.Error(), "private") {
		t.Errorf("a folder that others may enter: %v", err)
	}
	os.Remove(open)
	os.Symlink(dir, open)
	if _, err := Listen(dir, "a:1", time.Second); err == nil {
		t.Error("a link is taken for a folder")
	}
	os.Remove(open)
	open, _ = folder(dir, "a:1")
	os.WriteFile(filepath.Join(open, "node"), []byte("no socket"), 0o600)
	if _, err := Find(dir, "a:1", time.Second); err == nil {
		t.Error("a file is taken for a socket")
	}
	first, err := Listen(dir, "a:1", time.Second)
	if err != nil || first.Open() != nil {
		t.Fatal(err)
	}
	first.(*unixHeirs).ln.Close() // killed
	if _, err := Find(dir, "a:1", time.Second); err == nil {
		t.Error("nobody listens there")
	}
	os.Rename(filepath.Join(open, "node"), filepath.Join(open, "old"))
	second, err := Listen(dir, "a:1", time.Second)
	if err != nil || second.Open() != nil {
		t.Fatal(err)
	}
	first.Close()
	if l, err := Find(dir, "a:1", time.Second); err != nil {
		t.Errorf("the first one's end took the second one's socket away: %v", err)
	} else {
		l.Close()
	}
	second.Close()
	if _, err := os.Lstat(filepath.Join(open, "node")); err == nil {
		t.Error("the socket is left behind")
	}
}

// FuzzDecode reads messages that are cut and garbled: none crashes the reader or gives a group that discovery could not
// tell.
func FuzzDecode(f *testing.F) {
	know := balance.Knowledge{Workers: []balance.Known{{ID: "p"}}}
	for _, m := range []Message{{Kind: Hello, Version: 1}, {Kind: Taken, Know: &know}, {Kind: Welcome, Group: &config.Group{Peers: []config.Peer{{Addr: "a:1", Worker: balance.Worker{ID: "p", State: balance.Ready}}}}}} {
		b, err := encode(m, 1)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)-1])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, n, err := decode(bytes.NewReader(b))
		if err == nil && (n > 1 || m.Group != nil && m.Group.Check() != nil) {
			t.Errorf("%q gives %+v", b, m)
		}
		if err == nil && m.Know != nil {
			s := balance.Settings{Classes: []balance.Class{{Deadline: 1}}}
			l, _ := balance.New(s, 1, nothing{})
			l.Members(0, balance.ListFull, []balance.Worker{{ID: "p", State: balance.Ready}})
			l.Learn(time.Hour, *m.Know)
			l.Accept(time.Hour, balance.Request{ID: "r", Patience: time.Hour})
		}
	})
}

// nothing does none of what a balancer asks for.
type nothing struct{}

func (nothing) Send(string, string)          {}
func (nothing) Refuse(string, time.Duration) {}
func (nothing) Fail(string)                  {}
func (nothing) Cancel(string, int)           {}
func (nothing) Probe(string)                 {}
func (nothing) Watch()                       {}
func (nothing) Fetch()                       {}
func (nothing) After(time.Duration, string)  {}
