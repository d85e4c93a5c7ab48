// Package upstream keeps in touch with discovery: it asks for the upstream group, whole or as a watch
// on changes, and tells what comes.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/machine"
)

// Events is told the news: a failed call once, whatever went wrong with it.
type Events interface {
	Listed(kind balance.List, g config.Group)
}

// Client asks discovery. Each call is made once; the decision module says when to ask again.
type Client struct {
	limits config.Limits
	dial   machine.Dial
	events Events

	mu      sync.Mutex
	addr    string
	version int64           // of the last message
	stop    func()          // ends the watch that is on
	here    context.Context // ends when discovery moves
	moved   func()
}

// New returns a client that holds the group of the given version.
func New(l config.Limits, d machine.Dial, addr string, version int64, events Events) *Client {
	c := &Client{limits: l, dial: d, addr: addr, version: version, events: events, stop: func() {}}
	c.here, c.moved = context.WithCancel(context.Background())
	return c
}

// Move takes discovery's new address. Calls to the old one are ended, and none of them tells anything any more:
// a late word of the old address must not undo what the new one has told. The version is kept, so that the next
// watch brings what was missed in between.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moved()
	c.addr = addr
	c.here, c.moved = context.WithCancel(context.Background())
}

// Close ends all calls; none of them tells anything any more.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moved()
}

// Watch asks for changes from the last version on. A watch that is on is replaced, and ends untold.
func (c *Client) Watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop()
	var ctx context.Context
	ctx, c.stop = context.WithCancel(c.here)
	go c.call(ctx, c.addr, fmt.Sprintf("/v1/endpoints?follow=1&since=%d", c.version), c.follow)
}

// Fetch asks for the whole list once.
func (c *Client) Fetch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	go c.call(c.here, c.addr, "/v1/endpoints", c.whole)
}

// call makes one call; read reads its answer until it fails. A nil error is an answer read to its end.
func (c *Client) call(ctx context.Context, addr, path string, read func(context.Context, net.Conn, io.Reader) error) {
	err := c.try(ctx, addr, path, read)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		c.events.Listed(balance.ListFailed, config.Group{})
	}
}

func (c *Client) try(ctx context.Context, addr, path string, read func(context.Context, net.Conn, io.Reader) error) error {
	conn, err := c.dial(ctx, addr, c.limits.ListWait, path)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(c.limits.ListWait)) // a silent machine never closes
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, addr); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", resp.Status)
	}
	return read(ctx, conn, resp.Body)
}

// follow reads a watch line by line. Discovery writes one every two seconds, an empty one if nothing has
// changed: silence for longer means that it is cut off, though the connection stays open.
func (c *Client) follow(ctx context.Context, conn net.Conn, body io.Reader) error {
	in := bufio.NewScanner(body)
	in.Buffer(make([]byte, 0, 4<<10), c.limits.ListBytes)
	for {
		conn.SetDeadline(time.Now().Add(c.limits.ListSilence))
		if !in.Scan() {
			return fmt.Errorf("the watch ended: %w", in.Err())
		}
		if len(bytes.TrimSpace(in.Bytes())) == 0 {
			continue
		}
		if err := c.tell(ctx, in.Bytes()); err != nil {
			return err
		}
	}
}

// whole reads a whole list.
func (c *Client) whole(ctx context.Context, _ net.Conn, body io.Reader) error {
	text, err := io.ReadAll(io.LimitReader(body, int64(c.limits.ListBytes)))
	if err != nil {
		return err
	}
	return c.tell(ctx, text)
}

// tell passes one message on.
func (c *Client) tell(ctx context.Context, text []byte) error {
	g, err := config.ParseGroup(text)
	if err != nil {
		return err
	}
	kind := balance.ListChanges
	if g.Full {
		kind = balance.ListFull
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil { // replaced meanwhile: its successor tells the same
		return ctx.Err()
	}
	c.version = g.Version
	c.events.Listed(kind, g)
	return nil
}
