package node

import (
	"fmt"
	"net"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/handover"
)

// handoverScript is what a fake predecessor sends in a handover.
type handoverScript struct {
	endpoints *config.EndpointList
	state     *balance.LearnedState
	clocks    *handover.Clocks
	listener  net.Listener // of the clients
	passed    []passedMessage
	drained   []string      // workers that the control plane has drained
	link      handover.Link // set by play
}

// passedMessage is a message with the connections that are passed with it.
type passedMessage struct {
	message handover.Message
	conns   []any
}

// replaceBy starts a successor that takes over from the script, and returns once all messages were sent. The successor can be
// replaced in turn through next.
func (s *handoverScript) replaceBy(t *testing.T, w *testNode, next string) (stop func(), ended chan error) {
	t.Helper()
	dir := t.TempDir()
	successors, err := handover.Listen(dir, w.config.Listen, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { successors.Close() })
	if err := successors.Open(); err != nil {
		t.Fatal(err)
	}
	played := make(chan error, 1)
	go func() { played <- s.play(successors) }()
	stop, ended = w.successor(t, dir, next)
	if err := <-played; err != nil {
		t.Fatal(err)
	}
	return stop, ended
}

// play hands over to the next process that connects.
func (s *handoverScript) play(successors handover.SuccessorListener) (err error) {
	if s.link, err = successors.Accept(); err != nil {
		return err
	}
	s.link.Receive(time.Minute) // hello
	s.link.Send(handover.Message{
		Kind: handover.KindWelcome, Version: handover.Version, Group: s.endpoints, DrainedWorkers: &s.drained, Updates: true,
	}, s.listener)
	if m, _, err := s.link.Receive(time.Minute); err != nil || m.Kind != handover.KindTakeOver {
		return fmt.Errorf("got %q, want %q: %v", m.Kind, handover.KindTakeOver, err)
	}
	s.link.Send(handover.Message{Kind: handover.KindState, BalancerState: s.state, Clocks: s.clocks})
	for _, p := range s.passed {
		if err := s.link.Send(p.message, p.conns...); err != nil {
			return err
		}
		for _, conn := range p.conns { // the successor owns them now
			conn.(net.Conn).Close()
		}
	}
	return nil
}
