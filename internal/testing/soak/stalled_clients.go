package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"swiftdeal/internal/testing/badclients"
)

// stalledClientBound is how long a node may keep the connection of a client that stalls in the middle of a request.
const stalledClientBound = 3*time.Second + 300*time.Millisecond

// floodBytes is how much a client of ClientsFlood writes behind its request: more than the system passes on unless the node reads.
const floodBytes = 400 << 10

// crowdConducts are what the clients of ClientsCrowd do; the seed draws one.
var crowdConducts = []badclients.Conduct{
	badclients.SendManyFields, badclients.SendHalfBody, badclients.SendByte, badclients.SendSlowly, badclients.SendHeadSlowly,
}

// injectCrowd has a crowd of clients misbehave at one node.
func (f *Cluster) injectCrowd(t *Fault) {
	conduct := crowdConducts[f.plan.Seed%uint64(len(crowdConducts))]
	crowd := badclients.StartCrowd(f.clientAddr(t.Target), int(t.Amount), conduct)
	f.holdFault(t, func() { crowd.Stop() })
}

// injectClients injects a fault into clients.
func (f *Cluster) injectClients(t *Fault) {
	if t.Kind == ClientsLeave || t.Kind == ClientsFlood {
		behind := 0
		if t.Kind == ClientsFlood {
			behind = floodBytes
		}
		f.host.Do(func() { f.earlyLeavers, f.behind = t.Amount, behind })
		f.holdFault(t, func() { f.host.Do(func() { f.earlyLeavers, f.behind = 0, 0 }) })
		return
	}
	r := rand.New(rand.NewPCG(f.plan.Seed, 31))
	gap := time.Duration(float64(time.Second) / max(t.Amount, 1))
	ended := make(chan struct{})
	count := int(t.Length / 1000 * t.Amount)
	for i := range count {
		n, reuse, sentBytes := f.nodes[r.IntN(len(f.nodes))], r.IntN(2) == 0, 1+r.IntN(90)
		go func() {
			f.runStalledClient(n, fmt.Sprintf("stop%d", i), reuse, sentBytes)
			ended <- struct{}{}
		}()
		time.Sleep(gap)
	}
	for range count {
		<-ended
	}
}

// runStalledClient runs a client that sends only the first sentBytes of a request, on a new connection or (kept) on one that has
// carried a request. The node must answer with an error or close the connection within stalledClientBound.
func (f *Cluster) runStalledClient(n *node, id string, kept bool, sentBytes int) {
	c, err := net.DialTimeout("tcp", f.clientAddr(n.index), time.Second)
	if err != nil {
		return // the node is not running
	}
	defer c.Close()
	in := bufio.NewReader(c)
	if kept {
		c.SetDeadline(time.Now().Add(stalledClientBound))
		fmt.Fprint(c, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		io.Copy(io.Discard, resp.Body)
	}
	text := fmt.Sprintf(
		"POST /quick HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Deadline: 1\r\nContent-Length: 50\r\n\r\nhalf",
		id,
	)
	if _, err := c.Write([]byte(text[:min(sentBytes, len(text)-1)])); err != nil {
		return
	}
	c.SetDeadline(time.Now().Add(stalledClientBound))
	if _, err := io.ReadAll(in); errors.Is(err, os.ErrDeadlineExceeded) {
		f.host.Do(func() {
			f.recordViolation(
				"rude-client",
				fmt.Sprintf(
					"%s keeps a client that stopped after %d bytes (kept connection: %v) for over %v",
					f.name(n.index),
					sentBytes,
					kept,
					stalledClientBound,
				),
				id,
				true,
			)
		})
	}
}
