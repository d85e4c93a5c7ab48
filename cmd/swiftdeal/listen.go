package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"swiftdeal/internal/config"
	"swiftdeal/internal/handover"
	"swiftdeal/internal/node"
	"swiftdeal/internal/platform"
)

// takeover is the process that this one replaces, with its listening socket. The zero value stands for none.
type takeover struct {
	predecessor *handover.Predecessor
	clients     net.Listener
}

// dialPredecessor asks the process that serves clients at an address for a handover. It fails if there is none.
func dialPredecessor(listen string, timeout time.Duration) (found takeover, err error) {
	link, err := handover.Dial(os.Getenv("TMPDIR"), listen, timeout)
	if err == nil {
		found.predecessor, found.clients, err = handover.Handshake(link, listen, timeout)
	}
	return found, err
}

// openListeners opens the node's listeners for clients, the control address and successors. A predecessor that serves at
// the clients' address hands over its listening socket, unless it was found before; if there is none or the handover fails, the node
// listens with SO_REUSEPORT, so that both processes can listen there. Without a control address there is no handover.
func openListeners(ctx context.Context, c *config.Config, found takeover, log *slog.Logger) (listeners node.Listeners, err error) {
	if c.Control == "" {
		listeners.Clients, err = listenWithRetry(ctx, c, c.Listen, net.ListenConfig{})
		if err != nil {
			return listeners, fmt.Errorf("listen: %w", err)
		}
		return listeners, nil
	}
	listeners.Control, err = listenWithRetry(ctx, c, c.Control, net.ListenConfig{})
	if err != nil {
		return listeners, fmt.Errorf("control: %w", err)
	}
	timeout := c.Limits.HandoverMessageTimeout
	if found.predecessor == nil {
		if found, err = dialPredecessor(c.Listen, timeout); err != nil && !errors.Is(err, fs.ErrNotExist) {
			log.Warn("handover from predecessor failed", "error", err)
		}
	}
	listeners.Predecessor, listeners.Clients = found.predecessor, found.clients
	if listeners.Clients == nil {
		listeners.Clients, err = listenSharingPort(ctx, c)
		if err != nil {
			return listeners, fmt.Errorf("listen: %w", err)
		}
	}
	listeners.Successors, err = handover.Listen(os.Getenv("TMPDIR"), c.Listen, timeout)
	if err != nil {
		log.Warn("handover unavailable", "error", err)
		listeners.Successors = nil
	}
	return listeners, nil
}

// listenSharingPort listens at the clients' address with SO_REUSEPORT, so that another process can listen there too. If
// the other process does not share the port, it is about to end, and listening is retried until it has.
func listenSharingPort(ctx context.Context, c *config.Config) (net.Listener, error) {
	sharing := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// The error is ignored: without the option the node listens alone.
			unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
	}}
	return listenWithRetry(ctx, c, c.Listen, sharing)
}

// listenWithRetry listens at an address. It retries until BindTimeout, as another process may still hold the address or the
// system may be short of resources for a moment.
func listenWithRetry(ctx context.Context, c *config.Config, address string, lc net.ListenConfig) (listener net.Listener, err error) {
	err = platform.Retry(ctx, c.Limits.BindTimeout, func() error {
		listener, err = lc.Listen(ctx, "tcp", address)
		return err
	})
	return listener, err
}
