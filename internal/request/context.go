// Package request defines the context of a request, which all stages of the node that process the request share, and
// its final answer.
package request

import (
	"context"
	"net/http"
	"sync"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/invariant"
)

// ClientState is what is known of a client.
type ClientState int

// States of a client.
const (
	ClientConnected ClientState = iota
	ClientLeft
	ClientUnread // it has sent data that has not been read, and its leaving may be behind that
)

// Client is the client connection of a request.
type Client interface {
	// State checks the connection.
	State() ClientState
	// AwaitRead waits until all that the client had sent at some time, not before since, has been read, and returns that time. It returns
	// the zero time if ctx ends first.
	AwaitRead(ctx context.Context, since time.Time) (sentBefore time.Time)
}

// Context is the state of one request in the node. Its fields do not change once the request is admitted; the methods
// are safe for concurrent use.
type Context struct {
	balance.Request
	ClassName string
	Method    string
	Target    string // path and query, unmodified
	Host      string
	Header    http.Header
	Body      []byte
	Arrived   time.Time
	Deadline  time.Time // the client waits for an answer until then
	Policy    invariant.RetryPolicy
	Attempts  invariant.AttemptHistory // attempts that have begun

	Client Client // nil if the connection cannot be checked

	once       sync.Once
	done       chan struct{}
	finishedAt time.Time
	answer     Answer

	releaseMu sync.Mutex
	released  bool     // guarded by releaseMu, as is onRelease
	onRelease []func() // called by Release
}

// New returns an empty request context whose arrival time is now.
func New() *Context { return &Context{Arrived: time.Now(), done: make(chan struct{})} }

// Finish sets the final answer. Only the first call has an effect; it returns true.
func (c *Context) Finish(answer Answer) (first bool) {
	c.once.Do(func() {
		c.answer, c.finishedAt, first = answer, time.Now(), true
		close(c.done)
	})
	return first
}

// OnRelease registers a function that Release calls. If it has been called already, the function is called at once.
func (c *Context) OnRelease(release func()) {
	c.releaseMu.Lock()
	released := c.released
	if !released {
		c.onRelease = append(c.onRelease, release)
	}
	c.releaseMu.Unlock()
	if released {
		release()
	}
}

// Release tells that the answer has been delivered, or never will be, and that its memory is not needed any more. It is called
// when the request has ended.
func (c *Context) Release() {
	c.releaseMu.Lock()
	functions := c.onRelease
	c.released, c.onRelease = true, nil
	c.releaseMu.Unlock()
	for _, release := range functions {
		release()
	}
}

// Done returns a channel that is closed once the final answer is set.
func (c *Context) Done() <-chan struct{} { return c.done }

// FinishedAt returns when the final answer was set; it may be called once Done is closed.
func (c *Context) FinishedAt() time.Time { return c.finishedAt }

// Answer returns the final answer; it may be called once Done is closed.
func (c *Context) Answer() Answer { return c.answer }
