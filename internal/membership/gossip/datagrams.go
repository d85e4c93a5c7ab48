package gossip

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"swiftdeal/internal/membership"
	"swiftdeal/internal/membership/codec"
)

// inboxSize is the number of received datagrams that are queued for the owner goroutine. Further ones are dropped, like
// those that overflow a socket's receive buffer.
const inboxSize = 256

// dropLogInterval is the minimum interval between two log messages about dropped datagrams.
const dropLogInterval = time.Minute

// datagram is a received and decoded datagram.
type datagram struct {
	from   string
	packet *codec.Packet
}

// dropReason is the reason for which a datagram was dropped.
type dropReason int

const (
	dropMalformed dropReason = iota
	dropVersion
	dropFleet
	dropDamaged
	dropTooLarge
	dropAddress
	dropInboxFull
	dropNotSent
	numDropReasons
)

// dropReasons are label values of metrics and must not change.
var dropReasons = [numDropReasons]string{
	dropMalformed: "malformed",
	dropVersion:   "version",
	dropFleet:     "fleet",
	dropDamaged:   "damaged",
	dropTooLarge:  "size",
	dropAddress:   "address",
	dropInboxFull: "full",
	dropNotSent:   "unsent",
}

// dropReasonOf returns the reason for a datagram that package codec rejected with err.
func dropReasonOf(err error) dropReason {
	switch {
	case errors.Is(err, codec.ErrVersion):
		return dropVersion
	case errors.Is(err, codec.ErrFleet):
		return dropFleet
	case errors.Is(err, codec.ErrDamaged):
		return dropDamaged
	case errors.Is(err, codec.ErrTooLarge):
		return dropTooLarge
	}
	return dropMalformed
}

// dropCounter counts dropped datagrams by reason. The counts may be read concurrently.
type dropCounter struct {
	counts [numDropReasons]atomic.Int64

	// Used by the owner goroutine only.
	logged   int64     // total that was last logged
	loggedAt time.Time // time of the last log message
}

func (d *dropCounter) add(reason dropReason) { d.counts[reason].Add(1) }

func (d *dropCounter) total() (sum int64) {
	for i := range d.counts {
		sum += d.counts[i].Load()
	}
	return sum
}

// log logs the counts if they have increased, at most once in dropLogInterval.
func (d *dropCounter) log(log *slog.Logger) {
	total := d.total()
	if total <= d.logged || time.Since(d.loggedAt) < dropLogInterval {
		return
	}
	var attributes []any
	for reason, name := range dropReasons {
		if n := d.counts[reason].Load(); n > 0 {
			attributes = append(attributes, name, n)
		}
	}
	log.Warn("datagrams dropped since the start", attributes...)
	d.logged = total
	d.loggedAt = time.Now()
}

// send sends one datagram. If that fails, the datagram is counted as dropped and not sent again; the protocol tolerates lost
// datagrams.
func (s *Service) send(outgoing membership.Outgoing) {
	kind := outgoing.Packet.Kind()
	data, err := codec.EncodeDatagram(s.fleetTag, outgoing.Packet)
	if err != nil {
		s.drops.add(dropNotSent)
		s.log.Error("datagram not encoded", "kind", kind, "error", err)
		return
	}
	to, err := net.ResolveUDPAddr("udp4", outgoing.Addr) // no DNS lookup: the address is an IP address and a port
	if err == nil {
		_, err = s.socket.WriteTo(data, to)
	}
	if err != nil {
		s.drops.add(dropNotSent)
		return
	}
	s.sent.add(kind, len(data))
}

// readLoop reads datagrams until the socket is closed.
func (s *Service) readLoop(socket net.PacketConn, inbox chan<- datagram) {
	defer s.running.Done()
	buffer := make([]byte, codec.MaxDatagramBytes+1)
	for {
		n, from, err := socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // for example an ICMP port unreachable in response to an earlier datagram
		}
		s.handleDatagram(buffer[:n], from, inbox)
	}
}

// handleDatagram decodes one datagram and queues it for the owner goroutine, or drops and counts it.
func (s *Service) handleDatagram(data []byte, from net.Addr, inbox chan<- datagram) {
	addr, err := netip.ParseAddrPort(from.String())
	if err != nil || !s.senderAllowed(addr.Addr()) {
		s.received.add(undecodedKind, len(data))
		s.drops.add(dropAddress)
		return
	}
	packet, err := codec.DecodeDatagram(s.fleetTag, data)
	if err != nil {
		s.received.add(undecodedKind, len(data))
		s.drops.add(dropReasonOf(err))
		return
	}
	s.received.add(packet.Kind(), len(data))
	select {
	case inbox <- datagram{addr.String(), packet}:
	default:
		s.drops.add(dropInboxFull)
	}
}

// senderAllowed reports whether the fleet's allow list, if any, contains a source address.
func (s *Service) senderAllowed(addr netip.Addr) bool {
	if len(s.options.Fleet.Allow) == 0 {
		return true
	}
	for _, prefix := range s.options.Fleet.Allow {
		if prefix.Contains(addr.Unmap()) {
			return true
		}
	}
	return false
}
