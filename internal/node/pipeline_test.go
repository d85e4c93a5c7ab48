package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"swiftdeal/internal/config"
)

// Two requests that come in one piece are both answered, one after the other.
func TestTwoRequestsInOnePiece(t *testing.T) {
	w := start(t, func(l *config.Limits) {})
	for i := range 500 {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, ask+ask, fmt.Sprint("a", i), fmt.Sprint("b", i))
		in := bufio.NewReader(c)
		for k := range 2 {
			w.done <- "result"
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("pair %d, request %d: %v %v", i, k, resp, err)
			}
			io.Copy(io.Discard, resp.Body)
			<-w.jobs
		}
		c.Close()
	}
}
