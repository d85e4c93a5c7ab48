package ingress

import (
	"context"
	"slices"
	"sync"
)

// readTurns lets one connection at a time read what its client has sent behind an open request. Reading one connection after the other
// takes no longer in all than reading them side by side, what has been read is known sooner, and the node's other work waits for one
// reader at most. Connections for which an attempt waits come first, the others in the order in which they asked. It is safe for
// concurrent use.
type readTurns struct {
	mu     sync.Mutex
	taken  bool
	urgent []*readTurn
	others []*readTurn
}

// readTurn is one turn of a connection.
type readTurn struct {
	granted chan struct{} // closed once the connection may read
}

// request asks for a turn. The caller ends it with end once it was granted, or else with cancel.
func (t *readTurns) request(urgent bool) *readTurn {
	turn := &readTurn{granted: make(chan struct{})}
	t.mu.Lock()
	defer t.mu.Unlock()
	if urgent {
		t.urgent = append(t.urgent, turn)
	} else {
		t.others = append(t.others, turn)
	}
	t.grantNext()
	return turn
}

// hurry makes a turn urgent that has not been granted yet.
func (t *readTurns) hurry(turn *readTurn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.others, turn); i >= 0 {
		t.others = slices.Delete(t.others, i, i+1)
		t.urgent = append(t.urgent, turn)
	}
}

// end ends a turn that was granted.
func (t *readTurns) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taken = false
	t.grantNext()
}

// cancel withdraws a turn, which may have been granted meanwhile.
func (t *readTurns) cancel(turn *readTurn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := len(t.urgent) + len(t.others)
	isTurn := func(other *readTurn) bool { return other == turn }
	t.urgent = slices.DeleteFunc(t.urgent, isTurn)
	t.others = slices.DeleteFunc(t.others, isTurn)
	if len(t.urgent)+len(t.others) == waiting {
		t.taken = false
		t.grantNext()
	}
}

// grantNext grants the next turn if none is taken. The caller holds mu.
func (t *readTurns) grantNext() {
	queue := &t.urgent
	if len(t.urgent) == 0 {
		queue = &t.others
	}
	if t.taken || len(*queue) == 0 {
		return
	}
	close((*queue)[0].granted)
	*queue = slices.Delete(*queue, 0, 1)
	t.taken = true
}

// urgentWaits reports whether an urgent turn has not been granted yet.
func (t *readTurns) urgentWaits() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.urgent) > 0
}

// takeTurn waits for the connection's turn to read. It returns false if ctx ends first. Without a budget there are no turns.
func (c *Conn) takeTurn(ctx context.Context) bool {
	if c.options.ReadAhead == nil {
		return ctx.Err() == nil
	}
	turns := &c.options.ReadAhead.turns
	c.mu.Lock()
	turn := turns.request(c.ahead.isUrgent())
	c.ahead.turn = turn
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.ahead.turn = nil
		c.mu.Unlock()
	}()
	select {
	case <-turn.granted:
		return true
	case <-ctx.Done():
		turns.cancel(turn)
		return false
	}
}

// endTurn ends the connection's turn.
func (c *Conn) endTurn() {
	if c.options.ReadAhead != nil {
		c.options.ReadAhead.turns.end()
	}
}
