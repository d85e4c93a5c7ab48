package gossip

import (
	"time"

	"swiftdeal/internal/membership"
	"swiftdeal/internal/membership/codec"
)

// Subprotocol is another protocol that shares the socket of the membership protocol. All of its methods are called on the
// owner goroutine.
type Subprotocol interface {
	// Step runs all work that is due, and returns the messages to send.
	Step(now time.Duration, view *membership.Core) []Message
	// Receive handles a message from the member whose name is from.
	Receive(now time.Duration, from string, kind codec.Kind, body []byte)
	// NextStepAt returns the time by which Step must be called.
	NextStepAt() time.Duration
	// Close releases the subprotocol's resources.
	Close()
}

// Message is a message that a Subprotocol sends to a member. Its kind is codec.KindConsensus or higher, and its body holds
// at most codec.MaxBodyBytes.
type Message struct {
	Recipient string
	Kind      codec.Kind
	Body      []byte
}

// sendMessages sends messages of the subprotocol. Those to members that are not active are dropped.
func (s *Service) sendMessages(messages []Message) {
	for _, m := range messages {
		d := s.core.MessageTo(m.Recipient, codec.SubprotocolMessage{Number: m.Kind, Body: m.Body})
		if d == nil {
			s.drops.add(dropNotSent)
			continue
		}
		s.send(*d)
	}
}

// Do calls a function with the subprotocol, if there is one, on the owner goroutine. It returns false if the owner goroutine
// did not accept the call.
func (s *Service) Do(fn func(now time.Duration, p Subprotocol)) bool {
	if s == nil {
		return false
	}
	return s.runOnOwner(func() {
		if s.subprotocol != nil {
			fn(s.now(), s.subprotocol)
		}
	})
}
