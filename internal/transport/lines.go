package transport

import (
	"bytes"
	"io"
	"sync"
)

// lines reads an answer line by line into a buffer that answers share: most lines are short, but one holds the result,
// and a buffer grown for it anew each time would cost twice the result.
type lines struct {
	r    io.Reader
	most int
	buf  *[]byte
	from int // the rest that was read, in buf
	to   int
	line []byte // the line in hand, without its end; valid until the next
	err  error
}

var lineBuffers = sync.Pool{New: func() any { b := make([]byte, 2<<10); return &b }}

// newLines returns a reader of lines of fewer than most bytes.
func newLines(r io.Reader, most int) *lines {
	return &lines{r: r, most: most, buf: lineBuffers.Get().(*[]byte)}
}

// free gives the buffer back.
func (l *lines) free() {
	lineBuffers.Put(l.buf)
	l.buf, l.line = nil, nil
}

// next reads a line. It reports false at the end, after an error, and where a line is too long. A last line needs no
// end.
func (l *lines) next() bool {
	for seen := l.from; ; {
		b := *l.buf
		if i := bytes.IndexByte(b[seen:l.to], '\n'); i >= 0 {
			l.line, l.from = b[l.from:seen+i], seen+i+1
			return true
		}
		if l.err != nil {
			l.line, l.from = b[l.from:l.to], l.to
			return l.err == io.EOF && len(l.line) > 0
		}
		if l.to-l.from >= l.most {
			l.err = io.ErrShortBuffer
			return false
		}
		if l.from > 0 && l.to == len(b) {
			l.to, l.from = copy(b, b[l.from:l.to]), 0
		}
		if l.to == len(b) {
			grown := make([]byte, min(2*len(b), l.most))
			copy(grown, b)
			*l.buf = grown
		}
		seen = l.to
		var n int
		n, l.err = l.r.Read((*l.buf)[l.to:])
		l.to += n
	}
}
