package badclients

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// dialTimeout is how long a client waits for a connection.
const dialTimeout = 5 * time.Second

// Client is a client's connection to the node.
type Client struct {
	*net.TCPConn
	reader *bufio.Reader
}

// Dial opens a connection to the node.
func (c *Cluster) Dial() (*Client, error) { return Dial(c.listen) }

// Dial opens a connection to a node.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &Client{conn.(*net.TCPConn), bufio.NewReader(conn)}, nil
}

// Request returns the text of a request.
func Request(class, id string, timeout time.Duration, body string) []byte {
	return fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nIdempotency-Key: key-%s\r\nX-Deadline: %.3f\r\n"+
		"Content-Length: %d\r\n\r\n%s", class, id, id, timeout.Seconds(), len(body), body)
}

// Answer is the node's answer to a request.
type Answer struct {
	Status int
	Body   string
	Close  bool // the node closes the connection after it
}

// ReadAnswer reads the next answer, and waits until the given time at most.
func (c *Client) ReadAnswer(until time.Time) (Answer, error) {
	c.SetReadDeadline(until)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{response.StatusCode, string(body), response.Close}, err
}

// Fill writes copies of text until the system takes no more for the given time, or limit bytes are written. It returns how many
// bytes the system took.
func (c *Client) Fill(text []byte, limit int, stuckFor time.Duration) (written int, err error) {
	const atOnce = 32 << 10
	block := bytes.Repeat(text, max(1, atOnce/len(text)))
	for written < limit {
		c.SetWriteDeadline(time.Now().Add(stuckFor))
		n, err := c.Write(block[:min(len(block), limit-written)])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return written, nil
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Reset closes the connection with a reset.
func (c *Client) Reset() error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	return c.Close()
}
