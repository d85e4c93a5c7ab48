package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"swiftdeal/internal/config"
	"swiftdeal/internal/node"
)

// openTestListeners opens the listeners of a node with the given addresses.
func openTestListeners(t *testing.T, clients, control string) (d node.Listeners, err error) {
	t.Setenv("GW_CONFIG", "x")
	text := strings.Replace(configText, `"listen":"127.0.0.1:8080"`, `"listen":"`+clients+`","control":"`+control+`"`, 1)
	c, err := config.Load(os.Getenv, func(string) ([]byte, error) { return []byte(text), nil })
	if err != nil {
		t.Fatal(err)
	}
	d, err = openListeners(context.Background(), c, takeover{}, slog.New(slog.DiscardHandler))
	if err == nil {
		t.Cleanup(func() {
			d.Clients.Close()
			if d.Control != nil {
				d.Control.Close()
			}
			if d.Successors != nil {
				d.Successors.Close()
			}
		})
	}
	return d, err
}

// freeAddress returns an address that no process listens at.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// An unusable $TMPDIR (unset, missing, or too long for a socket path) only disables the handover: the node still opens its
// listeners, and a second process of the node can listen on the same address. Without a control address, there are
// listeners for clients only. A control address that is in use is an error.
func TestListen(t *testing.T) {
	dir := t.TempDir()
	for _, tmp := range []string{"", filepath.Join(dir, "none"), filepath.Join(dir, strings.Repeat("x", 120)), dir} {
		t.Setenv("TMPDIR", tmp)
		address := freeAddress(t)
		for range 2 {
			d, err := openTestListeners(t, address, freeAddress(t))
			if err != nil || d.Clients == nil || d.Control == nil || d.Predecessor != nil || (d.Successors != nil) != (tmp == dir) {
				t.Errorf("TMPDIR=%q: %+v %v", tmp, d, err)
			}
		}
	}
	if d, err := openTestListeners(t, freeAddress(t), ""); err != nil || d.Control != nil || d.Successors != nil {
		t.Errorf("without a control address: %+v %v", d, err)
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if _, err := openTestListeners(t, freeAddress(t), taken.Addr().String()); err == nil || !strings.HasPrefix(err.Error(), "control: ") {
		t.Errorf("a control address in use: %v", err)
	}
}
