package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/ingress"
	"swiftdeal/internal/request"
	"swiftdeal/internal/response"
)

// startServer starts a server that reads requests as a node does, and answers each with its class. It returns its address.
func startServer(t *testing.T) string {
	limits := config.Limits{BodyBytes: 1 << 10, BodyTimeout: time.Hour, MaxClientTimeout: time.Hour, WriteTimeout: time.Hour}
	read, write := ingress.New(limits), response.New(limits)
	server := &http.Server{ConnContext: ingress.ConnContext, MaxHeaderBytes: 16 << 10, ConnState: markIdle}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := read.Read(w, r)
		c.Finish(request.Answer{Result: c.ClassName})
		write.Write(w, c.Answer(), false)
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(wrappingListener{ln})
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}

func markIdle(conn net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		conn.(*ingress.Conn).MarkIdle()
	}
}

// Guards against clients that send many short header fields and stop before the end of their heads: 15 KiB of them took some 270 KB
// of memory at each connection. They are answered at once. The lines of a body are no fields, and a request before a head with too
// many is answered.
func TestManyHeaderFields(t *testing.T) {
	addr := startServer(t)
	head := func(class string, fields, bodyBytes int) string {
		fixed := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: a\r\nX-Deadline: 1\r\nContent-Length: %d\r\n", class, bodyBytes)
		const fixedFields = 4
		return fixed + strings.Repeat("a:\r\n", fields-fixedFields)
	}
	const most = 100 // see wrappingListener
	whole := func(class string) string { return head(class, most, 500) + "\r\n" + strings.Repeat("\n", 500) }
	for name, c := range map[string]struct{ text, want string }{
		"most":                      {whole("a"), "200"},
		"too many, not ended":       {head("a", 2600, 0), "431"},
		"one too many, not ended":   {head("a", most+1, 0) + "\r", "431"},
		"one too many":              {head("a", most+1, 0) + "\r\n", "431"},
		"most, twice":               {whole("a") + whole("b"), "200 200"},
		"too many behind a request": {whole("a") + head("b", 2600, 0), "200 431"},
		"few too many behind one":   {whole("a") + head("b", most+1, 0) + "\r\n", "200 400"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			go io.WriteString(conn, c.text)
			conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			var got []string
			in := bufio.NewReader(conn)
			for len(got) < len(strings.Fields(c.want)) {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Error(err)
					break
				}
				io.Copy(io.Discard, resp.Body)
				got = append(got, fmt.Sprint(resp.StatusCode))
			}
			if strings.Join(got, " ") != c.want {
				t.Errorf("answered %v, want %s", got, c.want)
			}
		})
	}
}
