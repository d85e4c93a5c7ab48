package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"swiftdeal/internal/fleet/wire"
)

const mark = 7

func size(t interface{ Fatal(...any) }, p *wire.Packet) int {
	b, err := wire.Encode(mark, p)
	if err != nil {
		t.Fatal(err)
	}
	return len(b)
}

func core(most int) *Core {
	return New(Config{Self: wire.Record{Ident: wire.Ident{Name: "me"}, Addr: "10.0.0.1:1"}, Life: 5, Most: most}, rand.New(rand.NewPCG(1, 2)), 0)
}

// greet makes a member known to a core, by the way that a node takes.
func greet(t *testing.T, k *Core, now time.Duration, name, addr string, life, inc uint64) {
	t.Helper()
	r := wire.Record{Ident: wire.Ident{Name: name, Life: life, Inc: inc}, Seq: 1, Addr: addr}
	raw, err := wire.EncodeRecord(&r)
	if err != nil {
		t.Fatal(err)
	}
	hello := &wire.Packet{Kind: wire.Hello, Seq: 1, From: r.Ident, Records: []cbor.RawMessage{raw}}
	k.Out()
	k.Take(now, addr, hello)
	for _, s := range k.Out() {
		if s.Packet.Kind == wire.Challenge {
			if size(t, s.Packet) > size(t, hello) {
				t.Error("a stranger is sent more than it has sent")
			}
			hello.Token = s.Packet.Token
		}
	}
	if hello.Token == nil {
		t.Fatal("no token")
	}
	k.Take(now, addr, hello)
}

// Nobody becomes known who does not hear at the address that it gives, and nothing is amplified for a stranger.
func TestStrangers(t *testing.T) {
	k := core(0)
	for i := range 20 {
		greet(t, k, 0, fmt.Sprint("n", i), fmt.Sprintf("10.0.1.%d:1", i), 9, 1)
	}
	if n := len(k.View().Members); n != 21 {
		t.Fatalf("%d members", n)
	}
	raw, _ := wire.EncodeRecord(&wire.Record{Ident: wire.Ident{Name: "x", Life: 1, Inc: 1}, Addr: "10.0.9.9:1", Seq: 1})
	k.Out()
	for kind := wire.Ping; kind <= wire.Want; kind++ {
		for _, name := range []string{"x", "n3", "me"} {
			p := &wire.Packet{Kind: kind, Seq: 3, From: wire.Ident{Name: name, Life: 1, Inc: 1}, To: "me", Records: []cbor.RawMessage{raw}, Want: []uint64{1, 2, 3},
				Token: []byte("whatever"), Hi: 1 << 63, Claims: []wire.Claim{{Ident: wire.Ident{Name: "n4", Life: 9, Inc: 1}, Status: wire.Dead}}}
			k.Take(0, "10.0.9.9:1", p)
			sent := 0
			for _, s := range k.Out() {
				if s.To != "10.0.9.9:1" && s.Packet.Kind != wire.Ping {
					t.Errorf("a stranger's %v has the node send a %v to %s", kind, s.Packet.Kind, s.To)
				}
				sent += size(t, s.Packet)
			}
			if sent > size(t, p) {
				t.Errorf("a %v of %d bytes by %s is answered with %d", kind, size(t, p), name, sent)
			}
		}
	}
	if _, _, s, _ := k.Holds("n4"); s != wire.Alive {
		t.Error("a stranger's claim is believed")
	}
	if _, _, _, ok := k.Holds("x"); ok {
		t.Error("a stranger has become a member without a token")
	}
	// A token is for one address, and a record for the address that it comes from.
	hello := &wire.Packet{Kind: wire.Hello, Seq: 1, From: wire.Ident{Name: "x", Life: 1, Inc: 1}, Records: []cbor.RawMessage{raw}, Token: k.token("10.0.9.9:1", 0)}
	k.Take(0, "10.0.9.8:1", hello)
	hello.Token = k.token("10.0.9.8:1", 0)
	k.Take(0, "10.0.9.8:1", hello)
	if _, _, _, ok := k.Holds("x"); ok {
		t.Error("a node has become a member at an address that is not its own")
	}
}

// Whatever comes, what is kept stays within its bounds, what is sent can be worded, and incarnations never go back.
func TestAnything(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		k := core(8)
		now := time.Duration(0)
		names := []string{"me", "a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
		addrs := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
		name, addr := rapid.SampledFrom(names), rapid.SampledFrom(addrs)
		ident := func() wire.Ident {
			return wire.Ident{Name: name.Draw(rt, "name"), Life: rapid.Uint64Range(4, 6).Draw(rt, "life"), Inc: rapid.OneOf(rapid.Uint64Range(0, 5), rapid.Uint64()).Draw(rt, "inc")}
		}
		high := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.Int64Range(0, 3e9).Draw(rt, "wait"))
			p := &wire.Packet{Kind: wire.Kind(rapid.IntRange(1, 11).Draw(rt, "kind")), Seq: rapid.Uint64Range(0, 30).Draw(rt, "seq"), From: ident(), To: "me",
				Hi: rapid.Uint64().Draw(rt, "hi"), Lo: rapid.Uint64().Draw(rt, "lo"), Target: name.Draw(rt, "target"), Want: []uint64{wire.Hash("a")}}
			from := addr.Draw(rt, "from")
			if rapid.Bool().Draw(rt, "good token") {
				p.Token = k.token(from, 0)
			}
			for range rapid.IntRange(0, 3).Draw(rt, "records") {
				raw, _ := wire.EncodeRecord(&wire.Record{Ident: ident(), Seq: rapid.Uint64Range(0, 4).Draw(rt, "word"), Addr: addr.Draw(rt, "at")})
				p.Records = append(p.Records, raw)
			}
			for range rapid.IntRange(0, 3).Draw(rt, "claims") {
				p.Claims = append(p.Claims, wire.Claim{Ident: ident(), Status: wire.Status(rapid.IntRange(0, 3).Draw(rt, "status"))})
			}
			k.Take(now, from, p)
			k.Step(now)
			for _, s := range k.Out() {
				size(rt, s.Packet)
			}
			for _, c := range k.Changes() {
				if c.What == "forgotten" || c.What == "displaced" {
					delete(high, c.Name)
				}
			}
			members, news, probes, errands := k.Sizes()
			if members+1 > 8 || news > 2*(members+1) || probes > members || errands > mostErrands || len(k.asked) > mostAsked+1 || len(k.conflicts) > mostConflicts {
				rt.Fatalf("%d members, %d news, %d probes, %d errands, %d asked", members, news, probes, errands, len(k.asked))
			}
			for _, n := range names {
				if _, inc, _, ok := k.Holds(n); ok {
					if inc < high[n] && k.peers[n] != nil {
						rt.Fatalf("%s went from %d to %d", n, high[n], inc)
					}
					high[n] = inc
				} else {
					delete(high, n)
				}
			}
		}
	})
}

// A clock that is stepped back at the machine changes nothing: times that go back are taken for now.
func TestClockGoesBack(t *testing.T) {
	k := core(0)
	greet(t, k, time.Hour, "a", "10.0.1.1:1", 9, 1)
	k.Step(time.Hour)
	wake := k.Wake()
	k.Step(0)
	if k.Wake() < wake-k.c.Period || k.Wake() > wake+k.c.Period {
		t.Errorf("wakes at %v after %v", k.Wake(), wake)
	}
	if _, _, s, _ := k.Holds("a"); s != wire.Alive {
		t.Error("a member is lost")
	}
}

// Facts travel in records, newest first, and never more than their bound.
func TestFacts(t *testing.T) {
	k := core(0)
	many := make([]wire.Fact, 20)
	for i := range many {
		many[i] = wire.Fact{Worker: fmt.Sprint("w", i), Kind: wire.Ill, AgeMs: uint32(i)}
	}
	k.Set(0, wire.Serving, wire.Digest{Room: map[string]int32{"slot-check": 4}}, many)
	if r, err := wire.DecodeRecord(k.raw); err != nil || len(r.Facts) != wire.MostFacts || r.Facts[0].Worker != "w0" || len(k.raw) > wire.MostRecord {
		t.Errorf("%v: %+v in %d bytes", err, r, len(k.raw))
	}
}

// A process that stood still does not hold its time for that of others: a suspicion that would have ended meanwhile goes on,
// and the process doubts itself.
func TestSleeper(t *testing.T) {
	k := core(0)
	for i := range 6 {
		greet(t, k, 0, fmt.Sprint("n", i), fmt.Sprintf("10.0.1.%d:1", i), 9, 1)
	}
	k.Step(0)
	k.Take(0, "10.0.1.1:1", &wire.Packet{Kind: wire.Gossip, From: wire.Ident{Name: "n1", Life: 9, Inc: 1}, To: "me",
		Claims: []wire.Claim{{Ident: wire.Ident{Name: "n4", Life: 9, Inc: 1}, Status: wire.Suspect, By: "n1"}}})
	k.Step(time.Hour)
	if _, _, s, _ := k.Holds("n4"); s != wire.Suspect {
		t.Errorf("after an hour's sleep n4 is held for %v", s)
	}
	if v := k.View(); v.Health == 0 || v.Counts.Slept != 1 {
		t.Errorf("health %d after a sleep", v.Health)
	}
}

// No more members are held than configured; the longest dead give way first.
func TestBound(t *testing.T) {
	k := core(8)
	for i := range 30 {
		greet(t, k, 0, fmt.Sprint("n", i), fmt.Sprintf("10.0.1.%d:1", i), 9, 1)
	}
	if n := len(k.View().Members); n != 8 || k.View().Counts.Full == 0 {
		t.Fatalf("%d members of 8", n)
	}
	k.Take(0, "10.0.1.1:1", &wire.Packet{Kind: wire.Gossip, From: wire.Ident{Name: "n1", Life: 9, Inc: 1}, To: "me",
		Claims: []wire.Claim{{Ident: wire.Ident{Name: "n4", Life: 9, Inc: 2}, Status: wire.Left}}})
	greet(t, k, 0, "new", "10.0.2.1:1", 9, 1)
	if _, _, _, ok := k.Holds("n4"); ok || len(k.View().Members) != 8 {
		t.Error("the one that has left did not give way")
	}
}

// What is said of a member never goes back behind the incarnation held: a record may be older than the last refutation.
func TestStateAfterRefutation(t *testing.T) {
	k := core(0)
	greet(t, k, 0, "n1", "10.0.1.1:1", 9, 1)
	raw, err := wire.EncodeRecord(&wire.Record{Ident: wire.Ident{Name: "n1", Life: 9, Inc: 1}, Seq: 2, Addr: "10.0.1.1:1", State: wire.Draining})
	if err != nil {
		t.Fatal(err)
	}
	k.Changes()
	k.Take(0, "10.0.1.1:1", &wire.Packet{Kind: wire.Gossip, From: wire.Ident{Name: "n1", Life: 9, Inc: 2}, To: "me", Records: []cbor.RawMessage{raw}})
	for _, c := range k.Changes() {
		if c.What == "state" && c.Inc != 2 {
			t.Errorf("%+v", c)
		}
	}
	if _, inc, _, _ := k.Holds("n1"); inc != 2 {
		t.Errorf("held at %d", inc)
	}
}
