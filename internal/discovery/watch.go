package discovery

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"
)

// readWatch reads the messages of a watch. Discovery writes a line every two seconds, an empty one as a heartbeat if nothing has
// changed: a longer silence means that it is cut off, although the connection stays open. A message may span several lines.
func (c *Client) readWatch(from *call, conn net.Conn, body io.Reader) error {
	reader := &watchReader{
		conn: conn, body: body, silenceTimeout: c.limits.WatchSilenceTimeout, maxBytes: c.limits.EndpointListBytes,
		onHeartbeat: func() { c.heartbeat(from) }, pace: func() error { return c.pace(from, 0) },
	}
	first := true
	return reader.readMessages(func(text []byte) error {
		err := c.deliver(from, text, first)
		first = false
		if err != nil {
			return err
		}
		c.handler.AwaitListEvents() // no more than one message of a watch waits, however fast discovery sends them
		return c.pace(from, len(text))
	})
}

// bytesPerUpdate is the length up to which a message counts as one update.
const bytesPerUpdate = 4 << 10

// pace delays the reader of a watch after a message, or after white space between messages.
func (c *Client) pace(from *call, messageBytes int) error {
	if !c.updatePace.Wait(from.ctx, 1+messageBytes/bytesPerUpdate) {
		return from.ctx.Err()
	}
	return nil
}

// watchReader reads a watch and extends the connection's deadline at the end of each line. White space between messages is not
// returned: the decoder would keep it until the next message.
type watchReader struct {
	conn           net.Conn
	body           io.Reader
	silenceTimeout time.Duration
	maxBytes       int          // limit for a message
	messageBytes   int          // of the current message, returned so far; 0 between messages
	onHeartbeat    func()       // called for empty lines between two messages
	pace           func() error // called after a read of white space between messages; an error ends the watch
}

// readMessages passes each message to deliver, until the watch ends or deliver returns an error.
func (r *watchReader) readMessages(deliver func(text []byte) error) error {
	decoder := json.NewDecoder(r)
	for {
		var text json.RawMessage
		if err := decoder.Decode(&text); err != nil {
			return fmt.Errorf("endpoint list watch ended: %w", err)
		}
		r.messageBytes = bufferedBytes(decoder)
		if err := deliver(text); err != nil {
			return err
		}
	}
}

// bufferedBytes returns how many bytes of later messages a decoder has read.
func bufferedBytes(decoder *json.Decoder) int {
	buffered, _ := io.ReadAll(decoder.Buffered()) // reading from memory does not fail
	return len(bytes.TrimSpace(buffered))
}

// Read implements io.Reader.
func (r *watchReader) Read(p []byte) (int, error) {
	for {
		n, err := r.body.Read(p)
		endsLine := bytes.IndexByte(p[:n], '\n') >= 0
		if endsLine {
			r.conn.SetDeadline(time.Now().Add(r.silenceTimeout))
		}
		betweenMessages := r.messageBytes == 0 && len(bytes.TrimSpace(p[:n])) == 0
		if !betweenMessages {
			return r.countMessage(n, len(p), err)
		}
		if endsLine {
			r.onHeartbeat()
		}
		if err = cmp.Or(err, r.pace()); err != nil {
			return 0, err
		}
	}
}

// countMessage counts n bytes of a message that were read with an error or nil, and returns the result of the read.
func (r *watchReader) countMessage(n, bufferBytes int, err error) (int, error) {
	r.messageBytes += n
	if r.messageBytes > r.maxBytes+bufferBytes {
		return n, ErrMessageTooLong
	}
	return n, err
}
