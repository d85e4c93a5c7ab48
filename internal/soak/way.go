package soak

import (
	"bytes"
	"strconv"
	"time"

	"swiftdeal/internal/invariants"
	"swiftdeal/internal/standin"
)

// way is one connection between a node and a worker, or discovery, with the harness in the middle: it notes what passes, and can
// hold it, delay it or break it. All of it runs under the host's lock.
type way struct {
	f    *Field
	node int
	w    *worker // nil: discovery
	near standin.Conn
	far  standin.Handler
	use  *exchange // what the node has under way
	shut bool

	in, out     []func() // what waits while the way is cut
	inAt, outAt time.Time
}

// exchange is a request that a node has begun to write.
type exchange struct {
	try   int
	id    string
	text  []byte
	probe bool
}

// open takes a new connection of a node; nil refuses it.
func (f *Field) open(c standin.Conn, node int, w *worker, far func(standin.Conn) standin.Handler) standin.Handler {
	t := &way{f: f, node: node, w: w, near: c}
	if t.far = far(t); t.far == nil {
		return nil
	}
	f.ways[t] = true
	return t
}

// cut reports whether nothing passes.
func (t *way) cut() bool { return t.w != nil && t.w.hung || t.w == nil && t.f.discoCut }

// pass has something happen at the other end, in order, after the delay of the way.
func (t *way) pass(queue *[]func(), at *time.Time, do func()) {
	*queue = append(*queue, do)
	t.pump(queue, at)
}

func (t *way) pump(queue *[]func(), at *time.Time) {
	if t.cut() || len(*queue) == 0 {
		return
	}
	delay := time.Duration(0)
	if t.w != nil {
		delay = t.f.delay
	}
	if delay == 0 && !at.After(t.f.host.Now()) {
		do := *queue
		*queue = nil
		for _, d := range do {
			d()
		}
		return
	}
	due := t.f.host.Now().Add(delay)
	if due.Before(*at) {
		due = *at
	}
	*at = due
	t.f.host.After(time.Until(due), func() {
		if !t.cut() && len(*queue) > 0 {
			d := (*queue)[0]
			*queue = (*queue)[1:]
			d()
		}
	})
}

// heal lets through what has waited on a way that was cut.
func (t *way) heal() {
	for _, q := range []*[]func(){&t.in, &t.out} {
		do := *q
		*q = nil
		for _, d := range do {
			d()
		}
	}
}

// Data implements standin.Handler: bytes of the node.
func (t *way) Data(p []byte) {
	p = bytes.Clone(p)
	if t.w != nil {
		t.departs(p)
	}
	t.pass(&t.in, &t.inAt, func() {
		if !t.shut {
			t.f.arrives = t.f.name(t.node)
			t.far.Data(p)
		}
	})
}

// Gone implements standin.Handler: the node has ended the connection.
func (t *way) Gone(reset bool) {
	t.end(true)
	delete(t.f.ways, t)
	t.pass(&t.in, &t.inAt, func() {
		if !t.shut {
			t.shut = true
			t.far.Gone(reset)
		}
	})
}

// Write implements standin.Conn: bytes of the stand-in.
func (t *way) Write(p []byte, m *standin.Mark) {
	p = bytes.Clone(p)
	t.pass(&t.out, &t.outAt, func() {
		if !t.shut {
			t.marked(m)
			t.near.Write(p, nil)
		}
	})
}

// Close implements standin.Conn.
func (t *way) Close() {
	t.pass(&t.out, &t.outAt, func() {
		if !t.shut {
			t.shut = true
			t.end(false)
			t.near.Close()
		}
	})
}

// Reset implements standin.Conn.
func (t *way) Reset() {
	if !t.shut {
		t.shut = true
		t.end(false)
		t.near.Reset()
	}
}

// breaks resets the connection under both ends.
func (t *way) breaks() {
	if t.shut {
		return
	}
	t.Reset()
	delete(t.f.ways, t)
	t.far.Gone(true)
}

// departs notes what a node sends to a worker, at its first byte.
func (t *way) departs(p []byte) {
	f := t.f
	if t.use == nil || standin.Whole(t.use.text) {
		t.end(false)
		f.tries++
		t.use = &exchange{try: f.tries, id: standin.Field(p, "X-Request-Id")}
		if method, _, _ := standin.Words(p); method == "GET" {
			t.use.probe = true
		} else {
			told, _ := strconv.ParseFloat(standin.Field(p, "X-Deadline"), 64)
			f.stats.Attempts++
			f.tell(invariants.Event{Kind: invariants.Sent, Node: f.name(t.node), Request: t.use.id, Peer: t.w.p.ID, Try: t.use.try, Within: time.Duration(told * float64(time.Second))})
		}
	}
	t.use.text = append(t.use.text, p...)
}

// end notes the end of what is under way, by the node's own doing or because the connection broke.
func (t *way) end(byNode bool) {
	u := t.use
	if t.use = nil; u == nil || u.probe {
		return
	}
	if whole := standin.Whole(u.text); byNode && whole {
		t.f.tell(invariants.Event{Kind: invariants.Off, Try: u.try})
	} else {
		t.f.tell(invariants.Event{Kind: invariants.Ended, Try: u.try, Never: !whole})
	}
}

// marked notes what the stand-in's bytes tell the node.
func (t *way) marked(m *standin.Mark) {
	if m == nil {
		return
	}
	if u := t.use; m.Ended && u != nil && u.id == m.Request {
		t.use = nil
		t.f.tell(invariants.Event{Kind: invariants.Ended, Try: u.try, Never: m.Never})
	}
	t.f.toldList(t.node, m)
}
