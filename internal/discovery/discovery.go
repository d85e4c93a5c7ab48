// Package discovery keeps in touch with discovery: it asks for the upstream group, whole or as a watch
// on changes, and tells what comes.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/platform"
)

// Events is told the news: a failed call once, whatever went wrong with it.
type Events interface {
	Listed(kind balance.List, g config.Group)
}

// Client asks discovery. Each call is made once; the decision module says when to ask again.
type Client struct {
	limits config.Limits
	dial   platform.Dial
	events Events

	mu      sync.Mutex
	addr    string
	version int64           // of the last message
	current *call           // the watch that is on; nil: none
	pending *call           // the one that is to take its place once it has brought a message; nil: none
	heard   time.Time       // when a message, or a line between two, last ended; zero: none has yet
	here    context.Context // ends when discovery moves
	moved   func()
}

// call is one call of discovery.
type call struct {
	ctx  context.Context
	stop func() // ends it untold
}

// New returns a client that holds the group of the given version.
func New(l config.Limits, d platform.Dial, addr string, version int64, events Events) *Client {
	c := &Client{limits: l, dial: d, addr: addr, version: version, events: events}
	c.here, c.moved = context.WithCancel(context.Background())
	return c
}

// Move takes discovery's new address. Calls to the old one are ended, and none of them tells anything any more:
// a late word of the old address must not undo what the new one has told. The version is kept, so that the next
// watch brings what was missed in between. Where the address is the same, calls go on.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.addr {
		return
	}
	c.moved()
	c.addr, c.current, c.pending = addr, nil, nil
	c.here, c.moved = context.WithCancel(context.Background())
}

// Close ends all calls; none of them tells anything any more.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moved()
}

// Watch asks for changes from the last version on. A watch that is on goes on until the new one has brought a message, and ends
// untold; one that has not been answered yet is not asked for twice. Guards against new configurations in quick succession, each
// of which has the list asked for anew: where discovery is slow, the node would hear nothing for as long.
func (c *Client) Watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		return
	}
	w := &call{}
	w.ctx, w.stop = context.WithCancel(c.here)
	c.pending = w
	go c.make(w, c.addr, fmt.Sprintf("/v1/endpoints?follow=1&since=%d", c.version), c.follow)
}

// Fetch asks for the whole list once.
func (c *Client) Fetch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	go c.make(&call{ctx: c.here}, c.addr, "/v1/endpoints", c.whole)
}

// make makes one call; read reads its answer until it fails. A nil error is an answer read to its end. The failure of a watch in
// whose place another one is asked for is not told: that one tells.
func (c *Client) make(w *call, addr, path string, read func(*call, net.Conn, io.Reader) error) {
	err := c.try(w, addr, path, read)
	c.mu.Lock()
	defer c.mu.Unlock()
	replaced := w == c.current && c.pending != nil
	if w == c.current {
		c.current = nil
	}
	if w == c.pending {
		c.pending = nil
	}
	if err != nil && w.ctx.Err() == nil && !replaced {
		c.events.Listed(balance.ListFailed, config.Group{})
	}
}

func (c *Client) try(w *call, addr, path string, read func(*call, net.Conn, io.Reader) error) error {
	start := time.Now()
	conn, err := c.dial(w.ctx, addr, c.limits.ListWait, path)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(w.ctx, func() { conn.Close() })()
	conn.SetDeadline(start.Add(c.limits.ListWait)) // a silent machine never closes
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
	// Guards against a call that is accepted, begins to answer, and says nothing: its silence counts from its start.
	conn.SetDeadline(start.Add(c.limits.ListFirst))
	return read(w, conn, resp.Body)
}

// follow reads a watch message by message. Discovery writes a line every two seconds, an empty one if nothing has
// changed: silence for longer means that it is cut off, though the connection stays open. A message may be spread
// over several lines.
func (c *Client) follow(w *call, conn net.Conn, body io.Reader) error {
	live := &lines{conn: conn, r: body, silence: c.limits.ListSilence, most: c.limits.ListBytes, beat: func() { c.beat(w) }}
	in := json.NewDecoder(live)
	for first := true; ; first = false {
		var text json.RawMessage
		if err := in.Decode(&text); err != nil {
			return fmt.Errorf("the watch ended: %w", err)
		}
		live.since = 0
		if err := c.tell(w, text, first); err != nil {
			return err
		}
	}
}

// lines reads a watch and puts its deadline off with each line that ends.
type lines struct {
	conn    net.Conn
	r       io.Reader
	silence time.Duration
	most    int    // bytes of a message
	since   int    // bytes since the last message
	beat    func() // told of each line between two messages
}

// Read implements io.Reader.
func (l *lines) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	if l.since += n; bytes.IndexByte(p[:n], '\n') >= 0 {
		l.conn.SetDeadline(time.Now().Add(l.silence))
		if len(bytes.TrimSpace(p[:n])) == 0 && l.since == n { // between messages
			l.since = 0
			l.beat()
		}
	}
	if l.since > l.most+len(p) {
		return n, errors.New("a message is too long")
	}
	return n, err
}

// beat takes a line between two messages: nothing has changed up to now.
func (c *Client) beat(w *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.ctx.Err() == nil {
		c.heard = time.Now()
		c.answered(w)
	}
}

// answered has a watch take the place of the one before it, once anything has come on it; mu is held.
func (c *Client) answered(w *call) {
	if w != c.pending {
		return
	}
	if c.current != nil {
		c.current.stop()
	}
	c.current, c.pending = w, nil
}

// whole reads a whole list.
func (c *Client) whole(w *call, _ net.Conn, body io.Reader) error {
	text, err := io.ReadAll(io.LimitReader(body, int64(c.limits.ListBytes)))
	if err != nil {
		return err
	}
	return c.tell(w, text, false)
}

// tell passes one message on. What is older than what is held says only that discovery answers: a whole list that was asked for
// before a change came, and comes after it, must not undo a drain. The first message of a watch is believed whatever its
// version, if it is a whole list: discovery may count anew.
func (c *Client) tell(w *call, text []byte, first bool) error {
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
	if w.ctx.Err() != nil { // replaced meanwhile: its successor tells the same
		return w.ctx.Err()
	}
	c.answered(w)
	if g.Version < c.version && !(first && g.Full) {
		kind, g = balance.ListChanges, config.Group{Version: c.version}
	}
	if !c.heard.IsZero() {
		g.Quiet = time.Since(c.heard)
	}
	c.version, c.heard = g.Version, time.Now()
	c.events.Listed(kind, g)
	return nil
}
