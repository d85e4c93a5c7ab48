package simadapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"swiftdeal/balance"
	"swiftdeal/internal/settings"
)

// lineReader reads lines of any length.
type lineReader struct {
	input      *bufio.Reader
	lineNumber int               // of the most recently read line, from 1
	longLine   []byte            // buffer for a line longer than the buffer of input
	current    line              // the most recently read line
	workerIDs  map[string]string // interned, by their text
}

// line is a line split into fields. Its methods parse one field each and record the first error in err; once err is set,
// the values that they return are meaningless.
type line struct {
	text      []byte
	fields    [][]byte
	err       error
	workerIDs map[string]string
}

// next reads a line, which is valid until the next call. It returns io.EOF at the end of the input.
func (r *lineReader) next() (*line, error) {
	r.lineNumber++
	text, err := r.input.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine[:0], text...)
		for errors.Is(err, bufio.ErrBufferFull) {
			text, err = r.input.ReadSlice('\n')
			r.longLine = append(r.longLine, text...)
		}
		text = r.longLine
	}
	if errors.Is(err, io.EOF) && len(text) > 0 {
		return nil, errors.New("cut off in the middle of a line")
	}
	if err != nil {
		return nil, err
	}
	text = bytes.TrimSuffix(bytes.TrimSuffix(text, []byte("\n")), []byte("\r"))
	r.current = line{text: text, fields: splitFields(r.current.fields[:0], text), workerIDs: r.workerIDs}
	return &r.current, nil
}

// splitFields appends the parts of text that are separated by single spaces.
func splitFields(fields [][]byte, text []byte) [][]byte {
	for {
		field, rest, more := bytes.Cut(text, []byte(" "))
		fields = append(fields, field)
		if !more {
			return fields
		}
		text = rest
	}
}

// keyword returns the first field.
func (l *line) keyword() string { return string(l.fields[0]) }

// fail records an error unless there is one already.
func (l *line) fail(format string, args ...any) {
	if l.err == nil {
		l.err = fmt.Errorf(format, args...)
	}
}

// absent reports whether field i is missing, empty or "-".
func (l *line) absent(i int) bool {
	return i >= len(l.fields) || len(l.fields[i]) == 0 || (len(l.fields[i]) == 1 && l.fields[i][0] == '-')
}

// float parses a finite number; an absent field is 0.
func (l *line) float(i int) float64 {
	if l.absent(i) {
		return 0
	}
	value, err := settings.ParseNumber(l.fields[i])
	if err != nil && l.err == nil {
		l.err = err
	}
	return value
}

// integer parses an integer; an absent field is an error.
func (l *line) integer(i int) int {
	if i >= len(l.fields) {
		l.fail("too few values in %q", l.text)
		return 0
	}
	value, err := strconv.Atoi(string(l.fields[i]))
	if err != nil {
		l.fail("bad whole number %q", l.fields[i])
	}
	return value
}

// required returns a field as a string; an absent field is an error.
func (l *line) required(i int) string {
	if l.absent(i) {
		l.fail("value %d missing in %q", i, l.text)
		return ""
	}
	return string(l.fields[i])
}

// workerID returns a worker's ID, interned; an absent field is an error.
func (l *line) workerID(i int) string {
	if l.absent(i) {
		l.fail("value %d missing in %q", i, l.text)
		return ""
	}
	id, ok := l.workerIDs[string(l.fields[i])]
	if !ok {
		id = string(l.fields[i])
		l.workerIDs[id] = id
	}
	return id
}

// result parses the outcome code of an attempt or a health check.
func (l *line) result(i int) balance.Result {
	code := l.integer(i)
	result, ok := resultByCode[code]
	if !ok {
		l.fail("unknown outcome %d", code)
	}
	return result
}
