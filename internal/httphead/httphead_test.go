package httphead

import (
	"strings"
	"testing"
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
