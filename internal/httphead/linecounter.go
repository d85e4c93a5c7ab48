// Package httphead limits the heads of HTTP messages while they are read: by bytes, and by lines. A parsed header of many short
// fields takes many times the memory of its text.
package httphead

import "bytes"

// LineCounter counts the lines of a head, up to the empty line that ends it. The zero value counts a new head.
type LineCounter struct {
	lines     int
	lineBytes int  // of the line that has begun, without a CR
	ended     bool // the empty line was found
}

// Add counts the lines that end in the next part of a message.
func (c *LineCounter) Add(part []byte) {
	for !c.ended {
		end := bytes.IndexByte(part, '\n')
		if end < 0 {
			c.lineBytes += textBytes(part)
			return
		}
		c.lineBytes += textBytes(part[:end])
		c.ended = c.lineBytes == 0 && c.lines > 0
		c.lines++
		c.lineBytes = 0
		part = part[end+1:]
	}
}

// textBytes returns the length of a line, or part of a line, without its CR.
func textBytes(line []byte) int { return len(bytes.TrimSuffix(line, []byte("\r"))) }

// Exceeds reports whether a head has more header fields than allowed. A folded line counts as a field.
func (c *LineCounter) Exceeds(fields int) bool {
	otherLines := 1 // the start line
	if c.ended {
		otherLines++
	}
	return c.lines > fields+otherLines
}

// Limits are the most that a head may have.
type Limits struct {
	Bytes  int
	Fields int // header fields
}
