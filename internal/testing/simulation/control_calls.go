package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"swiftdeal/internal/testing/fake"
)

// startNodeDrain makes the drain call. Four seconds later the node must hold no idle client connection and must still report that it
// is not ready.
func (sim *Simulation) startNodeDrain(i int) {
	n := sim.nodes[i]
	if !n.running || !n.ready || n.drained {
		return
	}
	n.drained = true
	sim.dialNode(n, n.clients, 0, &idleClient{})
	sim.After(5*time.Millisecond, func() {
		sim.call(n, n.control, "POST /-/drain", func(code string) { sim.expectStatus(n, "drain", code, "200") })
	})
	sim.After(300*time.Millisecond, func() { n.ready = false }) // the front has noticed that it is not ready
	sim.After(4*time.Second, func() {
		if !n.running || !n.drained || n.terminatedAt > 0 {
			return
		}
		idle := -sim.checker.UnansweredSince(n.name, sim.now())
		for l := range n.links {
			if l.machine.name == "client" && !l.nodeClosed && !l.farClosed && !l.broken {
				idle++
			}
		}
		if idle > 0 {
			sim.fail(
				"away",
				fmt.Sprintf("%s holds %d idle client connections 4 s after the drain call", n.name, idle),
				n.name,
				"",
			)
		}
		sim.call(n, n.clients, "GET /ready", func(code string) { sim.expectStatus(n, "/ready in a drain", code, "503") })
	})
}

// resumeNode makes the resume call, after which the node must report that it is ready.
func (sim *Simulation) resumeNode(i int) {
	n := sim.nodes[i]
	if !n.running || !n.drained || n.terminatedAt > 0 {
		return
	}
	sim.call(n, n.control, "POST /-/resume", func(code string) {
		sim.expectStatus(n, "resume", code, "200")
		n.drained = false
		sim.call(n, n.clients, "GET /ready", func(code string) {
			sim.expectStatus(n, "/ready after resume", code, "200")
			n.ready = true
		})
	})
}

// expectStatus checks the status of an answer to a call. A node that terminates meanwhile need not answer.
func (sim *Simulation) expectStatus(n *process, what, code, want string) {
	if code != want && n.running && n.terminatedAt == 0 {
		sim.fail("away", fmt.Sprintf("%s answers %s with %q, want %s", n.name, what, code, want), n.name, "")
	}
}

// call sends one request to a node's listener and passes on the status code of the answer; "" means no answer.
func (sim *Simulation) call(n *process, ln *listener, text string, then func(code string)) {
	sim.dialNode(n, ln, 0, &controlCall{text: text + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", then: then})
}

// checkMetrics reads a node's metrics and compares them with the results that its clients have seen.
func (sim *Simulation) checkMetrics(n *process) {
	if !n.running || n.terminatedAt > 0 || n.requestCounts == nil || sim.checker.UnansweredSince(n.name, sim.now()) > 0 {
		return
	}
	sim.dialNode(n, n.control, 0, &responseReader{then: func(text string) {
		got := map[string]int{}
		for line := range strings.Lines(text) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
			name, _, _ = strings.Cut(name, "{")
			v, _ := strconv.Atoi(value)
			got[strings.TrimPrefix(name, "gw_")] += v
		}
		for _, k := range []string{"served", "refused", "failed"} {
			if more := got[k] - n.requestCounts[k]; more < 0 || more > n.requestCounts["unseen"]+sim.countMisbehavingClients() {
				sim.fail(
					"figures",
					fmt.Sprintf("%s: %d %s, its clients have seen %d", n.name, got[k], k, n.requestCounts[k]),
					n.name,
					"",
				)
			}
		}
		sim.outcome.MetricsChecked++
		// A node counts attempts that were written completely; fewer than were sent if a connection broke before that.
		if got["in_flight"] != 0 || got["attempts"] < got["served"] || got["attempts"] > n.requestCounts["sent"] ||
			got["workers_known"] > len(sim.plan.Workers) {
			sim.fail("figures", fmt.Sprintf("%s: %v", n.name, got), n.name, "")
		}
	}})
}

// countMisbehavingClients counts the clients so far that violate the protocol: they do not wait for their answers, which the node
// counts all the same.
func (sim *Simulation) countMisbehavingClients() (n int) {
	for _, j := range sim.plan.Jobs {
		if ms(j.At) < sim.now() && !j.Shape.Conforming() {
			n++
		}
	}
	return n
}

// responseReader is a client that reads a node's metrics.
type responseReader struct {
	text []byte
	then func(string)
}

// Opened implements fake.Opener.
func (a *responseReader) Opened(c fake.Conn) {
	c.Write([]byte("GET /-/metrics HTTP/1.1\r\nHost: x\r\n\r\n"), nil)
}

// Data implements fake.Handler.
func (a *responseReader) Data(p []byte) { a.text = append(a.text, p...) }

// Closed implements fake.Handler.
func (a *responseReader) Closed(bool) { a.then(string(a.text)) }

// idleClient is a client that sends one request and keeps its connection open.
type idleClient struct{}

// Opened implements fake.Opener.
func (*idleClient) Opened(c fake.Conn) {
	c.Write([]byte("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"), nil)
}

// Data implements fake.Handler.
func (*idleClient) Data([]byte) {}

// Closed implements fake.Handler.
func (*idleClient) Closed(bool) {}

// controlCall is a client that makes one call.
type controlCall struct {
	conn     fake.Conn
	text     string
	then     func(string)
	reported bool
}

// Opened implements fake.Opener.
func (a *controlCall) Opened(c fake.Conn) {
	a.conn = c
	c.Write([]byte(a.text), nil)
}

// Data implements fake.Handler.
func (a *controlCall) Data(p []byte) {
	if !a.reported {
		a.reported = true
		_, code, _ := fake.RequestLine(p)
		a.conn.Close()
		a.then(code)
	}
}

// Closed implements fake.Handler.
func (a *controlCall) Closed(bool) {
	if !a.reported {
		a.reported = true
		a.then("")
	}
}
