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

	"golang.org/x/sys/unix"

	"swiftdeal/internal/config"
	"swiftdeal/internal/handover"
	"swiftdeal/internal/node"
	"swiftdeal/internal/platform"
)

// listen opens the node's doors. A process that serves clients already, as one that is to be replaced does, hands its
// listening socket over; where it cannot, both listen side by side.
func listen(ctx context.Context, c *config.Config, log *slog.Logger) (d node.Doors, err error) {
	if c.Control == "" {
		if d.Clients, err = patiently(ctx, c, c.Listen, net.ListenConfig{}); err != nil {
			return d, fmt.Errorf("listen: %w", err)
		}
		return d, nil
	}
	if d.Control, err = patiently(ctx, c, c.Control, net.ListenConfig{}); err != nil {
		return d, fmt.Errorf("control: %w", err)
	}
	dir := os.Getenv("TMPDIR")
	link, err := handover.Find(dir, c.Listen, c.Limits.HandWait)
	if err == nil {
		d.Prior, d.Clients, err = handover.Ask(link, c.Listen, c.Limits.HandWait)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		log.Warn("no process hands over", "why", err)
	}
	if d.Clients == nil {
		if d.Clients, err = beside(ctx, c); err != nil {
			return d, fmt.Errorf("listen: %w", err)
		}
	}
	if d.Heirs, err = handover.Listen(dir, c.Listen, c.Limits.HandWait); err != nil {
		log.Warn("this process cannot be replaced without a gap", "why", err)
		d.Heirs = nil
	}
	return d, nil
}

// beside listens where another process may listen too. One that does not allow that is waited for: it is about to end.
func beside(ctx context.Context, c *config.Config) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Where the machine refuses, the node listens alone.
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
	}}
	return patiently(ctx, c, c.Listen, lc)
}

// patiently listens at an address, which another process may hold for a moment, or the system not have to give.
func patiently(ctx context.Context, c *config.Config, address string, lc net.ListenConfig) (ln net.Listener, err error) {
	err = platform.Retry(ctx, c.Limits.BindWait, func() error {
		ln, err = lc.Listen(ctx, "tcp", address)
		return err
	})
	return ln, err
}
