// Package discovery is the client of the discovery service: it fetches the endpoint list or watches it for changes, and passes
// updates to a Handler. Files: client (the calls in progress, and which messages are applied), addresses (which address is
// called), call (one call over a connection), watch (reading a watch), errors.
package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/ratelimit"
)

// Handler receives the results of calls: messages, and at most one failure for each call, whatever its cause. It is called under
// the client's lock and from many goroutines. It must not block or call the client.
type Handler interface {
	HandleListEvent(kind balance.EndpointUpdate, list config.EndpointList)
	// AwaitListEvents returns once all events passed to HandleListEvent so far have taken effect, or never will. Unlike
	// HandleListEvent it may block; it is called without the client's lock.
	AwaitListEvents()
}

const (
	listPath  = "/v1/endpoints"
	watchPath = listPath + "?follow=1&since=%d" // with the version that the client has
)

// Client calls discovery. It does not retry calls: the Balancer decides when to call again. Its methods may be called by any
// goroutine, and return at once.
type Client struct {
	limits     config.Limits
	dial       platform.Dial
	handler    Handler
	log        *slog.Logger
	updatePace *ratelimit.Limiter // of messages and heartbeats
	dropped    atomic.Int64       // entries of workers for which the list had no room

	mu           sync.Mutex
	addresses    *addressList
	version      int64     // of the last message
	listSize     *listSize // of the list that the messages add up to
	lastHeard    time.Time // when the last message or heartbeat was received; zero: none yet
	currentWatch *call     // the active watch; nil: none
	pendingWatch *call     // replaces currentWatch on its first message or heartbeat; nil: none

	addressContext context.Context // ends when the calls in progress are to end because discovery has moved
	cancelAddress  func()
}

// New returns a client that starts from the given version of the endpoint list. The addresses of discovery, at least one, are
// in order of preference: a later one is called only if an earlier one does not answer.
func New(
	l config.Limits, dial platform.Dial, addresses []string, version int64, handler Handler, log *slog.Logger,
) *Client {
	c := &Client{limits: l, dial: dial, addresses: newAddressList(addresses), version: version, handler: handler, log: log}
	c.listSize = newListSize(l.EndpointListBytes)
	c.updatePace = ratelimit.New(l.ListUpdatesPerSecond, l.ListUpdateBurst)
	c.addressContext, c.cancelAddress = context.WithCancel(context.Background())
	return c
}

// DelayedReads returns how often reading a watch was delayed because discovery sends more than the node reads.
func (c *Client) DelayedReads() int64 { return c.updatePace.Delays() }

// DroppedEndpoints returns how many entries were left out because the list had no room for their workers.
func (c *Client) DroppedEndpoints() int64 { return c.dropped.Load() }

// SetAddresses sets the addresses of discovery, in order of preference. If the preferred one changes, it ends the calls in
// progress and discards their results: a late message of the old address must not undo an update from the new one. The version
// is kept, so that the next watch delivers the changes missed in between.
func (c *Client) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.addresses.replace(addresses) {
		return
	}
	c.cancelAddress()
	c.currentWatch, c.pendingWatch = nil, nil
	c.addressContext, c.cancelAddress = context.WithCancel(context.Background())
}

// Close ends all calls and discards their results.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelAddress()
}

// Watch starts a watch for changes since the last version. The active watch continues until the new one has received a message or
// a heartbeat, and is then ended without an event. If a new watch is already pending, Watch does nothing. This guards against
// reloads of the configuration in quick succession, each of which starts a watch: with a slow discovery, the node would receive
// no updates while every watch is replaced before it is answered.
func (c *Client) Watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingWatch != nil {
		return
	}
	watch := &call{path: fmt.Sprintf(watchPath, c.version)}
	watch.ctx, watch.cancel = context.WithCancel(c.addressContext)
	c.pendingWatch = watch
	go c.run(watch, c.addresses.order(), c.readWatch)
}

// Fetch requests the full endpoint list once.
func (c *Client) Fetch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	go c.run(&call{path: listPath, ctx: c.addressContext}, c.addresses.order(), c.readList)
}

// run makes one call. The failure of a watch for which a replacement is pending is not reported: if discovery is unavailable, the
// failure of the replacement is.
func (c *Client) run(made *call, addresses []string, read readAnswer) {
	err := c.tryAddresses(made, addresses, read)
	c.mu.Lock()
	defer c.mu.Unlock()
	replaced := made == c.currentWatch && c.pendingWatch != nil
	if made == c.currentWatch {
		c.currentWatch = nil
	}
	if made == c.pendingWatch {
		c.pendingWatch = nil
	}
	if err != nil && made.ctx.Err() == nil && !replaced {
		c.handler.HandleListEvent(balance.FailedUpdate, config.EndpointList{})
	}
}

// heartbeat records an empty line between two messages, which says that the list has not changed up to now.
func (c *Client) heartbeat(from *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from.ctx.Err() == nil {
		c.lastHeard = time.Now()
		c.answered(from)
	}
}

// answered records that discovery has answered a call; mu is held.
func (c *Client) answered(made *call) {
	made.answered = true
	if was := c.addresses.preferred; c.addresses.prefer(made.address) {
		c.log.Info("discovery answers at another address", "discovery", made.address, "was", was)
	}
	c.promoteWatch(made)
}

// promoteWatch makes a pending watch the current one, on its first message or heartbeat, and ends the one before; mu is held.
func (c *Client) promoteWatch(watch *call) {
	if watch != c.pendingWatch {
		return
	}
	if c.currentWatch != nil {
		c.currentWatch.cancel()
	}
	c.currentWatch, c.pendingWatch = watch, nil
}

// deliver passes one message to the handler. A message older than the current version shows only that discovery answers, and is
// passed on as an empty change: a full list that was requested before a change and arrives after it must not undo a drain. A full
// list that is the first message of a watch is applied whatever its version, since discovery may have restarted its numbering.
func (c *Client) deliver(from *call, text []byte, first bool) error {
	list, err := config.ParseEndpointList(text)
	if err != nil {
		return err
	}
	kind := balance.DeltaUpdate
	if list.Full {
		kind = balance.FullUpdate
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if from.ctx.Err() != nil { // replaced meanwhile: the call that replaced it delivers the same
		return from.ctx.Err()
	}
	c.answered(from)
	if list.Version < c.version && !(first && list.Full) {
		kind, list = balance.DeltaUpdate, config.EndpointList{Version: c.version}
	}
	list.Source = from.address
	c.apply(kind, list)
	c.lastHeard = time.Now()
	return nil
}

// apply passes a list, or changes of it, to the handler; mu is held.
func (c *Client) apply(kind balance.EndpointUpdate, list config.EndpointList) {
	if !c.lastHeard.IsZero() {
		list.SilentFor = time.Since(c.lastHeard)
	}
	list, dropped := c.listSize.apply(list)
	c.dropped.Add(int64(dropped))
	c.version = list.Version
	c.handler.HandleListEvent(kind, list)
}

// Relay applies changes of the list that another process of the node has heard from discovery, as far as this one has not heard of
// them: discovery may answer that process alone. Changes from an address that is not one of the client's are discarded, since the
// versions of two services cannot be compared.
func (c *Client) Relay(changes config.EndpointList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if changes.Version > c.version && c.addresses.contains(changes.Source) && c.addressContext.Err() == nil {
		c.apply(balance.RelayedUpdate, changes)
	}
}
