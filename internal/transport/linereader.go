package transport

import (
	"bytes"
	"errors"
	"io"
	"sync"
)

// lineReader reads an answer line by line into a pooled buffer. Most lines are short, but one holds the result, and
// growing a new buffer for it each time would allocate twice the result's size.
type lineReader struct {
	source   io.Reader
	maxBytes int
	buffer   *[]byte
	start    int // buffer[start:end] has been read but not returned yet
	end      int
	line     []byte // the current line without its newline; valid until the next call of next
	err      error

	admission longLineAdmission
}

// longLineAdmission decides about lines longer than shortLineBytes.
type longLineAdmission interface {
	// admitLongLine is called before such a line is read on, and returns false if it must not be. It may block.
	admitLongLine() bool
}

// shortLineBytes is the length up to which a line needs no admission, and a buffer is pooled.
const shortLineBytes = 64 << 10

// errLongLineNotAdmitted reports that a long line must not be read on.
var errLongLineNotAdmitted = errors.New("long line not admitted")

// initialLineBytes is the initial size of a pooled buffer; most lines fit in it.
const initialLineBytes = 2 << 10

var lineBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, initialLineBytes)
	return &buffer
}}

// newLineReader returns a reader of lines shorter than maxBytes. The caller must release it.
func newLineReader(source io.Reader, maxBytes int, admission longLineAdmission) lineReader {
	return lineReader{source: source, maxBytes: maxBytes, buffer: lineBuffers.Get().(*[]byte), admission: admission}
}

// release returns the buffer to its pool, unless it is large.
func (l *lineReader) release() {
	if len(*l.buffer) <= shortLineBytes {
		lineBuffers.Put(l.buffer)
	}
	l.buffer = nil
	l.line = nil
}

// next reads a line. It returns false at the end of the input, after an error, and if a line is too long. The last line
// may lack a newline.
func (l *lineReader) next() bool {
	searched := l.start
	for {
		buffer := *l.buffer
		if i := bytes.IndexByte(buffer[searched:l.end], '\n'); i >= 0 {
			l.line = buffer[l.start : searched+i]
			l.start = searched + i + 1
			return true
		}
		if l.err != nil {
			l.line = buffer[l.start:l.end]
			l.start = l.end
			return l.err == io.EOF && len(l.line) > 0
		}
		if l.end-l.start >= l.maxBytes {
			l.err = io.ErrShortBuffer
			return false
		}
		if !l.makeRoom() {
			l.err = errLongLineNotAdmitted
			return false
		}
		searched = l.end
		l.fill()
	}
}

// hasNext reports whether another complete line has been read, so that next does not wait.
func (l *lineReader) hasNext() bool {
	return bytes.IndexByte((*l.buffer)[l.start:l.end], '\n') >= 0
}

// makeRoom makes room for a read if the buffer is full: it moves the unread bytes to the start, or enlarges the buffer
// if they already start there. It returns false if a long line is not admitted.
func (l *lineReader) makeRoom() bool {
	buffer := *l.buffer
	if l.start > 0 && l.end == len(buffer) {
		l.end = copy(buffer, buffer[l.start:l.end])
		l.start = 0
	}
	if l.end == len(buffer) {
		size := min(2*len(buffer), l.maxBytes)
		if len(buffer) <= shortLineBytes && size > shortLineBytes && !l.admission.admitLongLine() {
			return false
		}
		grown := make([]byte, size)
		copy(grown, buffer)
		*l.buffer = grown
	}
	return true
}

// fill does one read into the buffer.
func (l *lineReader) fill() {
	n, err := l.source.Read((*l.buffer)[l.end:])
	l.end += n
	l.err = err
}
