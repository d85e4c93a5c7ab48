package node

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"
)

// answerWriter writes a response to a connection that the HTTP server does not know. It buffers the response and writes
// it in one piece when it is flushed.
type answerWriter struct {
	conn   net.Conn
	header http.Header
	buffer bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *answerWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(code int) {
	date := time.Now().UTC().Format(http.TimeFormat)
	fmt.Fprintf(&w.buffer, "HTTP/1.1 %d %s\r\nDate: %s\r\n", code, http.StatusText(code), date)
	w.header.Write(&w.buffer)
	w.buffer.WriteString("\r\n")
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) { return w.buffer.Write(p) }

// FlushError implements the flush that http.ResponseController calls. It writes the response.
func (w *answerWriter) FlushError() error {
	_, err := w.buffer.WriteTo(w.conn)
	return err
}

// SetWriteDeadline implements the deadline that http.ResponseController sets.
func (w *answerWriter) SetWriteDeadline(t time.Time) error { return w.conn.SetWriteDeadline(t) }
