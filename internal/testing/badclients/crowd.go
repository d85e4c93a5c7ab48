package badclients

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Crowd is many clients that misbehave in the same way, each on one connection after another, until it is stopped.
type Crowd struct {
	stop    chan struct{}
	clients sync.WaitGroup
	ended   atomic.Int64 // connections
}

// Conduct is what a client of a crowd does on a connection. It returns when the connection is of no more use, or stop is closed.
type Conduct func(client *Client, id string, stop <-chan struct{})

// reconnectPause is how long a client of a crowd waits between two connections.
const reconnectPause = 20 * time.Millisecond

// StartCrowd starts a crowd of count clients of the node.
func (c *Cluster) StartCrowd(count int, conduct Conduct) *Crowd {
	return StartCrowd(c.listen, count, conduct)
}

// StartCrowd starts a crowd of count clients of the node at an address.
func StartCrowd(address string, count int, conduct Conduct) *Crowd {
	crowd := &Crowd{stop: make(chan struct{})}
	for i := range count {
		crowd.clients.Go(func() { crowd.run(address, i, conduct) })
	}
	return crowd
}

// run has one client connect again and again.
func (crowd *Crowd) run(address string, number int, conduct Conduct) {
	for connection := 0; !crowd.stopped(reconnectPause); connection++ {
		client, err := Dial(address)
		if err != nil {
			continue
		}
		conduct(client, fmt.Sprintf("crowd-%d-%d", number, connection), crowd.stop)
		client.Close()
		crowd.ended.Add(1)
	}
}

// stopped waits, and reports whether the crowd is stopped.
func (crowd *Crowd) stopped(wait time.Duration) bool { return stopped(crowd.stop, wait) }

func stopped(stop <-chan struct{}, wait time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(wait):
		return false
	}
}

// Stop ends the crowd and returns how many connections it has used up.
func (crowd *Crowd) Stop() int64 {
	close(crowd.stop)
	crowd.clients.Wait()
	return crowd.ended.Load()
}

// readToEnd reads until the connection ends or stop is closed.
func readToEnd(client *Client, stop <-chan struct{}) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.SetReadDeadline(time.Time{})
		io.Copy(io.Discard, client)
	}()
	select {
	case <-ended:
	case <-stop:
		client.Close()
		<-ended
	}
}

// manyFields is how many header fields fit into a head of 16 KiB.
const manyFields = 3900

// SendManyFields sends a head of very many short fields and waits for the end.
func SendManyFields(client *Client, id string, stop <-chan struct{}) {
	head := "POST /safe HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\n" + strings.Repeat("a:\r\n", manyFields) + "\r\n"
	client.SetWriteDeadline(time.Now().Add(time.Minute))
	client.Write([]byte(head))
	readToEnd(client, stop)
}

// bodyBytes is the size of the bodies of a crowd.
const bodyBytes = 60 << 10

// SendHalfBody sends a head and half of a large body, and waits for the end.
func SendHalfBody(client *Client, id string, stop <-chan struct{}) {
	text := Request("safe", id, time.Second, strings.Repeat("x", bodyBytes))
	client.SetWriteDeadline(time.Now().Add(time.Minute))
	client.Write(text[:len(text)-bodyBytes/2])
	readToEnd(client, stop)
}

// SendByte sends a head and the first byte of a small body, and waits for the end.
func SendByte(client *Client, id string, stop <-chan struct{}) {
	text := Request("safe", id, time.Second, strings.Repeat("x", 100))
	client.Write(text[:len(text)-99])
	readToEnd(client, stop)
}

// slowPause is how long a slow client waits between two writes.
const slowPause = 50 * time.Millisecond

// SendSlowly sends a request with a large body in small pieces.
func SendSlowly(client *Client, id string, stop <-chan struct{}) {
	text := Request("safe", id, time.Second, strings.Repeat("x", bodyBytes))
	for piece := 0; len(text) > 0 && !stopped(stop, slowPause); piece++ {
		n := min(len(text), 1+piece%2*(4<<10))
		client.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := client.Write(text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
	readToEnd(client, stop)
}

// SendHeadSlowly sends a head a few bytes at a time.
func SendHeadSlowly(client *Client, id string, stop <-chan struct{}) {
	text := Request("safe", id, time.Second, "")
	for len(text) > 0 && !stopped(stop, slowPause) {
		n := min(len(text), 2)
		client.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := client.Write(text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
	readToEnd(client, stop)
}
