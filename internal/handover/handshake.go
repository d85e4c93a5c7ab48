package handover

import (
	"net"
	"time"

	"swiftdeal/internal/config"
)

// Link is a connection between two processes of the node. One goroutine may receive while others send.
type Link interface {
	// Send sends a message and passes a *net.TCPListener or up to two *net.TCPConn with it, or their fakes in a simulation. It
	// fails after the link's timeout. The caller still owns the sockets that it passes, and closes them.
	Send(m Message, pass ...any) error
	// Receive returns the next message, and the net.Listener or the net.Conns passed with it, which the caller owns. It fails
	// after wait, if that is not 0, and when the link is closed.
	Receive(wait time.Duration) (m Message, passed []any, err error)
	Close() error
}

// SuccessorListener accepts links from processes that ask to take over.
type SuccessorListener interface {
	// Open makes the listener public. Until then, successors connect to the process that this one replaces. It is called again
	// if a successor that had made its own listener public has died.
	Open() error
	// Accept returns the link to the next successor, or an error once the listener is closed.
	Accept() (Link, error)
	Close() error
}

// Predecessor is the process to be replaced: the link to it, and its state as far as it sends it.
type Predecessor struct {
	Link      Link
	Group     config.EndpointList        // its endpoint list
	Discovery *config.DiscoveryAddresses // nil: it is of a version that does not send them
	Drained   []string                   // workers that the control plane has drained
	Drain     OperatorDrain
	Updates   bool // it understands KindUpdate

	ConfigFile   []byte // the text of the configuration file in force there; nil: not sent
	RejectedFile string // the FileHash of the file that it has rejected last; empty if none
}

// Handshake asks the process at the other end of a link for a handover. It returns the predecessor and its listening socket,
// which the caller owns. On an error, which may be a *RefusedError, a *KindError, ErrVersion, ErrIncomplete or an error of the
// link, it closes the link.
func Handshake(l Link, listen string, wait time.Duration) (*Predecessor, net.Listener, error) {
	predecessor, listener, err := handshake(l, listen, wait)
	if err != nil {
		l.Close()
		return nil, nil, err
	}
	return predecessor, listener, nil
}

func handshake(l Link, listen string, wait time.Duration) (*Predecessor, net.Listener, error) {
	err := l.Send(Message{Kind: KindHello, Version: Version, Listen: listen, Updates: true})
	if err != nil {
		return nil, nil, err
	}
	answer, passed, err := l.Receive(wait)
	if err != nil {
		return nil, nil, err
	}
	listener := passedListener(passed)
	err = checkWelcome(answer, listener)
	if err != nil && listener != nil {
		listener.Close()
	}
	if err != nil {
		return nil, nil, err
	}
	predecessor := &Predecessor{Link: l, Group: *answer.Group, Discovery: answer.Discovery, Updates: answer.Updates,
		ConfigFile: answer.ConfigFile, RejectedFile: answer.RejectedFile}
	if answer.DrainedWorkers != nil {
		predecessor.Drained = *answer.DrainedWorkers
	}
	if answer.Drain != nil {
		predecessor.Drain = *answer.Drain
	}
	return predecessor, listener, nil
}

// passedListener returns the listener passed with a message, or nil if anything but one listener was passed.
func passedListener(passed []any) net.Listener {
	if len(passed) != 1 {
		return nil
	}
	listener, _ := passed[0].(net.Listener)
	return listener
}

// checkWelcome returns an error if an answer to KindHello does not start a handover.
func checkWelcome(answer Message, listener net.Listener) error {
	switch {
	case answer.Kind == KindRefused:
		return &RefusedError{answer.Reason}
	case answer.Kind != KindWelcome:
		return &KindError{Got: answer.Kind, Want: KindWelcome}
	case answer.Version != Version:
		return ErrVersion
	case answer.Group == nil || listener == nil:
		return ErrIncomplete
	}
	return nil
}
