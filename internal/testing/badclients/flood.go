package badclients

import (
	"bytes"
	"fmt"
	"io"
	"time"
)

// floodBatch is how many requests a flooding client writes at once.
const floodBatch = 200

// flood writes batches of requests at full speed until the connection ends or stop is closed, and reads the answers.
func flood(client *Client, stop <-chan struct{}, text func(batch, i int) []byte) {
	go io.Copy(io.Discard, client)
	for batch := 0; !isClosed(stop); batch++ {
		var requests bytes.Buffer
		for i := range floodBatch {
			requests.Write(text(batch, i))
		}
		client.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := client.Write(requests.Bytes()); err != nil {
			return
		}
	}
}

func isClosed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// FloodSmallRequests sends small sound requests.
func FloodSmallRequests(client *Client, id string, stop <-chan struct{}) {
	flood(client, stop, func(batch, i int) []byte {
		return Request("safe", fmt.Sprintf("%s-%d-%d", id, batch, i), time.Second, "")
	})
}

// FloodReadinessChecks sends readiness checks.
func FloodReadinessChecks(client *Client, _ string, stop <-chan struct{}) {
	flood(client, stop, func(int, int) []byte { return []byte("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") })
}

// FloodNewNames sends requests of classes that do not exist, each under a new name, after which the node closes the connection.
func FloodNewNames(client *Client, id string, stop <-chan struct{}) {
	flood(client, stop, func(batch, i int) []byte {
		return Request(fmt.Sprintf("class-%s-%d-%d", id, batch, i), "id", time.Second, "")
	})
}

// FloodMalformed sends requests without an ID.
func FloodMalformed(client *Client, _ string, stop <-chan struct{}) {
	flood(client, stop, func(int, int) []byte { return []byte("POST /safe HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n") })
}

// FloodBehindRequest sends small requests behind one that runs for long.
func FloodBehindRequest(client *Client, id string, stop <-chan struct{}) {
	client.Write(Request("unsafe", id, 10*time.Second, ""))
	FloodSmallRequests(client, id, stop)
}

// FloodLines sends empty lines behind a request that runs for long.
func FloodLines(client *Client, id string, stop <-chan struct{}) {
	client.Write(Request("unsafe", id, 10*time.Second, ""))
	flood(client, stop, func(int, int) []byte { return bytes.Repeat([]byte("\n"), 100) })
}
