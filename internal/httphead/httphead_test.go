package httphead

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// messageWith returns a message with the given number of header fields, and a body of many lines.
func messageWith(fields int, lineEnd string) string {
	return "HTTP/1.1 200 OK" + lineEnd + strings.Repeat("a: b"+lineEnd, fields) + lineEnd + strings.Repeat("\n", 1000)
}

// The fields of a head are counted wherever it is cut, and lines of the body are not.
func TestLineCounter(t *testing.T) {
	const most = 5
	for _, lineEnd := range []string{"\n", "\r\n"} {
		for fields := range 2 * most {
			text := messageWith(fields, lineEnd)
			for first := range len(text) - 990 {
				var lines LineCounter
				lines.Add([]byte(text[:first]))
				lines.Add([]byte(text[first:]))
				if lines.Exceeds(most) != (fields > most) {
					t.Fatalf("%d fields, cut at %d, line end %q: exceeds is %v", fields, first, lineEnd, lines.Exceeds(most))
				}
			}
		}
	}
}

// Guards against heads with fields without end: they are read up to a limit of bytes and one of fields, but what follows a head is
// read to its end.
func TestReader(t *testing.T) {
	for _, c := range []struct {
		head   string
		limits Limits
		want   error
	}{
		{messageWith(5, "\r\n"), Limits{Bytes: 2000, Fields: 5}, nil},
		{messageWith(6, "\r\n"), Limits{Bytes: 2000, Fields: 5}, ErrTooLong},
		{messageWith(5, "\r\n"), Limits{Bytes: 200, Fields: 5}, ErrTooLong},
	} {
		if err := new(Reader).BeginHead(c.limits, []byte(c.head)); !errors.Is(err, c.want) && c.limits.Bytes >= len(c.head) {
			t.Errorf("%+v: error %v for what was received before, want %v", c.limits, err, c.want)
		}
		r := Reader{Source: iotest.OneByteReader(strings.NewReader(c.head))}
		r.BeginHead(c.limits, nil)
		if _, err := io.Copy(io.Discard, &r); !errors.Is(err, c.want) {
			t.Errorf("%+v: error %v, want %v", c.limits, err, c.want)
		}
		if c.want == nil {
			r.Source = strings.NewReader(fmt.Sprint(c.head, c.head))
			r.EndHead()
			if n, err := io.Copy(io.Discard, &r); err != nil || n != int64(2*len(c.head)) {
				t.Errorf("after the head %d bytes were read, error %v", n, err)
			}
		}
	}
}
