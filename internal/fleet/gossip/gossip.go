// Package gossip carries a node's view of its fleet over datagrams: it is the shell round the core in package member.
// One goroutine owns the core; another one reads the socket.
package gossip

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/fleet/member"
	"swiftdeal/internal/fleet/wire"
	"swiftdeal/internal/platform"
)

// Own is what the node says of itself. It is asked for once a period and must not wait.
type Own struct {
	State  wire.State
	Digest wire.Digest
	Facts  []wire.Fact
}

// Options is what a Service is started with.
type Options struct {
	Fleet    *config.Fleet
	Name     string // of the node, where the fleet's file gives the member none
	Clients  string // where it takes clients
	Control  string
	Program  string // version
	Replaces bool   // it has taken the place of another process of the node
	Own      func() Own
	Heard    func([]member.Told) // facts that others tell; nil: they are not used. Called by the owner of the view.
	BindWait time.Duration       // for an address that another process still holds
	// Part makes the part that shares the socket; nil: there is none. life is the view's.
	Part func(life uint64, now time.Duration) Part
}

// inboxSize is how many datagrams wait to be read by the owner of the view; more are dropped, as by a socket.
const inboxSize = 256

// toldEvery is how often at most the log says what was dropped.
const toldEvery = time.Minute

// Service is a node's part in its fleet.
type Service struct {
	o     Options
	m     platform.Machine
	log   *slog.Logger
	mark  uint32
	start time.Time

	calls chan func()
	stop  chan struct{}
	once  sync.Once
	work  sync.WaitGroup

	core *member.Core // its goroutine's own
	part Part         // so too; nil: none
	sock net.PacketConn

	sent, received tally
	dropped        [len(reasons)]atomic.Int64
	toldAt         time.Time
	told           int64
}

// reasons for which datagrams are dropped.
var reasons = [...]string{"malformed", "version", "fleet", "damaged", "size", "address", "full", "unsent"}

const (
	dropForm = iota
	dropVersion
	dropFleet
	dropDamaged
	dropSize
	dropAddress
	dropFull
	dropUnsent
)

type datagram struct {
	from string
	p    *wire.Packet
}

// New returns a service that has opened nothing yet.
func New(m platform.Machine, o Options, log *slog.Logger) *Service {
	if o.Fleet.Member != "" {
		o.Name = o.Fleet.Member
	}
	return &Service{o: o, m: m, log: log.With("part", "fleet"), mark: wire.Mark(o.Fleet.Name), start: time.Now(), calls: make(chan func()), stop: make(chan struct{})}
}

// Start opens the socket and takes part in the fleet, until Leave or Close. An address that another process holds is
// waited for in the background: it is the process that this one replaces.
func (s *Service) Start() error {
	sock, err := s.m.Datagrams(s.o.Fleet.Listen)
	if err != nil && (!s.o.Replaces || s.o.BindWait == 0) {
		return err
	}
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		for end := time.Now().Add(s.o.BindWait); err != nil; sock, err = s.m.Datagrams(s.o.Fleet.Listen) {
			if !time.Now().Before(end) {
				s.log.Error("takes no part in the fleet", "error", err)
				return
			}
			timer := time.NewTimer(20 * time.Millisecond)
			select {
			case <-timer.C:
			case <-s.stop:
				timer.Stop()
				return
			}
		}
		s.run(sock)
	}()
	return nil
}

// now is the core's clock: it only goes forward, whatever the machine's clock is set to.
func (s *Service) now() time.Duration { return time.Since(s.start) }

// run owns the core.
func (s *Service) run(sock net.PacketConn) {
	f := s.o.Fleet
	s.sock = sock
	inbox := make(chan datagram, inboxSize)
	s.work.Add(1)
	go s.read(sock, inbox)
	defer sock.Close()
	rnd := rand.New(rand.NewPCG(s.m.Random(), s.m.Random()))
	s.core = member.New(member.Config{
		Self: wire.Record{Ident: wire.Ident{Name: s.o.Name}, Site: f.Site, Addr: f.Advertise, Clients: s.o.Clients, Control: s.o.Control,
			Program: s.o.Program, Replaces: s.o.Replaces},
		Life: s.m.Random(), Seeds: f.Seeds, Period: f.Period, Most: f.Most, Forget: f.Forget,
	}, rnd, s.now())
	if s.o.Part != nil {
		s.part = s.o.Part(s.core.Self().Life, s.now())
	}
	if s.part != nil {
		defer s.part.Close()
	}
	s.log.Info("takes part", "fleet", f.Name, "member", s.o.Name, "site", f.Site, "address", f.Advertise, "life", s.core.Self().Life)
	var asked time.Duration = -f.Period
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if s.m.Rest != nil {
			s.m.Rest()
		}
		if now := s.now(); now-asked >= f.Period {
			asked = now
			s.own()
		}
		s.core.Step(s.now())
		wake := min(s.core.Wake(), asked+f.Period)
		if s.part != nil {
			s.post(s.part.Step(s.now(), s.core))
			wake = min(wake, s.part.Wake())
		}
		s.flush()
		timer.Reset(wake - s.now())
		select {
		case d := <-inbox:
			s.core.Take(s.now(), d.from, d.p)
			if s.part != nil && d.p.Kind >= wire.Council && d.p.To == s.o.Name && s.core.Knows(d.from, d.p.From) {
				s.part.Take(s.now(), d.p.From.Name, d.p.Kind, d.p.Body)
			}
		case call := <-s.calls:
			call()
		case <-timer.C:
		case <-s.stop:
			s.flush()
			return
		}
	}
}

// own asks the node what it says of itself.
func (s *Service) own() {
	o := s.o.Own()
	s.core.Set(s.now(), o.State, o.Digest, o.Facts)
}

// flush lets what the core has done take effect.
func (s *Service) flush() {
	for _, d := range s.core.Out() {
		s.send(d)
	}
	for _, c := range s.core.Changes() {
		level := slog.LevelInfo
		if c.What == "state" || c.What == "suspected" || c.What == "refuted" {
			level = slog.LevelDebug
		}
		if c.What == "conflict" || c.What == "displaced" || c.What == "woke" {
			level = slog.LevelWarn
		}
		s.log.Log(context.Background(), level, "fleet", "member", c.Name, "what", c.What, "why", c.Why, "by", c.By, "incarnation", c.Inc, "life", c.Life)
	}
	if told := s.core.Told(); len(told) > 0 && s.o.Heard != nil {
		s.o.Heard(told)
	}
	if n := s.drops(); n > s.told && time.Since(s.toldAt) >= toldEvery {
		list := []any{}
		for i, r := range reasons {
			if v := s.dropped[i].Load(); v > 0 {
				list = append(list, r, v)
			}
		}
		s.log.Warn("datagrams dropped since the start", list...)
		s.told, s.toldAt = n, time.Now()
	}
}

// send sends one datagram.
func (s *Service) send(d member.Send) {
	b, err := wire.Encode(s.mark, d.Packet)
	if err != nil {
		s.drop(dropUnsent)
		s.log.Error("a datagram cannot be worded", "kind", d.Packet.Kind, "error", err)
		return
	}
	to, err := net.ResolveUDPAddr("udp4", d.To) // an IP and a port: nothing is looked up
	if err == nil {
		_, err = s.sock.WriteTo(b, to)
	}
	if err != nil {
		s.drop(dropUnsent) // as if it had been lost on the way
		return
	}
	s.sent.add(d.Packet.Kind, len(b))
}

func (s *Service) drop(reason int) { s.dropped[reason].Add(1) }

func (s *Service) drops() (n int64) {
	for i := range s.dropped {
		n += s.dropped[i].Load()
	}
	return n
}

// read passes what comes on to the owner of the core.
func (s *Service) read(sock net.PacketConn, inbox chan<- datagram) {
	defer s.work.Done()
	b := make([]byte, wire.MostBytes+1)
	for {
		n, from, err := sock.ReadFrom(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an earlier datagram was refused: nobody is at its address
		}
		addr, err := netip.ParseAddrPort(from.String())
		if err != nil || !s.allowed(addr.Addr()) {
			s.received.add(0, n)
			s.drop(dropAddress)
			continue
		}
		p, err := wire.Decode(s.mark, b[:n])
		if err != nil {
			s.received.add(0, n)
			s.drop(reasonOf(err))
			continue
		}
		s.received.add(p.Kind, n)
		select {
		case inbox <- datagram{addr.String(), p}:
		default:
			s.drop(dropFull)
		}
	}
}

func reasonOf(err error) int {
	for i, e := range []error{wire.ErrForm, wire.ErrVersion, wire.ErrFleet, wire.ErrDamaged, wire.ErrSize} {
		if errors.Is(err, e) {
			return i
		}
	}
	return dropForm
}

func (s *Service) allowed(a netip.Addr) bool {
	if len(s.o.Fleet.Allow) == 0 {
		return true
	}
	for _, p := range s.o.Fleet.Allow {
		if p.Contains(a.Unmap()) {
			return true
		}
	}
	return false
}

// ask has the owner of the core do something, and waits for that. It reports whether it was done: not where the service
// has ended, or waits for its address.
func (s *Service) ask(do func()) bool {
	done := make(chan struct{})
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	select {
	case s.calls <- func() { do(); close(done) }:
		<-done
		return true
	case <-s.stop:
	case <-timer.C:
	}
	return false
}

// Stir has the node asked what it says of itself at once: its state has changed.
func (s *Service) Stir() {
	if s != nil {
		go s.ask(s.own)
	}
}

// Leave says to the fleet that this node ends, and ends the service.
func (s *Service) Leave() {
	if s == nil {
		return
	}
	s.ask(func() { s.core.Leave(s.now()); s.flush() })
	s.Close()
}

// Close ends the service without a word: to the others the node has crashed, unless another process takes its place.
func (s *Service) Close() {
	if s == nil {
		return
	}
	s.once.Do(func() { close(s.stop) })
	s.work.Wait()
}
