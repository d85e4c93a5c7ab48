package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"swiftdeal/internal/fleet/wire"
)

// crowd is a core that holds a fleet of members who all answer.
type crowd struct {
	*Core
	tb    testing.TB
	at    time.Duration
	named []*wire.Record
}

func (c *crowd) raw(r *wire.Record) []byte {
	raw, err := wire.EncodeRecord(r)
	if err != nil {
		c.tb.Fatal(err)
	}
	return raw
}

func gather(tb testing.TB, members int) *crowd {
	c := &crowd{tb: tb, Core: New(Config{Self: wire.Record{Ident: wire.Ident{Name: "me"}, Addr: "10.0.0.1:1"}, Life: 5, Most: 2 * members}, rand.New(rand.NewPCG(1, 2)), 0)}
	for i := range members - 1 {
		r := &wire.Record{Ident: wire.Ident{Name: fmt.Sprint("n", i), Life: 9, Inc: 1}, Seq: 1, Site: "s0", Addr: fmt.Sprintf("10.1.%d.%d:1", i/250, 1+i%250), State: wire.Serving,
			Digest: wire.Digest{Open: 25, Workers: 670, Served: 1}}
		c.named = append(c.named, r)
		c.record(c.raw(r), r.Name, nil)
	}
	if n, _, _, _ := c.Sizes(); n != members-1 {
		tb.Fatalf("%d members held", n)
	}
	for range 100 { // what is new is passed on
		c.period()
	}
	return c
}

// period is one second of a node's own part: its probe is answered, and it is probed once.
func (c *crowd) period() {
	c.Set(c.at, wire.Serving, wire.Digest{Open: uint32(c.at / time.Second)}, nil)
	for end := c.at + time.Second; c.at < end; {
		c.at = min(end, max(c.Wake(), c.at+time.Millisecond))
		c.Step(c.at)
		c.answer()
	}
	c.ping(int(c.at / time.Second))
}

// answer has the members who are probed answer.
func (c *crowd) answer() {
	for _, s := range c.Out() {
		if p := c.addrs[s.To]; s.Packet.Kind == wire.Ping && p != nil {
			c.Take(c.at, s.To, &wire.Packet{Kind: wire.Ack, Seq: s.Packet.Seq, From: p.rec.Ident, To: "me"})
		}
	}
	c.Changes()
	c.Out()
}

func (c *crowd) ping(i int) {
	r := c.named[i%len(c.named)]
	c.Take(c.at, r.Addr, &wire.Packet{Kind: wire.Ping, Seq: uint64(i), From: r.Ident, To: "me"})
	c.Out()
}

// BenchmarkMembers is what a node's own view costs: a whole period, and what comes in one by one.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{32, 100, 200, 335, 512, 1000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			c := gather(b, n)
			page := make([]wire.Entry, 0, mostPage)
			for _, p := range c.list[:min(n-1, mostPage)] {
				page = append(page, wire.Entry{Hash: p.hash, Life: p.life, Inc: p.inc, Seq: p.rec.Seq, Status: p.status})
			}
			for _, e := range []struct {
				name string
				do   func(i int)
			}{
				{"period", func(int) { c.period() }},
				{"step", func(int) { c.Step(c.at) }}, // with nothing due
				{"ping", c.ping},
				{"record", func(i int) { // a member's newer word, and its passing on
					r := c.named[i%len(c.named)]
					r.Seq++
					c.Take(c.at, r.Addr, &wire.Packet{Kind: wire.Gossip, From: r.Ident, To: "me", Records: []cbor.RawMessage{c.raw(r)}})
					c.Out()
				}},
				{"summary", func(int) { // one page that agrees with what is held
					r := c.named[0]
					c.Take(c.at, r.Addr, &wire.Packet{Kind: wire.Summary, From: r.Ident, To: "me", Lo: page[0].Hash, Hi: page[len(page)-1].Hash, Sum: page})
					c.Out()
				}},
				{"view", func(int) { c.View() }},
			} {
				b.Run(e.name, func(b *testing.B) {
					b.ReportAllocs()
					for i := range b.N {
						e.do(i)
					}
				})
			}
		})
	}
}
